#include "tools/worker_standin/worker_behaviour.h"

#include <charconv>
#include <set>
#include <variant>

namespace almondnotch {

namespace {

struct parameter
{
    std::variant<std::int64_t worker_behaviour::*, double worker_behaviour::*,
                 std::string worker_behaviour::*>
        member;
    /// Allowed values of a text parameter; empty if any text is allowed.
    std::set<std::string, std::less<>> allowedValues;
};

const std::map<std::string, parameter, std::less<>> &parameters()
{
    static const std::map<std::string, parameter, std::less<>> table {
        {"slots", {&worker_behaviour::slots, {}}},
        {"queue", {&worker_behaviour::queueMax, {}}},
        {"service_ms", {&worker_behaviour::serviceMs, {}}},
        {"slow_factor", {&worker_behaviour::slowFactor, {}}},
        {"cold_factor", {&worker_behaviour::coldFactor, {}}},
        {"distribution", {&worker_behaviour::distribution, {"exponential", "constant"}}},
        {"state", {&worker_behaviour::state, {"ready", "cold", "draining"}}},
        {"lag_ms", {&worker_behaviour::lagMs, {}}},
        {"lie", {&worker_behaviour::loadOverride, {"none", "idle", "full"}}},
        {"load_headers", {&worker_behaviour::loadHeaders, {}}},
        {"load_fault", {&worker_behaviour::loadFault, {"none", "hang", "close", "garbage"}}},
        {"fail",
         {&worker_behaviour::fault,
          {"none", "close-before", "close-mid-length", "close-mid-unframed", "unframed",
           "chunked-cut", "chunked", "fast-fail", "hang", "crash"}}},
        {"fail_rate", {&worker_behaviour::faultRate, {}}},
        {"crash_text", {&worker_behaviour::crashText, {}}},
        {"restart_ms", {&worker_behaviour::restartMs, {}}},
        {"pad_bytes", {&worker_behaviour::padBytes, {}}},
    };
    return table;
}

template <typename Number>
bool parseNonNegative(std::string_view text, Number &value)
{
    const std::from_chars_result parsed
        = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && value >= 0;
}

bool assign(worker_behaviour &behaviour, const parameter &target, const std::string &text)
{
    if (std::holds_alternative<std::int64_t worker_behaviour::*>(target.member))
        return parseNonNegative(
            text, behaviour.*std::get<std::int64_t worker_behaviour::*>(target.member));
    if (std::holds_alternative<double worker_behaviour::*>(target.member))
        return parseNonNegative(text,
                                behaviour.*std::get<double worker_behaviour::*>(target.member));
    if (!target.allowedValues.empty() && !target.allowedValues.contains(text))
        return false;
    behaviour.*std::get<std::string worker_behaviour::*>(target.member) = text;
    return true;
}

} // namespace

result<void> worker_behaviour::apply(const std::map<std::string, std::string, std::less<>> &values)
{
    worker_behaviour changed = *this;
    for (const std::pair<const std::string, std::string> &value : values) {
        const auto found = parameters().find(value.first);
        if (found == parameters().end())
            return fail(error_code::invalid_argument, "set", value.first, "unknown parameter");
        if (!assign(changed, found->second, value.second))
            return fail(error_code::invalid_argument, "set", value.first,
                        "invalid value \"" + value.second + "\"");
    }
    *this = std::move(changed);
    return {};
}

result<worker_fault> parseWorkerFault(std::string_view name)
{
    static const std::map<std::string, worker_fault, std::less<>> faults {
        {"none", worker_fault::none},
        {"close-before", worker_fault::close_before},
        {"close-mid-length", worker_fault::close_mid_length},
        {"close-mid-unframed", worker_fault::close_mid_unframed},
        {"unframed", worker_fault::unframed},
        {"chunked-cut", worker_fault::chunked_cut},
        {"chunked", worker_fault::chunked},
        {"fast-fail", worker_fault::fast_fail},
        {"hang", worker_fault::hang},
        {"crash", worker_fault::crash},
    };
    const auto found = faults.find(name);
    if (found == faults.end())
        return fail(error_code::invalid_argument, "parse fault", name, "unknown fault");
    return found->second;
}

} // namespace almondnotch
