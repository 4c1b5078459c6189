#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/counters.h"
#include "servers/curl_loop/connection_table.h"
#include "servers/curl_loop/curl_loop.h"
#include "servers/curl_loop/easy_handle_pool.h"
#include "servers/curl_loop/http_exchange.h"
#include "servers/event_loop/event_loop.h"
#include "servers/event_loop/timer_watcher.h"
#include "servers/platform_client/platform_client_settings.h"
#include "servers/platform_client/store_protocol.h"
#include "servers/service_interfaces.h"

namespace almondnotch {

/// Reads and watches the platform's configuration service (docs/design.md, section 3.3): the
/// manifest and the parts of the configuration, the VM list and, with a `store_protocol`, the items
/// that the platform publishes.
///
/// A read with `afterVersion` or `afterRevision` 0 returns the current value at once; any other
/// read is a watch, which waits for a newer version. A missing key is reported as a value of
/// version 0. A response that is truncated or too large, or that lacks framing or a version, is
/// reported as an error, never as a value.
///
/// Published items are decoded while they arrive. As long as bytes arrive, the read has not timed
/// out, and `items_read_progress` is delivered at intervals.
class platform_client : public platform_client_interface
{
public:
    /// \param storeProtocol protocol for reading published items (route configurations and
    /// registrations of workers); null if the platform publishes none. Must outlive the service.
    explicit platform_client(platform_client_settings settings,
                             const store_protocol *storeProtocol = nullptr);
    ~platform_client() override;

    result<void> start(service_manager &owner) override;
    /// Aborts all reads without reporting them.
    void stop() override;

    void readPlatformValue(const read_platform_value &command) override;
    void readItems(const read_items &command) override;
    const counter_set &counters() const override { return m_counters; }

private:
    struct pending_read
    {
        std::variant<read_platform_value, read_items> command;
        std::string target;
        duration timeLimit {0};
        instant deadline;
        bool retriedOnNewConnection = false;
        /// Decodes the response to a `read_items`.
        std::unique_ptr<item_page_decoder> decoder;
        /// Bytes of the body have arrived since the last `items_read_progress`.
        bool hasProgress = false;
        std::unique_ptr<http_exchange> exchange;
    };

    /// A read that could not be started. It is reported in the next iteration of the loop.
    struct rejected_read
    {
        std::variant<read_platform_value, read_items> command;
        error cause;
    };

    void startRead(std::unique_ptr<pending_read> added);
    result<void> send(pending_read &started);
    duration transferTimeMax(const pending_read &read) const;
    bool onItemBytes(pending_read &receiving, std::string_view bytes);
    void stopProgressTimerIfIdle();
    void reportProgress();
    void awaitDeadline(instant deadline);
    void endOverdueReads();
    void countBytes(const pending_read &ended);
    duration connectionAgeMax() const;
    void onTransferEnded(CURL *transfer, CURLcode code);
    /// Returns an error unless the transfer ended with a complete response.
    result<void> checkTransfer(pending_read &ended, CURLcode code);
    result<platform_value> parseResponse(const read_platform_value &command,
                                         response_reader &reader);
    result<platform_value> parseValue(const read_platform_value &command, response_reader &reader);
    void reportFailure(const std::variant<read_platform_value, read_items> &command,
                       const error &cause);
    void defer(rejected_read rejected);
    void deliverDeferred();
    void updateGauges();

    platform_client_settings m_settings;
    const store_protocol *m_storeProtocol;
    event_loop *m_loop = nullptr;
    event_sink *m_decision = nullptr;
    /// Connections that were opened before this time may be dead.
    std::optional<instant> m_connectionsSuspectUntil;
    counter_set m_counters;
    connection_table m_connections {/*usesKeepAlive=*/true};
    easy_handle_pool m_handles;
    std::unique_ptr<curl_loop> m_curl;
    std::unordered_map<const http_exchange *, std::unique_ptr<pending_read>> m_reads;
    std::vector<rejected_read> m_deferred;
    std::unique_ptr<timer_watcher> m_deferredTimer;
    std::unique_ptr<timer_watcher> m_progressTimer;
    /// Expires at `m_nextDeadline`, the earliest deadline of a read of items, or before it if that
    /// was extended.
    std::unique_ptr<timer_watcher> m_deadlineTimer;
    instant m_nextDeadline = instant::never();
};

} // namespace almondnotch
