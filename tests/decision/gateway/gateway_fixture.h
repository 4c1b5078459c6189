#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "decision/gateway.h"

namespace almondnotch {

/// Text of a configuration with `workers` workers w-0, w-1, ... on VMs h-0, h-1, ..., one service
/// "shop" with reads below /read and bookings below /book, and the entry VMs vm-0, vm-1, ...
std::string shopConfig(unsigned workers, unsigned gateways, unsigned maxGateways = 16);

/// Settings of gateway number `index` of such a configuration.
gateway_settings shopSettings(unsigned index, std::uint64_t startNumber, std::uint64_t seed);

/// Values that the simulated platform serves: the configuration as a manifest with parts, and the
/// VM list.
struct platform_values
{
    /// Publishes a text as a new version of the configuration.
    void publish(std::uint64_t newVersion, const std::string &text);

    result<platform_value> read(const read_platform_value &command) const;

    std::uint64_t configVersion = 0;
    std::string manifest;
    std::map<std::string, std::string> parts;
    std::string vmList = R"({"version":1,"vms":[]})";
    std::uint64_t vmListVersion = 1;
    bool isDown = false;
};

/// One gateway with a simulated platform that answers immediately. The fixture answers probes when
/// time advances and after `endAttempt`; the tests answer attempts.
class gateway_fixture
{
public:
    explicit gateway_fixture(unsigned workers = 3,
                             gateway_settings settings = shopSettings(0, 1, 1));

    /// Passes an event to the gateway at the current time and answers its reads of the platform.
    void handle(const event &input);
    /// Advances the time, fires all timers that become due and answers probes.
    void advance(duration length);
    /// Advances the time without firing timers, as if the process had been paused.
    void simulatePause(duration length) { now = now + length; }

    /// Delivers a GET call of /read/`name` to the gateway and returns its id.
    call_id submitRead(const std::string &name, std::optional<duration> timeout = std::nullopt,
                       unsigned depth = 0);
    /// Delivers a POST call of /book to the gateway and returns its id. `operationKey` is its
    /// idempotency key; empty for none.
    call_id submitBooking(const std::string &requestBody, const std::string &operationKey);
    /// Returns an unused idempotency key. The first call obtains the key range from the gateway.
    std::string newKey();

    /// Ends an attempt with a response whose body consists of the target and the body of the
    /// request.
    void answer(const start_attempt &attempt, int status = 200, bool rejectedBeforeRun = false);
    /// Ends an attempt without a response and answers the probes that follow.
    void endAttempt(const start_attempt &attempt, attempt_end attemptEnd);

    /// Removes all actions of one type from `actions` and returns them.
    template <typename Action>
    std::vector<Action> take()
    {
        std::vector<Action> taken;
        for (const action &entry : actions) {
            if (std::holds_alternative<Action>(entry))
                taken.push_back(std::get<Action>(entry));
        }
        std::erase_if(actions,
                      [](const action &entry) { return std::holds_alternative<Action>(entry); });
        return taken;
    }

    instant now {seconds(100)};
    platform_values platform;
    /// Workers whose probes fail. Attempts to them must be ended by the test.
    std::set<std::string> unreachableWorkers;
    std::unique_ptr<gateway> gatewayUnderTest;
    action_list actions;

private:
    void answerPlatformReads();
    void answerProbes();

    std::uint64_t m_nextCall = 1;
    unsigned m_nextKeyNumber = 1;
    std::string m_keyRange;
};

} // namespace almondnotch
