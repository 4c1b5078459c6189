#include "servers/http_entry/request_parser.h"

#include <limits>
#include <string>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>

namespace almondnotch {

namespace {

namespace http = boost::beast::http;

request_rejection headTooLarge(std::size_t headBytesMax, bool isRequestLine)
{
    const std::string detail = "expected at most " + std::to_string(headBytesMax) + " bytes";
    if (isRequestLine)
        return {414, "target-too-long", "Request target too long", detail};
    return {431, "headers-too-large", "Request header fields too large", detail};
}

/// True if the first line ends without CR. Boost.Beast reports that as an unsupported version.
bool hasBareLineFeed(std::string_view text)
{
    const std::size_t end = text.find('\n');
    return end != std::string_view::npos && (end == 0 || text[end - 1] != '\r');
}

/// Translates an error of the parser.
request_rejection describe(const boost::beast::error_code &code)
{
    if (code == http::error::bad_version)
        return {505, "version-unsupported", "Unsupported protocol version",
                "expected HTTP/1.1 or HTTP/1.0"};
    if (code == http::error::bad_method)
        return {400, "method-invalid", "Invalid method", "expected a token"};
    if (code == http::error::bad_target)
        return {400, "target-invalid", "Invalid request target",
                "expected a target without spaces and control characters"};
    if (code == http::error::bad_content_length || code == http::error::bad_transfer_encoding)
        return {400, "framing-invalid", "Ambiguous message framing",
                "expected one of Content-Length and Transfer-Encoding"};
    if (code == http::error::bad_chunk || code == http::error::bad_chunk_extension)
        return {400, "framing-invalid", "Invalid chunk", code.message()};
    return {400, "header-invalid", "Invalid request header", code.message()};
}

} // namespace

/// Collects what Boost.Beast reports.
class request_parser::beast_parser : public http::basic_parser<true>
{
public:
    beast_parser()
    {
        // The limits are enforced by `request_parser` and its users.
        header_limit(std::numeric_limits<std::uint32_t>::max());
        body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    request_head head;
    std::string_view bodyPart;
    bool hasRequestLine = false;
    bool isHeadReported = false;

private:
    using text = boost::beast::string_view;
    using error = boost::beast::error_code;

    void on_request_impl(http::verb /*method*/, text method, text target, int version,
                         error & /*code*/) override
    {
        hasRequestLine = true;
        head.method.assign(method.data(), method.size());
        head.target.assign(target.data(), target.size());
        head.version = version == 10 ? "HTTP/1.0" : "HTTP/1.1";
    }

    void on_response_impl(int /*status*/, text /*reason*/, int /*version*/,
                          error & /*code*/) override
    { }

    void on_field_impl(http::field /*field*/, text name, text value, error & /*code*/) override
    {
        // Trailers are not forwarded, since they come after the fields that were checked.
        if (!is_header_done())
            head.fields.push_back(
                {std::string(name.data(), name.size()), std::string(value.data(), value.size())});
    }

    void on_header_impl(error & /*code*/) override { }

    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                           error & /*code*/) override
    { }

    std::size_t on_body_impl(text body, error & /*code*/) override
    {
        bodyPart = {body.data(), body.size()};
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, text /*extensions*/,
                              error & /*code*/) override
    { }

    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, text body,
                                   error & /*code*/) override
    {
        bodyPart = {body.data(), body.size()};
        return body.size();
    }

    void on_finish_impl(error & /*code*/) override { }
};

request_parser::request_parser(std::size_t headBytesMax, std::uint64_t framingBytesMax)
    : m_parser(std::make_unique<beast_parser>()), m_headBytesMax(headBytesMax),
      m_framingBytesLeft(framingBytesMax)
{ }

request_parser::request_parser(request_parser &&other) noexcept = default;
request_parser &request_parser::operator=(request_parser &&other) noexcept = default;
request_parser::~request_parser() = default;

const request_head &request_parser::head() const
{
    return m_parser->head;
}

std::string_view request_parser::bodyPart() const
{
    return m_parser->bodyPart;
}

const request_rejection &request_parser::fault() const
{
    return m_fault;
}

bool request_parser::keepsConnection() const
{
    return m_parser->keep_alive();
}

parse_step request_parser::next(std::string_view &input)
{
    if (!m_parser->isHeadReported)
        return parseHead(input);
    if (m_parser->is_done())
        return parse_step::complete;
    return parseBody(input);
}

parse_step request_parser::fail(request_rejection fault)
{
    m_fault = std::move(fault);
    return parse_step::failed;
}

parse_step request_parser::parseHead(std::string_view &input)
{
    if (input.empty())
        return parse_step::need_more;
    boost::beast::error_code code;
    const std::size_t consumed
        = m_parser->put(boost::asio::const_buffer(input.data(), input.size()), code);
    input.remove_prefix(consumed);
    m_headBytes += consumed;
    const bool isIncomplete = code == http::error::need_more;
    if (m_headBytes + (isIncomplete ? input.size() : 0) > m_headBytesMax)
        return fail(headTooLarge(m_headBytesMax, !m_parser->hasRequestLine));
    if (isIncomplete)
        return parse_step::need_more;
    if (!m_parser->hasRequestLine && hasBareLineFeed(input))
        return fail(describe(http::error::bad_line_ending));
    if (code)
        return fail(describe(code));
    m_parser->isHeadReported = true;
    return parse_step::head;
}

parse_step request_parser::parseBody(std::string_view &input)
{
    while (!input.empty()) {
        m_parser->bodyPart = {};
        boost::beast::error_code code;
        const std::size_t consumed
            = m_parser->put(boost::asio::const_buffer(input.data(), input.size()), code);
        input.remove_prefix(consumed);
        const std::size_t framingBytes = consumed - m_parser->bodyPart.size();
        const bool isIncomplete = code == http::error::need_more;
        if (framingBytes > m_framingBytesLeft || (isIncomplete && input.size() > m_headBytesMax))
            return fail({400, "framing-invalid", "Chunk framing too large",
                         "expected less framing for the bytes of the body"});
        m_framingBytesLeft -= framingBytes;
        if (!m_parser->bodyPart.empty())
            return parse_step::body;
        if (isIncomplete)
            return parse_step::need_more;
        if (code)
            return fail(describe(code));
        if (m_parser->is_done())
            return parse_step::complete;
    }
    return parse_step::need_more;
}

} // namespace almondnotch
