#include "servers/platform_client/platform_client.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace almondnotch {

namespace {

/// Maximum number of idle connections to the configuration service kept for reuse. More may be open
/// while they are in use.
constexpr std::size_t idleConnectionsMax = 4;
/// Rate of the reads of large lists, see `curl_loop_limits`.
constexpr double largeReadsPerSecond = 10'000;
constexpr std::size_t idleHandlesMax = 4;
/// A long idle time is safe, since every idle connection is checked before reuse.
constexpr duration connectionIdleTimeMax = seconds(60);
constexpr std::size_t sha256Digits = 64;
/// Interval between two `items_read_progress`.
constexpr duration progressInterval = milliseconds(100);

const char *const readStep = "read configuration service";

std::optional<std::uint64_t> parseVersion(std::string_view text)
{
    std::uint64_t version = 0;
    const std::from_chars_result parsed
        = std::from_chars(text.data(), text.data() + text.size(), version);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || version == 0)
        return std::nullopt;
    return version;
}

bool isSha256(std::string_view text)
{
    return text.size() == sha256Digits && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

std::string targetOf(const read_platform_value &command)
{
    std::string target;
    switch (command.key) {
    case platform_key::manifest:
        target = "/v1/values/manifest";
        break;
    case platform_key::part:
        target = "/v1/values/part/" + command.partSha256;
        break;
    case platform_key::vm_list:
        target = "/v1/vms";
        break;
    }
    if (command.afterVersion > 0)
        target += "?after=" + std::to_string(command.afterVersion)
                  + "&wait_ms=" + std::to_string(toMilliseconds(command.wait));
    return target;
}

} // namespace

platform_client::platform_client(platform_client_settings settings,
                                 const store_protocol *storeProtocol)
    : m_settings(std::move(settings)), m_storeProtocol(storeProtocol), m_handles(idleHandlesMax)
{ }

platform_client::~platform_client()
{
    stop();
}

result<void> platform_client::start(service_manager &owner)
{
    const result<event_loop *> loop = owner.find<event_loop>("loop");
    if (!loop)
        return tl::unexpected(loop.error());
    const result<event_sink *> decision = owner.find<event_sink>("decision");
    if (!decision)
        return tl::unexpected(decision.error());
    m_loop = *loop;
    m_decision = *decision;
    result<std::unique_ptr<curl_loop>> created = curl_loop::create(
        *m_loop, {idleConnectionsMax, largeReadsPerSecond},
        [this](CURL *transfer, CURLcode code) { onTransferEnded(transfer, code); });
    if (!created)
        return tl::unexpected(created.error());
    m_curl = std::move(*created);
    m_deferredTimer = std::make_unique<timer_watcher>(*m_loop, [this]() { deliverDeferred(); });
    m_progressTimer = std::make_unique<timer_watcher>(*m_loop, [this]() { reportProgress(); });
    m_deadlineTimer = std::make_unique<timer_watcher>(*m_loop, [this]() { endOverdueReads(); });
    return {};
}

void platform_client::stop()
{
    m_deferredTimer.reset();
    m_progressTimer.reset();
    m_deadlineTimer.reset();
    m_deferred.clear();
    // The multi handle is destroyed first, since easy handles must not return to the pool while
    // they are in it.
    m_curl.reset();
    m_reads.clear();
}

void platform_client::readPlatformValue(const read_platform_value &command)
{
    m_counters.add(command.afterVersion > 0 ? "platform_watches_total" : "platform_reads_total");
    std::unique_ptr<pending_read> added = std::make_unique<pending_read>();
    added->command = command;
    added->target = targetOf(command);
    added->timeLimit = command.afterVersion > 0 ? command.wait + m_settings.watchGracePeriod
                                                : m_settings.readTimeLimit;
    if (command.key == platform_key::part && !isSha256(command.partSha256)) {
        defer({command,
               {error_code::invalid_argument, readStep, m_settings.address,
                "expected 64 lower-case hexadecimal digits as the SHA-256 of a part"}});
        return;
    }
    startRead(std::move(added));
}

void platform_client::readItems(const read_items &command)
{
    m_counters.add(command.afterRevision > 0 ? "platform_watches_total" : "platform_reads_total");
    std::unique_ptr<pending_read> added = std::make_unique<pending_read>();
    added->command = command;
    added->timeLimit = command.afterRevision > 0 ? command.wait + m_settings.watchGracePeriod
                                                 : m_settings.itemsTimeLimit;
    if (m_storeProtocol == nullptr) {
        defer({command,
               {error_code::invalid_argument, readStep, m_settings.address,
                "the platform publishes no items"}});
        return;
    }
    added->target = m_storeProtocol->target(command);
    added->decoder = m_storeProtocol->makeDecoder(command);
    if (command.needsNewConnection) {
        m_counters.add("platform_new_connections_required_total");
        m_connectionsSuspectUntil = m_loop->now();
    }
    startRead(std::move(added));
}

void platform_client::startRead(std::unique_ptr<pending_read> added)
{
    const result<void> sent = send(*added);
    if (!sent) {
        defer({added->command, sent.error()});
        return;
    }
    const http_exchange *key = added->exchange.get();
    m_reads.emplace(key, std::move(added));
    updateGauges();
}

