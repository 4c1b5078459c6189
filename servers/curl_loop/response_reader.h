#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "decision/types.h"

namespace almondnotch {

/// Collects the header lines and the body of one HTTP/1.1 response from libcurl. Enforces size
/// limits and checks the framing, which shows whether the body is complete or was truncated by a
/// lost connection.
class response_reader
{
public:
    /// Maximum size of the header lines in bytes (docs/design.md, section 6).
    static constexpr std::size_t headerBytesMax = 16'384;

    response_reader(std::size_t bodyBytesMax, bool isHeadRequest)
        : m_bodyBytesMax(bodyBytesMax), m_isHeadRequest(isHeadRequest)
    { }

    /// Accepts a response that has neither Content-Length nor chunked framing and ends with an
    /// orderly close of its connection.
    void allowCloseDelimited() { m_allowsCloseDelimited = true; }

    /// Adds a status line, a header line or the empty line after the headers, each with its line
    /// end.
    /// \return false if the transfer must be aborted; `failure` then gives the reason.
    bool addHeaderLine(std::string_view line);

    /// Adds bytes of the body, from which libcurl has removed any chunked framing. \return false as
    /// for `addHeaderLine`.
    bool addBody(std::string_view bytes);

    /// Checks the response after the transfer ended without an error.
    /// \return false if the response was already rejected, the headers are incomplete, the framing
    /// is missing, malformed or contradictory, or the length of the body differs from its
    /// Content-Length; `failure` then gives the reason.
    bool validate();

    /// Why the response was rejected; empty if it was not.
    const std::string &failure() const { return m_failure; }
    /// True if the headers or the body exceeded their maximum size.
    bool isTooLarge() const { return m_tooLarge; }
    /// True if the framing headers are missing, malformed or contradictory.
    bool hasInvalidFraming() const { return m_hasInvalidFraming; }
    int status() const { return m_status; }

    const std::vector<header_field> &headers() const { return m_headers; }

    /// Values of all headers with this name, which is compared case-insensitively.
    std::vector<std::string_view> headerValues(std::string_view name) const;

    std::string takeBody() { return std::move(m_body); }
    bool isHeadRequest() const { return m_isHeadRequest; }

private:
    bool reject(std::string reason);
    void recordFraming(const header_field &field);

    std::size_t m_bodyBytesMax;
    bool m_isHeadRequest;
    bool m_allowsCloseDelimited = false;
    int m_status = 0;
    bool m_headerEnded = false;
    std::size_t m_headerBytes = 0;
    std::vector<header_field> m_headers;
    std::string m_body;
    std::optional<std::uint64_t> m_contentLength;
    bool m_chunked = false;
    bool m_hasInvalidFraming = false;
    bool m_tooLarge = false;
    std::string m_failure;
};

} // namespace almondnotch
