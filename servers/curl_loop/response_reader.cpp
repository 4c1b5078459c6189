#include "servers/curl_loop/response_reader.h"

#include <charconv>

#include "servers/curl_loop/header_text.h"

namespace almondnotch {

namespace {

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

/// Status code of a status line such as "HTTP/1.1 200 OK": three digits between the first space and
/// the next one or the end of the line. Nothing if it is missing or outside of the range of RFC
/// 9110, section 15; such a response is no answer to the request, which may have run nevertheless.
std::optional<int> parseStatusCode(std::string_view line)
{
    constexpr std::size_t digits = 3;
    const std::string_view content = trimmed(line);
    const std::size_t space = content.find(' ');
    if (space == std::string_view::npos)
        return std::nullopt;
    const std::string_view rest = content.substr(space + 1);
    if (rest.size() < digits || (rest.size() > digits && rest[digits] != ' '))
        return std::nullopt;
    const std::optional<int> code = parseDigits<int>(rest.substr(0, digits));
    return code && *code >= 100 && *code <= 599 ? code : std::nullopt;
}

} // namespace

bool response_reader::addHeaderLine(std::string_view line)
{
    m_headerBytes += line.size();
    if (m_headerBytes > headerBytesMax)
        return rejectTooLarge("the headers exceed " + std::to_string(headerBytesMax) + " bytes");
    const bool interim = m_status >= 100 && m_status < 200;
    if (line.starts_with("HTTP/") && (!m_headerEnded || interim))
        return addStatusLine(line);
    // Lines after the end of the headers are trailers, which must not change the headers.
    if (m_headerEnded)
        return true;
    const std::string_view content = trimmed(line);
    if (content.empty()) {
        m_headerEnded = true;
        return true;
    }
    const std::size_t colon = content.find(':');
    // Folded lines (RFC 9112, section 5.2) begin with whitespace and are rejected as well.
    if (colon == std::string_view::npos || colon == 0 || line.front() == ' '
        || line.front() == '\t')
        return reject("a header line has no field name or begins with whitespace");
    m_headers.push_back(
        {std::string(content.substr(0, colon)), std::string(trimmed(content.substr(colon + 1)))});
    recordFraming(m_headers.back());
    if (m_contentLength && *m_contentLength > m_bodyBytesMax && !m_isHeadRequest)
        return rejectTooLarge("the announced body exceeds " + std::to_string(m_bodyBytesMax)
                              + " bytes");
    return true;
}

/// Begins a response.
bool response_reader::addStatusLine(std::string_view line)
{
    const std::optional<int> status = parseStatusCode(line);
    if (!status)
        return reject("the status line is malformed");
    if (++m_statusLines > interimResponsesMax + 1)
        return rejectTooLarge("there are more than " + std::to_string(interimResponsesMax)
                              + " interim responses");
    m_status = *status;
    m_headerEnded = false;
    m_headers.clear();
    m_contentLength.reset();
    m_chunked = false;
    return true;
}

void response_reader::recordFraming(const header_field &field)
{
    if (equalIgnoringCase(field.name, "Content-Length")) {
        const std::optional<std::uint64_t> length = parseDigits<std::uint64_t>(field.value);
        if (!length || (m_contentLength && *m_contentLength != *length))
            m_hasInvalidFraming = true;
        else
            m_contentLength = length;
    } else if (equalIgnoringCase(field.name, "Transfer-Encoding")) {
        if (m_chunked || !equalIgnoringCase(field.value, "chunked"))
            m_hasInvalidFraming = true;
        else
            m_chunked = true;
    }
}

bool response_reader::addBody(std::string_view bytes)
{
    if (!decodeBody(bytes))
        return false;
    if (m_consumer)
        return passBodyOn();
    const std::size_t size = m_body.size();
    if (size > unbudgetedBytes && !m_reservation.growTo(size - unbudgetedBytes))
        return rejectTooLarge("the bodies of all responses together exceed their maximum size");
    return true;
}

bool response_reader::decodeBody(std::string_view bytes)
{
    if (m_chunked)
        return decodeChunks(bytes);
    if (m_body.size() + bytes.size() > m_bodyBytesMax)
        return rejectTooLarge("the body exceeds " + std::to_string(m_bodyBytesMax) + " bytes");
    if (m_body.empty() && m_contentLength && !m_consumer)
        m_body.reserve(*m_contentLength);
    m_body.append(bytes);
    return true;
}

bool response_reader::passBodyOn()
{
    m_consumedBytes += m_body.size();
    m_hasEnoughBody = !m_consumer(m_body);
    m_body.clear();
    return !m_hasEnoughBody || reject("the rest of the body is not needed");
}

bool response_reader::decodeChunks(std::string_view bytes)
{
    if (m_chunks.decode(bytes, m_body))
        return true;
    m_tooLarge = m_chunks.isTooLarge();
    m_hasInvalidFraming = !m_tooLarge;
    return reject(m_chunks.failure());
}

bool response_reader::validate()
{
    if (!m_failure.empty())
        return false;
    if (!m_headerEnded || m_status < 200)
        return reject("the response headers are incomplete");
    const bool hasNoBody = m_isHeadRequest || m_status == 204 || m_status == 304;
    // The length of a response with both Content-Length and chunked framing may be interpreted
    // differently by each side (RFC 9112, section 6.3).
    if (m_hasInvalidFraming || (m_contentLength && m_chunked)) {
        m_hasInvalidFraming = true;
        return reject("the framing headers are malformed or contradict each other");
    }
    if (hasNoBody)
        return true;
    if (!m_contentLength && !m_chunked && !m_allowsCloseDelimited) {
        m_hasInvalidFraming = true;
        return reject("the response has neither Content-Length nor chunked framing");
    }
    if (m_chunked && !m_chunks.isComplete())
        return reject("the last chunk is missing");
    const std::uint64_t bodyBytes = m_consumedBytes + m_body.size();
    if (m_contentLength && *m_contentLength != bodyBytes)
        return reject("expected " + std::to_string(*m_contentLength) + " bytes of body, found "
                      + std::to_string(bodyBytes));
    return true;
}

bool response_reader::rejectTooLarge(std::string reason)
{
    m_tooLarge = true;
    return reject(std::move(reason));
}

bool response_reader::reject(std::string reason)
{
    m_failure = std::move(reason);
    return false;
}

std::vector<std::string_view> response_reader::headerValues(std::string_view name) const
{
    std::vector<std::string_view> values;
    for (const header_field &field : m_headers) {
        if (equalIgnoringCase(field.name, name))
            values.emplace_back(field.value);
    }
    return values;
}

} // namespace almondnotch
