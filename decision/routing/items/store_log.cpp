#include "decision/routing/items/store_log.h"

#include <string>
#include <utility>
#include <vector>

#include "decision/routing/items/item_reader.h"
#include "decision/routing/items/reader_group.h"

namespace almondnotch {

namespace {

header_field scopeField(item_scope scope)
{
    return {"scope", scope == item_scope::configuration ? "configuration" : "workers"};
}

header_field scopeField(const item_reader &reader)
{
    return scopeField(reader.scope());
}

header_field millisecondsField(const char *name, duration length)
{
    return {name, std::to_string(toMilliseconds(length))};
}

header_field revisionField(std::uint64_t revision)
{
    return {"revision", std::to_string(revision)};
}

} // namespace

write_log configAppliedRecord(const route_config &config, std::string_view source,
                              std::uint64_t revision)
{
    return {log_level::info,
            "config",
            "Applied a new configuration.",
            {{"version", std::to_string(config.version)},
             {"routes", std::to_string(config.routes.size())},
             {"source", std::string(source)},
             revisionField(revision)}};
}

write_log configWarningRecord(const published_item &item)
{
    return {log_level::warning,
            "config",
            "A part of the configuration was not understood.",
            {{"fault", item.warning}}};
}

write_log unusableItemRecord(const published_item &item)
{
    return {log_level::warning,
            "store",
            "An item of the store is invalid.",
            {{"name", item.name}, {"fault", item.fault}}};
}

write_log eraBegunRecord(item_scope scope, const item_batch &batch, std::string_view source)
{
    return {log_level::warning,
            "store",
            "The store came back from a copy.",
            {scopeField(scope),
             {"era", std::to_string(batch.era)},
             {"source", std::string(source)},
             revisionField(batch.revision)}};
}

write_log readFailedRecord(instant now, const item_reader &reader, const reader_group &readers,
                           const error &cause)
{
    std::vector<header_field> fields {
        scopeField(reader),
        {"cause", toString(cause)},
        {"failures", std::to_string(reader.consecutiveFailures())},
        revisionField(reader.revision()),
        millisecondsField("report_age_ms", readers.lastReportAge(now)),
    };
    if (reader.nextWake() != instant::never())
        fields.push_back(millisecondsField("retry_ms", reader.nextWake() - now));
    return {log_level::info, "store", "A read of the store failed.", std::move(fields)};
}

write_log watchGivenUpRecord(const item_reader &reader, duration age)
{
    return {
        log_level::warning,
        "store",
        "A watch got no answer in time and is replaced by a list.",
        {scopeField(reader), millisecondsField("age_ms", age), revisionField(reader.revision())}};
}

write_log watchingChangedRecord(instant now, const reader_group &readers)
{
    return {log_level::info,
            "store",
            readers.mustWatchStore(now) ? "The gateway watches the store itself."
                                        : "Other gateways relay the changes of the store.",
            {{"is_reader", readers.isReader(now) ? "true" : "false"},
             millisecondsField("report_age_ms", readers.lastReportAge(now))}};
}

write_log storeStateRecord(bool isFailing, const items_read_finished &last)
{
    std::vector<header_field> fields;
    if (!last.page)
        fields.push_back({"cause", toString(last.page.error())});
    return {isFailing ? log_level::warning : log_level::info, "store",
            isFailing ? "The store does not answer." : "The store answers again.",
            std::move(fields)};
}

} // namespace almondnotch
