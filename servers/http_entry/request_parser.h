#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "servers/http_entry/request_head.h"

namespace almondnotch {

/// What `request_parser::next` has reached.
enum class parse_step {
    /// The input ends within the request.
    need_more,
    /// `head` is complete. The body follows, if there is one.
    head,
    /// `bodyPart` has further bytes of the body.
    body,
    /// The request is complete.
    complete,
    /// The request is malformed or exceeds a limit, see `fault`. Its end is unknown.
    failed,
};

/// Parses one request in HTTP/1.1 or HTTP/1.0 with Boost.Beast. Lines must end with CRLF.
class request_parser
{
public:
    /// \param headBytesMax limit of the request line and the header fields together, of one chunk's
    /// framing, and of the trailers.
    /// \param framingBytesMax limit of all framing of a chunked body together.
    request_parser(std::size_t headBytesMax, std::uint64_t framingBytesMax);
    request_parser(request_parser &&other) noexcept;
    request_parser &operator=(request_parser &&other) noexcept;
    ~request_parser();

    /// Parses one step and removes its bytes from the front of `input`. After `need_more`, the rest
    /// of `input` must be passed again, with further bytes behind it.
    parse_step next(std::string_view &input);

    const request_head &head() const;
    /// Valid until `next` is called or the input changes.
    std::string_view bodyPart() const;
    const request_rejection &fault() const;
    /// True if the connection stays usable after this request. Valid from `parse_step::head` on.
    bool keepsConnection() const;

private:
    class beast_parser;

    parse_step fail(request_rejection fault);
    parse_step parseHead(std::string_view &input);
    parse_step parseBody(std::string_view &input);

    std::unique_ptr<beast_parser> m_parser;
    std::size_t m_headBytesMax;
    std::uint64_t m_framingBytesLeft;
    std::size_t m_headBytes = 0;
    request_rejection m_fault;
};

} // namespace almondnotch
