#pragma once

#include <memory>

#include "core/error.h"
#include "decision/decision_core.h"
#include "decision/routing/routing_settings.h"

namespace almondnotch {

/// Decision core of a gateway that reads its configuration and workers as items of the platform's
/// store, routes by host and path, and does not own idempotency keys. See `gateway` for the other
/// kind of gateway.
class route_gateway : public decision_core
{
public:
    /// \return invalid_settings if the VM name is empty.
    static result<std::unique_ptr<decision_core>> create(routing_settings settings);
    ~route_gateway() override;

    void start(instant now, action_list &actions) override;
    void handle(instant now, const event &input, action_list &actions) override;
    instant nextWake() const override;
    nlohmann::json dump(instant now) const override;
    nlohmann::json explain(instant now, std::string_view method,
                           std::string_view target) const override;
    const counter_set &counters() const override;
    invariant_set &invariants() override;
    bool isReady(instant now) const override;
    entry_addresses selectEntryAddresses(instant now, const entry_lookup &lookup) override;

private:
    struct state;
    explicit route_gateway(std::unique_ptr<state> data);

    std::unique_ptr<state> m_state;
};

} // namespace almondnotch
