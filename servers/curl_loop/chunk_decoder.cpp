#include "servers/curl_loop/chunk_decoder.h"

#include <algorithm>
#include <optional>

namespace almondnotch {

namespace {

constexpr unsigned hexadecimalBase = 16;

std::optional<unsigned> hexadecimalDigit(char c)
{
    if (c >= '0' && c <= '9')
        return static_cast<unsigned>(c - '0');
    if (c >= 'a' && c <= 'f')
        return static_cast<unsigned>(c - 'a') + 10U;
    if (c >= 'A' && c <= 'F')
        return static_cast<unsigned>(c - 'A') + 10U;
    return std::nullopt;
}

} // namespace

bool chunk_decoder::decode(std::string_view bytes, std::string &body)
{
    while (!bytes.empty() && m_part != part::end) {
        if (!decodePart(bytes, body))
            return false;
    }
    return true;
}

/// Decodes the data of a chunk, or one byte of the framing.
bool chunk_decoder::decodePart(std::string_view &bytes, std::string &body)
{
    if (m_part == part::data) {
        decodeData(bytes, body);
        return true;
    }
    if (++m_framingBytes > m_dataBytes + framingExcessMax)
        return rejectTooLarge("the framing of the chunks is too large for their data");
    const char next = bytes.front();
    bytes.remove_prefix(1);
    switch (m_part) {
    case part::data_end:
        return decodeDataEnd(next);
    case part::trailer:
        return decodeTrailer(next);
    default:
        return decodeSize(next, body.size());
    }
}

void chunk_decoder::decodeData(std::string_view &bytes, std::string &body)
{
    const std::size_t count
        = static_cast<std::size_t>(std::min<std::uint64_t>(m_chunkBytes, bytes.size()));
    body.append(bytes.substr(0, count));
    bytes.remove_prefix(count);
    m_chunkBytes -= count;
    m_dataBytes += count;
    if (m_chunkBytes == 0)
        m_part = part::data_end;
}

/// Decodes the line before a chunk: its size and its extensions, which are ignored.
bool chunk_decoder::decodeSize(char next, std::size_t bodyBytes)
{
    if (++m_chunkLineBytes > chunkLineBytesMax)
        return rejectTooLarge("the line before a chunk is too long");
    if (next == '\n')
        return endChunkLine();
    const std::optional<unsigned> digit
        = m_part == part::size ? hexadecimalDigit(next) : std::nullopt;
    if (!digit) {
        m_part = part::extension;
        return true;
    }
    ++m_sizeDigits;
    m_chunkBytes = m_chunkBytes * hexadecimalBase + *digit;
    if (m_chunkBytes > m_bodyBytesMax - bodyBytes)
        return rejectTooLarge("the chunks exceed the maximum size of the body");
    return true;
}

bool chunk_decoder::endChunkLine()
{
    if (m_sizeDigits == 0)
        return rejectMalformed("a chunk has no size");
    m_part = m_chunkBytes == 0 ? part::trailer : part::data;
    m_sizeDigits = 0;
    m_chunkLineBytes = 0;
    return true;
}

bool chunk_decoder::decodeDataEnd(char next)
{
    if (next == '\r')
        return true;
    m_part = part::size;
    return next == '\n' || rejectMalformed("the data of a chunk do not end with its size");
}

bool chunk_decoder::decodeTrailer(char next)
{
    if (next == '\n') {
        m_part = m_trailerLineBytes == 0 ? part::end : part::trailer;
        m_trailerLineBytes = 0;
    } else if (next != '\r') {
        ++m_trailerLineBytes;
    }
    return true;
}

bool chunk_decoder::rejectMalformed(const char *reason)
{
    m_failure = reason;
    return false;
}

bool chunk_decoder::rejectTooLarge(const char *reason)
{
    m_isTooLarge = true;
    return rejectMalformed(reason);
}

} // namespace almondnotch
