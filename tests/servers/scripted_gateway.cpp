#include "tests/servers/scripted_gateway.h"

#include <utility>

namespace almondnotch {

struct gateway::state
{
    gateway_settings settings;
    counter_set counters;
};

gateway_script &gatewayScript()
{
    static gateway_script script;
    return script;
}

gateway::gateway(std::unique_ptr<state> data) : m_state(std::move(data)) { }

gateway::~gateway() = default;

result<std::unique_ptr<gateway>> gateway::create(gateway_settings settings)
{
    std::unique_ptr<state> data = std::make_unique<state>();
    data->settings = std::move(settings);
    return std::unique_ptr<gateway>(new gateway(std::move(data)));
}

void gateway::start(instant /*now*/, action_list & /*actions*/) { }

void gateway::handle(instant now, const event &input, action_list &actions)
{
    gatewayScript().onEvent(now, input, actions);
}

instant gateway::nextWake() const
{
    return gatewayScript().nextWake;
}

nlohmann::json gateway::dump(instant /*now*/) const
{
    return {{"scripted", true}};
}

nlohmann::json gateway::explain(instant /*now*/, std::string_view method,
                                std::string_view target) const
{
    return {{"method", method}, {"target", target}};
}

const counter_set &gateway::counters() const
{
    return m_state->counters;
}

invariant_set &gateway::invariants()
{
    return gatewayScript().invariants;
}

} // namespace almondnotch
