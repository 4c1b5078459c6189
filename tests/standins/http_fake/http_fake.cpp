#include "tests/standins/http_fake/http_fake.h"

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <optional>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace almondnotch {

namespace {

constexpr std::size_t headerBytesMax = 65'536;
constexpr std::size_t bodyBytesMax = 4'194'304;
constexpr int listenBacklog = 1024;

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t value = 0;
    const std::from_chars_result parsed
        = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || value < 0)
        return std::nullopt;
    return value;
}

void parseQuery(std::string_view text, received_request &request)
{
    while (!text.empty()) {
        const std::size_t end = text.find('&');
        const std::string_view pair = text.substr(0, end);
        const std::size_t equals = pair.find('=');
        const std::string_view value
            = equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        request.query.emplace(std::string(pair.substr(0, equals)), std::string(value));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
}

/// Parses request line and headers. \return `std::nullopt` if they are malformed.
std::optional<received_request> parseHead(std::string_view head)
{
    received_request request;
    const std::size_t lineEnd = head.find("\r\n");
    const std::string_view line = head.substr(0, lineEnd);
    const std::size_t methodEnd = line.find(' ');
    const std::size_t targetEnd = line.rfind(' ');
    if (methodEnd == std::string_view::npos || targetEnd <= methodEnd)
        return std::nullopt;
    request.method = line.substr(0, methodEnd);
    request.target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    const std::size_t queryStart = request.target.find('?');
    request.path = request.target.substr(0, queryStart);
    if (queryStart != std::string::npos)
        parseQuery(std::string_view(request.target).substr(queryStart + 1), request);
    std::string_view rest
        = lineEnd == std::string_view::npos ? std::string_view() : head.substr(lineEnd + 2);
    while (!rest.empty()) {
        const std::size_t end = rest.find("\r\n");
        const std::string_view field = rest.substr(0, end);
        const std::size_t colon = field.find(':');
        if (colon == std::string_view::npos)
            return std::nullopt;
        request.headers.push_back(
            {std::string(field.substr(0, colon)), std::string(trimmed(field.substr(colon + 1)))});
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 2);
    }
    return request;
}

std::optional<sockaddr_in> parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    const std::optional<std::int64_t> port
        = parseNumber(std::string_view(address).substr(colon + 1));
    sockaddr_in out = {};
    out.sin_family = AF_INET;
    if (!port || *port > 65535
        || inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) != 1)
        return std::nullopt;
    out.sin_port = htons(static_cast<std::uint16_t>(*port));
    return out;
}

std::string formatAddress(const sockaddr_in &address)
{
    std::array<char, INET_ADDRSTRLEN> text = {};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 304:
        return "Not Modified";
    case 404:
        return "Not Found";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

} // namespace

std::string received_request::header(std::string_view name) const
{
    for (const header_field &field : headers) {
        if (equalIgnoringCase(field.name, name))
            return field.value;
    }
    return {};
}

std::string received_request::parameter(std::string_view name, std::string_view fallback) const
{
    const auto found = query.find(name);
    return found == query.end() ? std::string(fallback) : found->second;
}

std::int64_t received_request::number(std::string_view name, std::int64_t fallback) const
{
    return parseNumber(parameter(name)).value_or(fallback);
}

result<std::unique_ptr<http_fake>> http_fake::create(ev::loop_ref loop, const std::string &address,
                                                     request_handler onRequest)
{
    const std::optional<sockaddr_in> wanted = parseAddress(address);
    if (!wanted)
        return fail(error_code::invalid_argument, "listen", address, "expected ip:port");
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (listener < 0)
        return fail(error_code::unavailable, "create socket", address, std::strerror(errno));
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in bound = *wanted;
    socklen_t length = sizeof bound;
    if (bind(listener, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) != 0
        || listen(listener, listenBacklog) != 0
        || getsockname(listener, reinterpret_cast<sockaddr *>(&bound), &length) != 0) {
        const std::string cause = std::strerror(errno);
        ::close(listener);
        return fail(error_code::unavailable, "listen", address, cause);
    }
    return std::unique_ptr<http_fake>(
        new http_fake(loop, listener, formatAddress(bound), std::move(onRequest)));
}

http_fake::http_fake(ev::loop_ref loop, int listener, std::string address,
                     request_handler onRequest)
    : m_loop(loop), m_listener(listener), m_address(std::move(address)),
      m_onRequest(std::move(onRequest)), m_acceptWatcher(loop)
{
    m_acceptWatcher.set<http_fake, &http_fake::acceptConnections>(this);
    m_acceptWatcher.start(m_listener, ev::READ);
}

http_fake::~http_fake()
{
    m_acceptWatcher.stop();
    ::close(m_listener);
    while (!m_connections.empty())
        close(m_connections.begin()->first);
}

