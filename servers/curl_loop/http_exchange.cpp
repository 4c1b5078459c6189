#include "servers/curl_loop/http_exchange.h"

#include <algorithm>
#include <charconv>

#include <arpa/inet.h>

namespace almondnotch {

namespace {

bool hasOnlyVisibleCharacters(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c != '\x7f'; });
}

/// True for "ip:port" with an IPv4 address. libcurl would start resolver threads for host names.
bool isNumericAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        return false;
    in_addr parsed = {};
    unsigned port = 0;
    const char *const end = address.data() + address.size();
    const std::from_chars_result digits = std::from_chars(address.data() + colon + 1, end, port);
    return inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed) == 1
           && digits.ec == std::errc() && digits.ptr == end && port > 0 && port <= 65535;
}

long toCurlMilliseconds(duration timeout)
{
    // Rounded up, since 0 means no limit to libcurl.
    return static_cast<long>((timeout + milliseconds(1) - microseconds(1)) / milliseconds(1));
}

} // namespace

http_exchange::http_exchange(std::string address, std::size_t bodyBytesMax, bool isHeadRequest,
                             bool retransmissionAllowed)
    : m_address(std::move(address)), m_retransmissionAllowed(retransmissionAllowed),
      m_reader(bodyBytesMax, isHeadRequest)
{ }

http_exchange::~http_exchange()
{
    if (m_handle != nullptr)
        m_pool->release(m_handle);
}

result<void> http_exchange::prepare(easy_handle_pool &pool, connection_table &connections,
                                    const std::string &target, const exchange_timeouts &timeouts)
{
    if (!isNumericAddress(m_address))
        return fail(error_code::invalid_argument, "connect", m_address,
                    "expected ip:port with an IPv4 address");
    if (!target.starts_with('/') || !hasOnlyVisibleCharacters(target))
        return fail(error_code::invalid_argument, "send request", m_address,
                    "expected a target that begins with / and has no spaces or control characters");
    m_pool = &pool;
    m_handle = pool.acquire();
    if (m_handle == nullptr)
        return fail(error_code::unavailable, "connect", m_address,
                    "libcurl could not allocate a handle");
    curl_easy_setopt(m_handle, CURLOPT_URL, ("http://" + m_address + "/").c_str());
    // Sent unchanged, whereas libcurl would normalise a path in the URL.
    curl_easy_setopt(m_handle, CURLOPT_REQUEST_TARGET, target.c_str());
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headers.get());
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS,
                     toCurlMilliseconds(timeouts.connectTimeout));
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, toCurlMilliseconds(timeouts.timeLimit));
    curl_easy_setopt(m_handle, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(timeouts.connectionIdleTimeMax / seconds(1)));
    if (timeouts.connectionAgeMax >= seconds(1))
        curl_easy_setopt(m_handle, CURLOPT_MAXLIFETIME_CONN,
                         static_cast<long>(timeouts.connectionAgeMax / seconds(1)));
    else
        curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(m_handle, CURLOPT_PREREQFUNCTION, &http_exchange::beforeRequest);
    curl_easy_setopt(m_handle, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &http_exchange::onHeaderLine);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &http_exchange::onBodyData);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    // The reader decodes chunked framing, so that it can bound the bytes of each part of it.
    curl_easy_setopt(m_handle, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
    connections.installSocketCallbacks(m_handle, m_unrecordedSocket);
    return {};
}

result<void> http_exchange::setMethodAndBody(const std::string &method, std::string_view body)
{
    if (method.empty() || !hasOnlyVisibleCharacters(method))
        return fail(error_code::invalid_argument, "send request", m_address,
                    "expected a non-empty method without spaces and control characters");
    if (method == "HEAD") {
        curl_easy_setopt(m_handle, CURLOPT_NOBODY, 1L);
        return {};
    }
    // Requests with these methods have a Content-Length even without a body.
    const bool needsContentLength = method == "POST" || method == "PUT" || method == "PATCH";
    if (needsContentLength || !body.empty()) {
        curl_easy_setopt(m_handle, CURLOPT_POST, 1L);
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, body.empty() ? "" : body.data());
    }
    curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, method.c_str());
    return {};
}

void http_exchange::useDedicatedConnection()
{
    curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(m_handle, CURLOPT_FORBID_REUSE, 1L);
}

void http_exchange::prepareNewConnection(duration timeLeft)
{
    m_staleConnection = false;
    curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, toCurlMilliseconds(timeLeft));
}

int http_exchange::beforeRequest(void *self, char *peerIp, char * /*localIp*/, int peerPort,
                                 int localPort)
{
    http_exchange *exchange = static_cast<http_exchange *>(self);
    if (exchange->m_transmissions > 0 && !exchange->m_retransmissionAllowed) {
        exchange->m_retransmissionRefused = true;
        return CURL_PREREQFUNC_ABORT;
    }
    if (exchange->m_unrecordedSocket.table->isReusedConnectionStale(exchange->m_unrecordedSocket,
                                                                    peerIp, peerPort, localPort)) {
        exchange->m_staleConnection = true;
        return CURL_PREREQFUNC_ABORT;
    }
    ++exchange->m_transmissions;
    return CURL_PREREQFUNC_OK;
}

std::size_t http_exchange::onHeaderLine(char *data, std::size_t size, std::size_t count, void *self)
{
    http_exchange *exchange = static_cast<http_exchange *>(self);
    return exchange->m_reader.addHeaderLine({data, size * count}) ? size * count : 0;
}

std::size_t http_exchange::onBodyData(char *data, std::size_t size, std::size_t count, void *self)
{
    http_exchange *exchange = static_cast<http_exchange *>(self);
    // Any value other than the length of the data makes libcurl abort the transfer.
    return exchange->m_reader.addBody({data, size * count}) ? size * count : 0;
}

bool http_exchange::usedNewConnection() const
{
    long opened = 0;
    if (m_handle != nullptr)
        curl_easy_getinfo(m_handle, CURLINFO_NUM_CONNECTS, &opened);
    return opened > 0;
}

std::uint64_t http_exchange::bytesSent() const
{
    long head = 0;
    curl_off_t body = 0;
    if (m_handle != nullptr) {
        curl_easy_getinfo(m_handle, CURLINFO_REQUEST_SIZE, &head);
        curl_easy_getinfo(m_handle, CURLINFO_SIZE_UPLOAD_T, &body);
    }
    return static_cast<std::uint64_t>(head) + static_cast<std::uint64_t>(body);
}

std::uint64_t http_exchange::bytesReceived() const
{
    long head = 0;
    curl_off_t body = 0;
    if (m_handle != nullptr) {
        curl_easy_getinfo(m_handle, CURLINFO_HEADER_SIZE, &head);
        curl_easy_getinfo(m_handle, CURLINFO_SIZE_DOWNLOAD_T, &body);
    }
    return static_cast<std::uint64_t>(head) + static_cast<std::uint64_t>(body);
}

} // namespace almondnotch
