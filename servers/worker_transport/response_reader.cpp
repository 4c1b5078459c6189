#include "servers/worker_transport/response_reader.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <strings.h>

#include "servers/worker_transport/load_parser.h"

namespace almondnotch {

namespace {

/// Headers of one connection (RFC 9110, section 7.6.1), which are not passed on.
constexpr std::array<std::string_view, 9> hopByHopHeaders {"Connection",
                                                           "Keep-Alive",
                                                           "Proxy-Authenticate",
                                                           "Proxy-Authorization",
                                                           "Proxy-Connection",
                                                           "TE",
                                                           "Trailer",
                                                           "Transfer-Encoding",
                                                           "Upgrade"};

constexpr std::string_view ownPrefix = "Almondnotch-";

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

template <typename Number>
std::optional<Number> parseDigits(std::string_view text)
{
    Number value = 0;
    const std::from_chars_result parsed
        = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || text.front() == '-' || parsed.ec != std::errc()
        || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// Values of all headers of that name.
std::vector<std::string_view> valuesOf(const std::vector<header_field> &headers,
                                       std::string_view name)
{
    std::vector<std::string_view> values;
    for (const header_field &field : headers) {
        if (equalIgnoringCase(field.name, name))
            values.emplace_back(field.value);
    }
    return values;
}

/// True if one of the comma-separated tokens of a `Connection` header is this name.
bool isNamedIn(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t end = list.find(',');
        if (equalIgnoringCase(trimmed(list.substr(0, end)), name))
            return true;
        list = end == std::string_view::npos ? std::string_view() : list.substr(end + 1);
    }
    return false;
}

} // namespace

bool response_reader::addHeaderLine(std::string_view line)
{
    const bool interim = m_status >= 100 && m_status < 200;
    if (line.starts_with("HTTP/") && (!m_headerEnded || interim)) {
        // "HTTP/1.1 200 OK": the code has three digits after the first blank.
        const std::size_t blank = line.find(' ');
        const std::optional<int> status = blank == std::string_view::npos
                                              ? std::nullopt
                                              : parseDigits<int>(line.substr(blank + 1, 3));
        if (!status || *status < 100)
            return giveUp("the status line is malformed");
        m_status = *status;
        m_headerEnded = false;
        m_headers.clear();
        m_contentLength.reset();
        m_chunked = false;
        return true;
    }
    // Lines after the body are trailers, which must not change what the headers said.
    if (m_headerEnded)
        return true;
    m_headerBytes += line.size();
    if (m_headerBytes > headerBytesMax) {
        m_tooLarge = true;
        return giveUp("the headers exceed " + std::to_string(headerBytesMax) + " bytes");
    }
    const std::string_view content = trimmed(line);
    if (content.empty()) {
        m_headerEnded = true;
        return true;
    }
    const std::size_t colon = content.find(':');
    // Folded lines (RFC 9112, section 5.2) begin with a blank and are not accepted either.
    if (colon == std::string_view::npos || colon == 0 || line.front() == ' '
        || line.front() == '\t')
        return giveUp("a header line has no name");
    m_headers.push_back(
        {std::string(content.substr(0, colon)), std::string(trimmed(content.substr(colon + 1)))});
    noteFraming(m_headers.back());
    if (m_contentLength && *m_contentLength > m_bodyBytesMax && !m_headRequest) {
        m_tooLarge = true;
        return giveUp("the announced body exceeds " + std::to_string(m_bodyBytesMax) + " bytes");
    }
    return true;
}

void response_reader::noteFraming(const header_field &field)
{
    if (equalIgnoringCase(field.name, "Content-Length")) {
        const std::optional<std::uint64_t> length = parseDigits<std::uint64_t>(field.value);
        if (!length || (m_contentLength && *m_contentLength != *length))
            m_badlyFramed = true;
        else
            m_contentLength = length;
    } else if (equalIgnoringCase(field.name, "Transfer-Encoding")) {
        if (m_chunked || !equalIgnoringCase(field.value, "chunked"))
            m_badlyFramed = true;
        else
            m_chunked = true;
    }
}

bool response_reader::addBody(std::string_view bytes)
{
    if (m_body.size() + bytes.size() > m_bodyBytesMax) {
        m_tooLarge = true;
        return giveUp("the body exceeds " + std::to_string(m_bodyBytesMax) + " bytes");
    }
    if (m_body.empty() && m_contentLength)
        m_body.reserve(*m_contentLength);
    m_body.append(bytes);
    return true;
}

bool response_reader::complete()
{
    if (!m_failure.empty())
        return false;
    if (!m_headerEnded || m_status < 200)
        return giveUp("there is no whole header");
    const bool bodyless = m_headRequest || m_status == 204 || m_status == 304;
    // Length and chunks together may be read differently by each side (RFC 9112, section 6.3).
    if (m_badlyFramed || (m_contentLength && m_chunked)) {
        m_badlyFramed = true;
        return giveUp("the framing headers contradict each other");
    }
    if (bodyless)
        return true;
    if (!m_contentLength && !m_chunked) {
        m_badlyFramed = true;
        return giveUp("the response has neither Content-Length nor chunked framing");
    }
    if (m_contentLength && *m_contentLength != m_body.size())
        return giveUp("expected " + std::to_string(*m_contentLength) + " bytes of body, found "
                      + std::to_string(m_body.size()));
    return true;
}

bool response_reader::giveUp(std::string reason)
{
    m_failure = std::move(reason);
    return false;
}

std::optional<load_report> response_reader::load() const
{
    const std::vector<std::string_view> loads = valuesOf(m_headers, "Almondnotch-Load");
    const std::vector<std::string_view> states = valuesOf(m_headers, "Almondnotch-State");
    std::optional<load_report> report
        = loads.size() == 1 ? parseLoadHeader(loads.front()) : std::optional<load_report>();
    const std::optional<worker_state> state
        = states.size() == 1 ? parseWorkerState(states.front()) : std::optional<worker_state>();
    if (!report && state == worker_state::draining)
        report = load_report {};
    if (report && state)
        report->state = *state;
    return report;
}

bool response_reader::loadMalformed() const
{
    const std::vector<std::string_view> loads = valuesOf(m_headers, "Almondnotch-Load");
    const std::vector<std::string_view> states = valuesOf(m_headers, "Almondnotch-State");
    return (!loads.empty() && (loads.size() > 1 || !parseLoadHeader(loads.front())))
           || (!states.empty() && (states.size() > 1 || !parseWorkerState(states.front())));
}

bool response_reader::refusedNotRun() const
{
    const std::vector<std::string_view> outcomes = valuesOf(m_headers, "Almondnotch-Outcome");
    return m_status == 503 && outcomes.size() == 1 && outcomes.front() == "not-run";
}

call_response response_reader::takeResponse()
{
    call_response response;
    response.status = m_status;
    response.outcome = refusedNotRun() ? call_outcome::not_run : call_outcome::run;
    const std::vector<std::string_view> connection = valuesOf(m_headers, "Connection");
    const bool lengthKept = m_headRequest || m_status == 304;
    for (const header_field &field : m_headers) {
        const bool hopByHop
            = std::any_of(
                  hopByHopHeaders.begin(), hopByHopHeaders.end(),
                  [&field](std::string_view name) { return equalIgnoringCase(field.name, name); })
              || std::any_of(connection.begin(), connection.end(), [&field](std::string_view list) {
                     return isNamedIn(list, field.name);
                 });
        const bool own = equalIgnoringCase(std::string_view(field.name).substr(0, ownPrefix.size()),
                                           ownPrefix);
        const bool length = equalIgnoringCase(field.name, "Content-Length");
        if (!hopByHop && !own && (!length || lengthKept))
            response.headers.push_back(field);
    }
    response.body = std::move(m_body);
    return response;
}

} // namespace almondnotch