void http_fake::acceptConnections(ev::io & /*watcher*/, int /*events*/)
{
    // Limited so that a burst of new connections does not delay established ones.
    for (int count = 0; count < 64; ++count) {
        const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const connection_id id = m_nextId++;
        ++m_accepted;
        std::unique_ptr<client_connection> added = std::make_unique<client_connection>();
        added->descriptor = descriptor;
        added->watcher.set(m_loop);
        added->watcher.set<http_fake, &http_fake::connectionReady>(this);
        added->watcher.start(descriptor, ev::READ);
        m_byDescriptor[descriptor] = id;
        m_connections.emplace(id, std::move(added));
    }
}

void http_fake::connectionReady(ev::io &watcher, int events)
{
    const auto found = m_byDescriptor.find(watcher.fd);
    if (found == m_byDescriptor.end())
        return;
    const connection_id id = found->second;
    if ((events & ev::WRITE) != 0)
        flush(id);
    const auto position = m_connections.find(id);
    if (position == m_connections.end() || (events & ev::READ) == 0)
        return;
    if (!readInput(id, *position->second))
        return;
    handleInput(id);
}

bool http_fake::readInput(connection_id id, client_connection &from)
{
    std::array<char, 16384> buffer;
    while (true) {
        const ssize_t count = recv(from.descriptor, buffer.data(), buffer.size(), 0);
        if (count > 0) {
            from.input.append(buffer.data(), static_cast<std::size_t>(count));
            if (from.input.size() > headerBytesMax + bodyBytesMax) {
                closeAndNotify(id);
                return false;
            }
            if (count < static_cast<ssize_t>(buffer.size()))
                return true;
            continue;
        }
        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return true;
        closeAndNotify(id);
        return false;
    }
}

void http_fake::handleInput(connection_id id)
{
    while (true) {
        const auto position = m_connections.find(id);
        if (position == m_connections.end() || position->second->awaitsResponse)
            return;
        client_connection &from = *position->second;
        const std::size_t headEnd = from.input.find("\r\n\r\n");
        if (headEnd == std::string::npos) {
            if (from.input.size() > headerBytesMax)
                closeAndNotify(id);
            return;
        }
        std::optional<received_request> request
            = parseHead(std::string_view(from.input).substr(0, headEnd));
        const std::string lengthText = request ? request->header("Content-Length") : "";
        const std::optional<std::int64_t> length
            = lengthText.empty() ? std::optional<std::int64_t>(0) : parseNumber(lengthText);
        if (!request || !length || *length > static_cast<std::int64_t>(bodyBytesMax)
            || !request->header("Transfer-Encoding").empty()) {
            closeAndNotify(id);
            return;
        }
        const std::size_t requestBytes = headEnd + 4 + static_cast<std::size_t>(*length);
        if (from.input.size() < requestBytes)
            return;
        request->body = from.input.substr(headEnd + 4, static_cast<std::size_t>(*length));
        from.input.erase(0, requestBytes);
        from.awaitsResponse = true;
        m_onRequest(id, *request);
    }
}

void http_fake::write(connection_id id, std::string_view bytes)
{
    const auto position = m_connections.find(id);
    if (position == m_connections.end())
        return;
    position->second->output.append(bytes);
    flush(id);
}

void http_fake::respond(connection_id id, std::string_view bytes, bool closeAfter)
{
    const auto position = m_connections.find(id);
    if (position == m_connections.end())
        return;
    position->second->output.append(bytes);
    position->second->closeAfter = closeAfter;
    position->second->awaitsResponse = false;
    flush(id);
    // `handleInput` may have called this function through the request handler. The recursion is
    // safe, since `handleInput` looks up the connection again in each iteration.
    if (!closeAfter)
        handleInput(id);
}

void http_fake::flush(connection_id id)
{
    const auto position = m_connections.find(id);
    if (position == m_connections.end())
        return;
    client_connection &to = *position->second;
    while (!to.output.empty()) {
        const ssize_t count = send(to.descriptor, to.output.data(), to.output.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && errno != EAGAIN) {
            closeAndNotify(id);
            return;
        }
        if (count < 0)
            break;
        to.output.erase(0, static_cast<std::size_t>(count));
    }
    if (to.output.empty() && to.closeAfter) {
        close(id);
        return;
    }
    const int wanted = to.output.empty() ? ev::READ : ev::READ | ev::WRITE;
    if (to.watcher.events != wanted)
        to.watcher.set(wanted);
}

void http_fake::close(connection_id id)
{
    const auto position = m_connections.find(id);
    if (position == m_connections.end())
        return;
    position->second->watcher.stop();
    m_byDescriptor.erase(position->second->descriptor);
    ::close(position->second->descriptor);
    m_connections.erase(position);
}

void http_fake::closeAndNotify(connection_id id)
{
    close(id);
    if (m_onClosed)
        m_onClosed(id);
}

std::string framedResponse(int status, const std::vector<header_field> &headers,
                           std::string_view body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    for (const header_field &field : headers)
        out += field.name + ": " + field.value + "\r\n";
    // A 304 response has no body, and its `Content-Length` would be the size of the value that is
    // not sent.
    if (status != 304)
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    out += "\r\n";
    out += body;
    return out;
}

} // namespace almondnotch
