#include "servers/worker_transport/worker_exchange.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <arpa/inet.h>
#include <strings.h>

namespace almondnotch {

namespace {

const char *const loadTarget = "/almondnotch/load";

/// Request headers that the transport sets itself or that belong to one connection.
constexpr std::array<std::string_view, 10> replacedHeaders {
    "Connection",        "Keep-Alive",     "Proxy-Connection", "TE",    "Trailer", "Upgrade",
    "Transfer-Encoding", "Content-Length", "Idempotency-Key",  "Expect"};
constexpr std::string_view ownPrefix = "Almondnotch-";

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

/// True if the text cannot end its line or the request line early.
bool isOneLine(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char c) { return c == '\r' || c == '\n' || c == '\0'; });
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c != '\x7f'; });
}

/// An address that libcurl needs no resolver for: names would start resolver threads.
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

long toCurlMilliseconds(duration length)
{
    // Rounded up, since 0 would mean no limit.
    return static_cast<long>((length + milliseconds(1) - microseconds(1)) / milliseconds(1));
}

} // namespace

worker_exchange::worker_exchange(std::string workerAddress, std::size_t bodyBytesMax,
                                 bool headRequest, bool repeatable)
    : m_workerAddress(std::move(workerAddress)), m_repeatable(repeatable),
      m_reader(bodyBytesMax, headRequest)
{ }

worker_exchange::~worker_exchange()
{
    if (m_handle != nullptr)
        m_pool->give(m_handle);
}

result<void> worker_exchange::prepareAttempt(easy_pool &pool, connection_table &connections,
                                             const worker_transport_settings &bounds,
                                             const start_attempt &order, duration timeLeft)
{
    const call_request &request = *order.request;
    if (request.method.empty() || !isPrintable(request.method))
        return fail(error_code::invalid_argument, "send attempt", m_workerAddress,
                    "the method contains a blank or control character");
    if (!request.target.starts_with('/') || !isPrintable(request.target))
        return fail(error_code::invalid_argument, "send attempt", m_workerAddress,
                    "expected a target that begins with / and has no blanks");
    bool typed = false;
    bool accepting = false;
    for (const header_field &field : request.headers) {
        const bool replaced
            = std::any_of(
                  replacedHeaders.begin(), replacedHeaders.end(),
                  [&field](std::string_view name) { return equalIgnoringCase(field.name, name); })
              || equalIgnoringCase(std::string_view(field.name).substr(0, ownPrefix.size()),
                                   ownPrefix);
        if (replaced)
            continue;
        if (!isPrintable(field.name) || !isOneLine(field.value))
            return fail(error_code::invalid_argument, "send attempt", m_workerAddress,
                        "a header contains a line break");
        typed = typed || equalIgnoringCase(field.name, "Content-Type");
        accepting = accepting || equalIgnoringCase(field.name, "Accept");
        m_headers.add(field.name, field.value);
    }
    if (!isOneLine(request.idempotencyKey) || !isOneLine(request.requestId))
        return fail(error_code::invalid_argument, "send attempt", m_workerAddress,
                    "the idempotency key or request id contains a line break");
    m_headers.add("Almondnotch-Deadline-Ms", std::to_string(toMilliseconds(timeLeft)));
    m_headers.add("Almondnotch-Depth", std::to_string(request.depth + 1));
    m_headers.add("Almondnotch-Attempt", std::to_string(order.attemptNumber));
    m_headers.add("Almondnotch-Request-Id", request.requestId);
    if (!request.idempotencyKey.empty())
        m_headers.add("Idempotency-Key", request.idempotencyKey);
    if (!typed)
        m_headers.suppress("Content-Type");
    if (!accepting)
        m_headers.suppress("Accept");
    m_headers.suppress("Expect");
    const result<void> prepared = prepare(pool, connections, bounds, request.target, timeLeft);
    if (!prepared)
        return prepared;
    m_request = order.request;
    if (request.method == "HEAD") {
        curl_easy_setopt(m_handle, CURLOPT_NOBODY, 1L);
    } else {
        // Requests of these methods have a length even without a body.
        const bool lengthWanted
            = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
        if (lengthWanted || !request.body.empty()) {
            curl_easy_setopt(m_handle, CURLOPT_POST, 1L);
            curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(request.body.size()));
            curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, request.body.data());
        }
        curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
    const duration reuseAge = m_repeatable ? bounds.reuseAgeMax : bounds.unsafeReuseAgeMax;
    curl_easy_setopt(m_handle, CURLOPT_MAXAGE_CONN, static_cast<long>(reuseAge / seconds(1)));
    return {};
}

