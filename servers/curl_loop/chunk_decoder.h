#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace almondnotch {

/// Decodes a body with chunked framing (RFC 9112, section 7.1) as its bytes arrive. Bounds the
/// bytes of each part of the framing, so that a peer that sends one of them without end is
/// detected.
class chunk_decoder
{
public:
    /// Maximum size of the line before a chunk, that is its size and extensions, in bytes.
    static constexpr std::size_t chunkLineBytesMax = 1'024;

    /// Maximum size in bytes by which the framing, including the trailers, exceeds the data.
    static constexpr std::size_t framingExcessMax = 8'192;

    explicit chunk_decoder(std::size_t bodyBytesMax) : m_bodyBytesMax(bodyBytesMax) { }

    /// Appends the data of the chunks to `body`. Bytes after the end of the framing are ignored.
    /// \return false if the framing is malformed or a bound is exceeded; `failure` then gives the
    /// reason.
    bool decode(std::string_view bytes, std::string &body);

    /// True if the last chunk and the trailers were read.
    bool isComplete() const { return m_part == part::end; }
    /// True if a bound was exceeded.
    bool isTooLarge() const { return m_isTooLarge; }
    /// Why the framing was rejected; empty if it was not.
    const std::string &failure() const { return m_failure; }

private:
    /// The part of the framing that the next byte belongs to.
    enum class part { size, extension, data, data_end, trailer, end };

    bool decodePart(std::string_view &bytes, std::string &body);
    void decodeData(std::string_view &bytes, std::string &body);
    bool decodeSize(char next, std::size_t bodyBytes);
    bool endChunkLine();
    bool decodeDataEnd(char next);
    bool decodeTrailer(char next);
    bool rejectMalformed(const char *reason);
    bool rejectTooLarge(const char *reason);

    std::size_t m_bodyBytesMax;
    part m_part = part::size;
    /// Size of the current chunk; while its data are read, the bytes that are left of it.
    std::uint64_t m_chunkBytes = 0;
    std::size_t m_sizeDigits = 0;
    /// Bytes of the line before the current chunk.
    std::size_t m_chunkLineBytes = 0;
    /// Bytes of the framing so far, and of the data of the chunks.
    std::size_t m_framingBytes = 0;
    std::size_t m_dataBytes = 0;
    /// Bytes of the current trailer line, without its end.
    std::size_t m_trailerLineBytes = 0;
    bool m_isTooLarge = false;
    std::string m_failure;
};

} // namespace almondnotch
