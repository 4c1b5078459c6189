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

/// Header lines and body of one HTTP/1.1 response as libcurl delivers them, with its bounds and the
/// check that the end of the body can be told from a lost connection.
class response_reader
{
public:
    /// Header bytes of a response (design, section 6).
    static constexpr std::size_t headerBytesMax = 16'384;

    response_reader(std::size_t bodyBytesMax, bool headRequest)
        : m_bodyBytesMax(bodyBytesMax), m_headRequest(headRequest)
    { }

    /// Lets a response without a length end with an orderly close of its connection.
    void allowCloseDelimited() { m_allowsCloseDelimited = true; }

    /// Takes a status line, header line or the empty line, with its line end.
    /// \return false if the response must be given up; `failure` then gives the reason.
    bool addHeaderLine(std::string_view line);

    /// Takes decoded body bytes. \return false as for `addHeaderLine`.
    bool addBody(std::string_view bytes);

    /// Checks the response after the transfer ended without an error.
    /// \return false if it is unframed, contradicts itself or is shorter than announced.
    bool complete();

    const std::string &failure() const { return m_failure; }
    bool tooLarge() const { return m_tooLarge; }
    bool hasInvalidFraming() const { return m_hasInvalidFraming; }
    int status() const { return m_status; }

    const std::vector<header_field> &headers() const { return m_headers; }

    /// Values of all headers of that name, compared without case.
    std::vector<std::string_view> headerValues(std::string_view name) const;

    std::string takeBody() { return std::move(m_body); }
    bool headRequest() const { return m_headRequest; }

private:
    bool reject(std::string reason);
    void recordFraming(const header_field &field);

    std::size_t m_bodyBytesMax;
    bool m_headRequest;
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