void platform_client::defer(rejected_read rejected)
{
    m_counters.add("platform_requests_failed_total");
    m_deferred.push_back(std::move(rejected));
    if (!m_deferredTimer->isActive())
        m_deferredTimer->start(duration(0));
}

result<void> platform_client::send(pending_read &started)
{
    if (m_reads.size() >= m_settings.readsMax) {
        m_counters.add("platform_reads_rejected_total");
        return fail(error_code::out_of_bounds, readStep, m_settings.address,
                    "expected at most " + std::to_string(m_settings.readsMax)
                        + " reads in progress");
    }
    started.deadline = m_loop->now() + started.timeLimit;
    const bool readsItems = started.decoder != nullptr;
    const std::size_t bytesMax = readsItems ? m_settings.itemsBytesMax : m_settings.valueBytesMax;
    // libcurl must not retransmit a read automatically: the interruption of a watch has to be
    // reported to the decision package.
    started.exchange = std::make_unique<http_exchange>(m_settings.address, bytesMax, false, false);
    started.exchange->headers().suppress("Accept");
    if (readsItems)
        started.exchange->reader().streamBody(
            [this, &started](std::string_view bytes) { return onItemBytes(started, bytes); });
    const result<void> prepared = started.exchange->prepare(
        m_handles, m_connections, started.target,
        {started.timeLimit + transferTimeMax(started), m_settings.connectTimeout,
         connectionIdleTimeMax, connectionAgeMax()});
    if (!prepared)
        return prepared;
    if (readsItems && started.deadline < m_nextDeadline)
        awaitDeadline(started.deadline);
    return m_curl->add(started.exchange->handle());
}

/// Time beyond its deadline after which libcurl ends a read. `endOverdueReads` ends reads of items
/// whose deadline is not extended by arriving bytes.
duration platform_client::transferTimeMax(const pending_read &read) const
{
    return read.decoder != nullptr ? m_settings.itemsTransferTimeMax : duration {0};
}

/// Decodes bytes of a response and extends the deadline of its read.
/// \return false if no more bytes are needed.
bool platform_client::onItemBytes(pending_read &receiving, std::string_view bytes)
{
    receiving.deadline = std::max(receiving.deadline, m_loop->now() + m_settings.itemsTimeLimit);
    receiving.hasProgress = true;
    // The decision package may start reads, which libcurl does not allow while it calls back.
    if (!m_progressTimer->isActive())
        m_progressTimer->start(progressInterval);
    return receiving.decoder->add(bytes);
}

/// Spares the wake-up after a response that arrived within one interval, as almost all do.
void platform_client::stopProgressTimerIfIdle()
{
    const bool isIdle = std::none_of(m_reads.begin(), m_reads.end(),
                                     [](const auto &entry) { return entry.second->hasProgress; });
    if (isIdle)
        m_progressTimer->stop();
}

void platform_client::reportProgress()
{
    std::vector<read_id> progressed;
    for (const auto &[exchange, reading] : m_reads) {
        if (std::exchange(reading->hasProgress, false))
            progressed.push_back(std::get<read_items>(reading->command).read);
    }
    for (const read_id read : progressed)
        m_decision->deliver(items_read_progress {read});
}

void platform_client::awaitDeadline(instant deadline)
{
    m_nextDeadline = deadline;
    if (deadline != instant::never())
        m_deadlineTimer->start(deadline - m_loop->now());
}

/// Ends the reads of items whose deadline has passed, and waits for the next deadline.
void platform_client::endOverdueReads()
{
    const instant now = m_loop->now();
    std::vector<std::unique_ptr<pending_read>> overdue;
    instant next = instant::never();
    for (auto it = m_reads.begin(); it != m_reads.end();) {
        pending_read &reading = *it->second;
        if (reading.decoder != nullptr && reading.deadline <= now) {
            m_curl->remove(reading.exchange->handle());
            overdue.push_back(std::move(it->second));
            it = m_reads.erase(it);
            continue;
        }
        if (reading.decoder != nullptr)
            next = std::min(next, reading.deadline);
        ++it;
    }
    awaitDeadline(next);
    updateGauges();
    for (const std::unique_ptr<pending_read> &ended : overdue) {
        m_counters.add("platform_requests_failed_total");
        countBytes(*ended);
        reportFailure(ended->command, {error_code::timed_out, readStep, m_settings.address,
                                       "expected bytes of the response in time, found none"});
    }
}

void platform_client::countBytes(const pending_read &ended)
{
    m_counters.add("platform_bytes_sent_total", ended.exchange->bytesSent());
    m_counters.add("platform_bytes_received_total", ended.exchange->bytesReceived());
}

/// Maximum age of a connection that may be reused, so that it was opened after the last time at
/// which the open ones became suspect.
duration platform_client::connectionAgeMax() const
{
    if (!m_connectionsSuspectUntil)
        return exchange_timeouts().connectionAgeMax;
    // libcurl compares whole seconds, and rounds the age of a connection down.
    return m_loop->now() - *m_connectionsSuspectUntil - seconds(1);
}