result<void> worker_exchange::prepareProbe(easy_pool &pool, connection_table &connections,
                                           const worker_transport_settings &bounds,
                                           duration timeLeft)
{
    m_headers.suppress("Accept");
    const result<void> prepared = prepare(pool, connections, bounds, loadTarget, timeLeft);
    if (prepared)
        curl_easy_setopt(m_handle, CURLOPT_MAXAGE_CONN,
                         static_cast<long>(bounds.reuseAgeMax / seconds(1)));
    return prepared;
}

result<void> worker_exchange::prepare(easy_pool &pool, connection_table &connections,
                                      const worker_transport_settings &bounds,
                                      const std::string &target, duration timeLeft)
{
    if (!isNumericAddress(m_workerAddress))
        return fail(error_code::invalid_argument, "connect", m_workerAddress, "expected ip:port");
    m_pool = &pool;
    m_handle = pool.take();
    if (m_handle == nullptr)
        return fail(error_code::unavailable, "connect", m_workerAddress,
                    "libcurl has no memory for a handle");
    curl_easy_setopt(m_handle, CURLOPT_URL, ("http://" + m_workerAddress + "/").c_str());
    // Sent as it is, whereas a path in the URL would be normalised.
    curl_easy_setopt(m_handle, CURLOPT_REQUEST_TARGET, target.c_str());
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headers.get());
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS,
                     toCurlMilliseconds(bounds.connectTimeout));
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, toCurlMilliseconds(timeLeft));
    curl_easy_setopt(m_handle, CURLOPT_PREREQFUNCTION, &worker_exchange::beforeRequest);
    curl_easy_setopt(m_handle, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &worker_exchange::headerArrived);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &worker_exchange::bodyArrived);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
    connections.install(m_handle, m_opened);
    return {};
}

void worker_exchange::prepareFreshConnection(duration timeLeft)
{
    m_staleConnection = false;
    curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, toCurlMilliseconds(timeLeft));
}

int worker_exchange::beforeRequest(void *self, char *peerIp, char * /*localIp*/, int peerPort,
                                   int localPort)
{
    worker_exchange *exchange = static_cast<worker_exchange *>(self);
    if (exchange->m_transmissions > 0 && !exchange->m_repeatable) {
        exchange->m_repeatRefused = true;
        return CURL_PREREQFUNC_ABORT;
    }
    if (exchange->m_opened.table->isStale(exchange->m_opened, peerIp, peerPort, localPort)) {
        exchange->m_staleConnection = true;
        return CURL_PREREQFUNC_ABORT;
    }
    ++exchange->m_transmissions;
    return CURL_PREREQFUNC_OK;
}

std::size_t worker_exchange::headerArrived(char *data, std::size_t size, std::size_t count,
                                           void *self)
{
    worker_exchange *exchange = static_cast<worker_exchange *>(self);
    return exchange->m_reader.addHeaderLine({data, size * count}) ? size * count : 0;
}

std::size_t worker_exchange::bodyArrived(char *data, std::size_t size, std::size_t count,
                                         void *self)
{
    worker_exchange *exchange = static_cast<worker_exchange *>(self);
    // Any value other than the length of the data makes libcurl give the transfer up.
    return exchange->m_reader.addBody({data, size * count}) ? size * count : 0;
}

std::uint64_t worker_exchange::bytesSent() const
{
    long head = 0;
    curl_off_t body = 0;
    if (m_handle != nullptr) {
        curl_easy_getinfo(m_handle, CURLINFO_REQUEST_SIZE, &head);
        curl_easy_getinfo(m_handle, CURLINFO_SIZE_UPLOAD_T, &body);
    }
    return static_cast<std::uint64_t>(head) + static_cast<std::uint64_t>(body);
}

std::uint64_t worker_exchange::bytesReceived() const
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
