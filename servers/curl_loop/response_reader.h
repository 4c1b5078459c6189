#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/byte_budget.h"
#include "decision/types.h"
#include "servers/curl_loop/chunk_decoder.h"

namespace almondnotch {

/// Collects the header lines and the body of one HTTP/1.1 response from libcurl, with its chunked
/// framing, which it decodes. Bounds the bytes of every part of the response, and checks the
/// framing, which shows whether the body is complete or was truncated by a lost connection.
class response_reader
{
public:
    /// Maximum size in bytes of the status lines and header lines of the response and of all
    /// interim responses before it (docs/design.md, section 6).
    static constexpr std::size_t headerBytesMax = 16'384;

    /// Maximum number of interim responses (RFC 9110, section 15.2) before the final one.
    static constexpr unsigned interimResponsesMax = 16;
    /// Maximum size of a body in bytes that is accepted whatever other responses hold, so that
    /// those do not suppress small ones.
    static constexpr std::size_t unbudgetedBytes = 16'384;

    response_reader(std::size_t bodyBytesMax, bool isHeadRequest)
        : m_bodyBytesMax(bodyBytesMax), m_isHeadRequest(isHeadRequest), m_chunks(bodyBytesMax)
    { }

    /// Accepts a response that has neither Content-Length nor chunked framing and ends with an
    /// orderly close of its connection.
    void allowCloseDelimited() { m_allowsCloseDelimited = true; }

    /// Bounds the bodies of several responses together: the bytes of this one beyond
    /// `unbudgetedBytes` are held in the budget until the body is taken.
    /// \param budget must outlive the reader.
    void shareBudget(byte_budget &budget) { m_reservation = byte_reservation(budget); }

    /// Takes the decoded bytes of the body as they arrive; returns false if it needs no more.
    using body_consumer = std::function<bool(std::string_view bytes)>;

    /// Passes the body on instead of holding it: `takeBody` then returns an empty one. To be called
    /// before the response arrives.
    void streamBody(body_consumer consumer) { m_consumer = std::move(consumer); }

    /// Adds a status line, a header line or the empty line after the headers, each with its line
    /// end.
    /// \return false if the transfer must be aborted; `failure` then gives the reason.
    bool addHeaderLine(std::string_view line);

    /// Adds bytes of the body as they were received, including any chunked framing.
    /// \return false as for `addHeaderLine`.
    bool addBody(std::string_view bytes);

    /// Checks the response after the transfer ended without an error.
    /// \return false if the response was already rejected, the headers are incomplete, the framing
    /// is missing, malformed or contradictory, or the length of the body differs from its
    /// Content-Length; `failure` then gives the reason.
    bool validate();

    /// Why the response was rejected; empty if it was not.
    const std::string &failure() const { return m_failure; }
    /// True if a part of the response exceeded its maximum size.
    bool isTooLarge() const { return m_tooLarge; }
    /// True if the response was rejected because the body's consumer needs no more of it.
    bool hasEnoughBody() const { return m_hasEnoughBody; }
    /// True if the framing headers are missing, malformed or contradictory.
    bool hasInvalidFraming() const { return m_hasInvalidFraming; }
    int status() const { return m_status; }

    const std::vector<header_field> &headers() const { return m_headers; }

    /// Values of all headers with this name, which is compared case-insensitively.
    std::vector<std::string_view> headerValues(std::string_view name) const;

    std::string takeBody()
    {
        m_reservation.release();
        return std::move(m_body);
    }
    bool isHeadRequest() const { return m_isHeadRequest; }

private:
    bool reject(std::string reason);
    bool rejectTooLarge(std::string reason);
    bool addStatusLine(std::string_view line);
    bool decodeBody(std::string_view bytes);
    bool passBodyOn();
    bool decodeChunks(std::string_view bytes);
    void recordFraming(const header_field &field);

    std::size_t m_bodyBytesMax;
    bool m_isHeadRequest;
    bool m_allowsCloseDelimited = false;
    int m_status = 0;
    unsigned m_statusLines = 0;
    bool m_headerEnded = false;
    std::size_t m_headerBytes = 0;
    std::vector<header_field> m_headers;
    std::string m_body;
    body_consumer m_consumer;
    bool m_hasEnoughBody = false;
    /// Bytes of the body that the consumer has taken.
    std::uint64_t m_consumedBytes = 0;
    byte_reservation m_reservation;
    std::optional<std::uint64_t> m_contentLength;
    bool m_chunked = false;
    chunk_decoder m_chunks;
    bool m_hasInvalidFraming = false;
    bool m_tooLarge = false;
    std::string m_failure;
};

} // namespace almondnotch
