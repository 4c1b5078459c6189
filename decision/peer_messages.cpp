#include "decision/peer_messages.h"

#include <array>

namespace almondnotch {

std::string_view toString(gateway_state state)
{
    switch (state) {
    case gateway_state::alive:
        return "alive";
    case gateway_state::suspect:
        return "suspect";
    case gateway_state::leaving:
        return "leaving";
    case gateway_state::gone:
        return "gone";
    }
    return "gone";
}

std::string_view messageName(const peer_message &message)
{
    static constexpr std::array<std::string_view, std::variant_size_v<peer_message>> names {
        "fleet_digest",   "config_request",  "config_data",  "forwarded_call", "forwarded_response",
        "handover_chunk", "handover_commit", "handover_ack", "reader_report",  "items_update"};
    return names.at(message.index());
}

} // namespace almondnotch
