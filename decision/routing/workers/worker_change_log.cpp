#include "decision/routing/workers/worker_change_log.h"

#include <cmath>
#include <string>
#include <utility>

namespace almondnotch {

namespace {

/// Maximum number of records per second; further changes are only counted.
constexpr double recordsPerSecondMax = 20;

} // namespace

void worker_change_log::write(instant now, const std::vector<worker_change> &changes,
                              std::string_view source, std::uint64_t revision,
                              const std::string &requestId, action_list &actions)
{
    for (const worker_change &change : changes) {
        if (m_rate.perSecond(now) >= recordsPerSecondMax) {
            m_counters.add("log_lines_left_out_total");
            continue;
        }
        m_rate.count(now);
        std::vector<header_field> fields {{"worker", change.worker},
                                          {"change", std::string(toString(change.kind))},
                                          {"source", std::string(source)},
                                          {"revision", std::to_string(revision)}};
        if (std::isfinite(change.requestRateMax))
            fields.push_back({"requests_per_s", std::to_string(change.requestRateMax)});
        if (change.pause > duration {0})
            fields.push_back({"pause_ms", std::to_string(toMilliseconds(change.pause))});
        if (!change.header.empty())
            fields.push_back({"header", change.header});
        if (!requestId.empty())
            fields.push_back({"request_id", requestId});
        actions.push_back(
            write_log {log_level::info, "workers", "A worker has changed.", std::move(fields)});
    }
}

} // namespace almondnotch
