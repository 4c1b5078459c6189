#include "tools/load_generator/execution_check.h"

#include <map>

#include <nlohmann/json.hpp>

#include "tools/load_generator/http_fetch.h"

namespace almondnotch {

result<execution_report> checkExecutions(const std::vector<std::string> &controlAddresses,
                                         const std::vector<booking_result> &results)
{
    std::map<std::string, std::uint64_t> executions;
    for (const std::string &controlAddress : controlAddresses) {
        const result<fetch_response> log
            = fetchUrl("http://" + controlAddress + "/control/log?all=1");
        if (!log)
            return tl::unexpected(log.error());
        const nlohmann::json document = nlohmann::json::parse(log->body, nullptr, false);
        if (!document.is_object() || document.value("overflow", 1) != 0)
            return fail(error_code::out_of_bounds, "read execution log", controlAddress,
                        "the log is incomplete or not JSON");
        const nlohmann::json &logged = document["executions"];
        for (auto it = logged.begin(); it != logged.end(); ++it)
            executions[it.key()] += it.value().get<std::uint64_t>();
    }
    execution_report report;
    for (const booking_result &booking : results) {
        ++report.bookings;
        const auto found = executions.find(booking.identity);
        const std::uint64_t count = found == executions.end() ? 0 : found->second;
        report.doubled += count > 1 ? 1 : 0;
        report.falseNotRun += booking.outcome == call_outcome::not_run && count > 0 ? 1 : 0;
        report.neverExecuted += booking.outcome == call_outcome::run && count == 0 ? 1 : 0;
    }
    return report;
}

} // namespace almondnotch