void platform_client::onTransferEnded(CURL *transfer, CURLcode code)
{
    char *owner = nullptr;
    curl_easy_getinfo(transfer, CURLINFO_PRIVATE, &owner);
    const auto found = m_reads.find(reinterpret_cast<const http_exchange *>(owner));
    if (found == m_reads.end())
        return;
    pending_read &current = *found->second;
    const duration timeLeft = current.deadline - m_loop->now();
    if (current.exchange->hadStaleConnection() && !current.retriedOnNewConnection
        && timeLeft >= milliseconds(1)) {
        current.retriedOnNewConnection = true;
        current.exchange->prepareNewConnection(timeLeft + transferTimeMax(current));
        if (m_curl->add(transfer))
            return;
    }
    const std::unique_ptr<pending_read> ended = std::move(found->second);
    m_reads.erase(found);
    countBytes(*ended);
    stopProgressTimerIfIdle();
    updateGauges();
    response_reader &reader = ended->exchange->reader();
    const result<void> checked
        = reader.hasEnoughBody() ? result<void>() : checkTransfer(*ended, code);
    if (!checked) {
        m_counters.add("platform_requests_failed_total");
        reportFailure(ended->command, checked.error());
        return;
    }
    if (const read_items *items = std::get_if<read_items>(&ended->command)) {
        result<item_page> page = ended->decoder->finish(reader);
        if (!page)
            m_counters.add("platform_requests_failed_total");
        m_decision->deliver(items_read_finished {items->read, std::move(page)});
        return;
    }
    const read_platform_value &command = std::get<read_platform_value>(ended->command);
    result<platform_value> value = parseResponse(command, reader);
    if (!value)
        m_counters.add("platform_requests_failed_total");
    m_decision->deliver(platform_value_read_finished {command.read, std::move(value)});
}

void platform_client::reportFailure(const std::variant<read_platform_value, read_items> &command,
                                    const error &cause)
{
    if (const read_items *items = std::get_if<read_items>(&command))
        m_decision->deliver(items_read_finished {items->read, tl::unexpected(cause)});
    else
        m_decision->deliver(platform_value_read_finished {
            std::get<read_platform_value>(command).read, tl::unexpected(cause)});
}

result<void> platform_client::checkTransfer(pending_read &ended, CURLcode code)
{
    response_reader &reader = ended.exchange->reader();
    if (code == CURLE_OK && reader.validate())
        return {};
    if (reader.isTooLarge()) {
        m_counters.add("platform_values_too_large_total");
        return fail(error_code::out_of_bounds, readStep, m_settings.address, reader.failure());
    }
    std::string cause = reader.failure().empty() ? curl_easy_strerror(code) : reader.failure();
    if (ended.exchange->wasRetransmissionRefused())
        cause = "the connection was lost before a response";
    cause += ended.exchange->usedNewConnection() ? " (new connection)" : " (reused connection)";
    return fail(code == CURLE_OPERATION_TIMEDOUT ? error_code::timed_out : error_code::unavailable,
                readStep, m_settings.address, cause);
}

result<platform_value> platform_client::parseResponse(const read_platform_value &command,
                                                      response_reader &reader)
{
    switch (reader.status()) {
    case 200:
        return parseValue(command, reader);
    case 304:
        if (command.afterVersion == 0)
            return fail(error_code::invalid_message, readStep, m_settings.address,
                        "expected a value, found status 304 for a read without a version");
        return platform_value {command.afterVersion, false, {}};
    case 404:
        return platform_value {0, true, {}};
    default:
        return fail(error_code::unavailable, readStep, m_settings.address,
                    "expected status 200, found " + std::to_string(reader.status()));
    }
}

result<platform_value> platform_client::parseValue(const read_platform_value &command,
                                                   response_reader &reader)
{
    platform_value value;
    value.changed = true;
    value.text = reader.takeBody();
    std::optional<std::uint64_t> version;
    if (command.key == platform_key::vm_list) {
        // The VM list contains its own version; the decision package parses the rest.
        const nlohmann::json document = nlohmann::json::parse(value.text, nullptr, false);
        const auto found = document.is_object() ? document.find("version") : document.end();
        if (found != document.end() && found->is_number_unsigned()
            && found->get<std::uint64_t>() > 0)
            version = found->get<std::uint64_t>();
    } else {
        const std::vector<std::string_view> versions = reader.headerValues("Platform-Version");
        if (versions.size() == 1)
            version = parseVersion(versions.front());
    }
    if (!version) {
        m_counters.add("platform_versions_malformed_total");
        return fail(error_code::invalid_message, readStep, m_settings.address,
                    "expected a version greater than 0, found none or a malformed one");
    }
    value.version = *version;
    return value;
}

void platform_client::deliverDeferred()
{
    std::vector<rejected_read> due;
    due.swap(m_deferred);
    for (const rejected_read &rejected : due)
        reportFailure(rejected.command, rejected.cause);
}

void platform_client::updateGauges()
{
    m_counters.set("platform_requests_in_progress", static_cast<double>(m_reads.size()));
}

} // namespace almondnotch
