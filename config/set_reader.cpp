#include "config/set_reader.h"

#include <algorithm>
#include <optional>

#include "config/bounds.h"
#include "config/nesting.h"

namespace almondnotch {

namespace {

/// Maximum number of repeated parses in the whole set, beyond the first one of each text. Each
/// takes about 20 ms for a text of 0.5 MB, and the gateway parses on its event loop.
constexpr int syntaxRetriesMax = 20;

/// Recovers from syntax faults: blanks the objects around a fault but keeps their line breaks, so
/// that a further parse finds later faults with the right line numbers. Each parse starts after the
/// text that has been blanked last, so that all of these parses together take about as long as one
/// parse of the whole text.
class syntax_recovery
{
public:
    explicit syntax_recovery(std::string text) : m_text(std::move(text)) { }

    /// Text that has not been checked for faults yet.
    std::string_view unparsed() const { return std::string_view(m_text).substr(m_parsedBytes); }
    /// Converts a line number within `unparsed()` to the line number in the whole text. Both count
    /// from 1.
    int lineOf(int relativeLine) const { return m_parsedLines + relativeLine; }
    /// True if `unparsed()` is the whole text.
    bool coversWholeText() const { return m_parsedBytes == 0; }
    void restart()
    {
        m_parsedBytes = 0;
        m_parsedLines = 0;
    }

    /// Blanks the text from the last table header above the line up to the next one below it, where
    /// parsing continues. A fault in a header line also blanks the object above, since the parser
    /// notices an unterminated value only at the header that follows it.
    void blankAround(int line)
    {
        const std::size_t position = startOf(line);
        std::size_t begin = position;
        while (begin > 0) {
            begin = begin < 2 ? 0 : previousLine(begin);
            if (m_text[begin] == '[')
                break;
        }
        std::size_t end = nextLine(position);
        while (end < m_text.size() && m_text[end] != '[')
            end = nextLine(end);
        std::replace_if(
            m_text.begin() + static_cast<std::ptrdiff_t>(begin),
            m_text.begin() + static_cast<std::ptrdiff_t>(std::min(end, m_text.size())),
            [](char character) { return character != '\n'; }, ' ');
        m_parsedBytes = std::min(end, m_text.size());
        m_parsedLines = static_cast<int>(std::count(
            m_text.begin(), m_text.begin() + static_cast<std::ptrdiff_t>(m_parsedBytes), '\n'));
    }

private:
    std::size_t startOf(int line) const
    {
        std::size_t position = 0;
        for (int current = 1; current < line && position < m_text.size(); ++current)
            position = nextLine(position);
        return std::min(position, m_text.size());
    }

    std::size_t nextLine(std::size_t position) const
    {
        const std::size_t lineEnd = m_text.find('\n', position);
        return lineEnd == std::string::npos ? m_text.size() : lineEnd + 1;
    }

    /// \param begin start of a line, at least 2.
    std::size_t previousLine(std::size_t begin) const
    {
        const std::size_t lineEnd = m_text.rfind('\n', begin - 2);
        return lineEnd == std::string::npos ? 0 : lineEnd + 1;
    }

    std::string m_text;
    std::size_t m_parsedBytes = 0;
    int m_parsedLines = 0;
};

template <typename T>
std::vector<T> withoutLocations(std::vector<located<T>> &objects)
{
    std::vector<T> out;
    out.reserve(objects.size());
    for (located<T> &each : objects)
        out.push_back(std::move(each.object));
    return out;
}

} // namespace

config_objects located_set::release()
{
    config_objects objects;
    if (limits)
        objects.limits = limits->object;
    objects.failureDomains = withoutLocations(failureDomains);
    objects.entryVms = withoutLocations(entryVms);
    objects.budgets = withoutLocations(budgets);
    objects.priorityClasses = withoutLocations(priorityClasses);
    objects.groups = withoutLocations(groups);
    objects.workers = withoutLocations(workers);
    objects.services = withoutLocations(services);
    objects.rules = withoutLocations(rules);
    return objects;
}

set_reader::set_reader(std::size_t textIndex, located_set &output, fault_list &faults)
    : m_textIndex(textIndex), m_set(output), m_faults(faults)
{ }

const std::vector<set_reader::object_kind> &set_reader::kinds()
{
    static const std::vector<object_kind> table {
        {"failure_domain", failureDomainsMax, &set_reader::readFailureDomain,
         [](const located_set &set) { return set.failureDomains.size(); }},
        {"entry_vm", entryVmsMax, &set_reader::readEntryVm,
         [](const located_set &set) { return set.entryVms.size(); }},
        {"budget", budgetsMax, &set_reader::readBudget,
         [](const located_set &set) { return set.budgets.size(); }},
        {"class", priorityClassesMax, &set_reader::readPriorityClass,
         [](const located_set &set) { return set.priorityClasses.size(); }},
        {"group", groupsMax, &set_reader::readGroup,
         [](const located_set &set) { return set.groups.size(); }},
        {"worker", workersMax, &set_reader::readWorker,
         [](const located_set &set) { return set.workers.size(); }},
        {"service", servicesMax, &set_reader::readService,
         [](const located_set &set) { return set.services.size(); }},
        {"rule", rulesMax, &set_reader::readRule,
         [](const located_set &set) { return set.rules.size(); }},
    };
    return table;
}

void set_reader::addFault(int line, const std::string &message)
{
    object_location where;
    where.textIndex = m_textIndex;
    m_faults.addAtLine(where, line, message);
}

void set_reader::read(std::string_view toml)
{
    if (toml.size() > configValueBytesMax) {
        m_set.incomplete = true;
        addFault(0, "expected at most " + std::to_string(configValueBytesMax) + " bytes, found "
                        + std::to_string(toml.size()));
        return;
    }
    const std::optional<int> deepLine = findDeepNesting(toml);
    if (deepLine) {
        m_set.incomplete = true;
        addFault(*deepLine, "lists, tables or keys nest deeper than the maximum of "
                                + std::to_string(tomlNestingMax));
        return;
    }
    std::optional<syntax_recovery> recovery;
    while (true) {
        try {
            const toml::table root = toml::parse(recovery ? recovery->unparsed() : toml);
            if (!recovery || recovery->coversWholeText()) {
                readTables(root);
                return;
            }
            // The remaining text has no further faults; the whole text is parsed again to read the
            // objects before it as well.
            recovery->restart();
        } catch (const toml::parse_error &failure) {
            m_set.incomplete = true;
            const int relativeLine = static_cast<int>(failure.source().begin.line);
            const int line = recovery ? recovery->lineOf(relativeLine) : relativeLine;
            addFault(line, "invalid TOML: " + std::string(failure.description()));
            if (++m_set.syntaxRetries > syntaxRetriesMax)
                return;
            if (!recovery)
                recovery.emplace(std::string(toml));
            recovery->blankAround(line);
        }
    }
}

void set_reader::readTables(const toml::table &root)
{
    std::vector<std::string> names {"limits"};
    for (const object_kind &kind : kinds())
        names.emplace_back(kind.table);
    for (const auto &[key, node] : root) {
        const std::string_view name = key.str();
        if (name == "limits") {
            if (node.is_table())
                readLimits(*node.as_table());
            else
                addFault(static_cast<int>(node.source().begin.line),
                         "expected one table [limits], found " + describeNode(node));
            continue;
        }
        const auto found
            = std::find_if(kinds().begin(), kinds().end(),
                           [name](const object_kind &kind) { return kind.table == name; });
        if (found != kinds().end()) {
            readKind(*found, node);
            continue;
        }
        m_set.incomplete = true;
        addFault(static_cast<int>(key.source().begin.line),
                 "unknown table or key " + quotedValue(name) + m_faults.suggestion(name, names));
    }
}

void set_reader::readKind(const object_kind &kind, const toml::node &node)
{
    const std::string header = "[[" + std::string(kind.table) + "]]";
    if (!node.is_array()) {
        m_set.incomplete = true;
        addFault(static_cast<int>(node.source().begin.line),
                 "expected a list of tables " + header + ", found " + describeNode(node));
        return;
    }
    for (const toml::node &element : *node.as_array()) {
        const int line = static_cast<int>(element.source().begin.line);
        if (!element.is_table()) {
            m_set.incomplete = true;
            addFault(line, "expected only tables in the list " + header + ", found "
                               + describeNode(element));
            continue;
        }
        if (kind.count(m_set) >= kind.countMax) {
            m_set.incomplete = true;
            addFault(line, "expected at most " + std::to_string(kind.countMax) + " tables " + header
                               + " in the set");
            return;
        }
        (this->*kind.read)(*element.as_table());
    }
}

void set_reader::readLimits(const toml::table &table)
{
    object_reader reader(table, m_textIndex, "limits", m_faults);
    fleet_limits object;
    reader.integer("max_gateways", object.maxGateways, {1, 1000}, presence::optional);
    reader.time("entry_keep_ms", object.entryCacheTime, {100, 60000}, presence::optional);
    reader.keyword(
        "selection", object.selection,
        {"uniform_random", "round_robin", "least_in_flight", "power_of_two", "expected_wait"});
    object_location where = reader.finish();
    if (m_set.limits) {
        m_faults.addAtLine(where, where.line,
                           "expected one table [limits] in the set; the other is at "
                               + m_faults.formatLocation(m_set.limits->where));
        return;
    }
    m_set.limits = {object, std::move(where)};
}

void set_reader::readFailureDomain(const toml::table &table)
{
    object_reader reader(table, m_textIndex, "failure_domain", m_faults);
    failure_domain object;
    reader.name(object.name);
    reader.nameOf("region", object.region, presence::required);
    reader.time("one_way_ms", object.oneWayDelay, {0, 1000}, presence::required);
    m_set.failureDomains.push_back({std::move(object), reader.finish()});
}

void set_reader::readEntryVm(const toml::table &table)
{
    object_reader reader(table, m_textIndex, "entry_vm", m_faults);
    entry_vm object;
    reader.name(object.name);
    reader.nameOf("failure_domain", object.failureDomain, presence::required);
    reader.address("entry_address", object.entryAddress);
    reader.address("peer_address", object.peerAddress);
    m_set.entryVms.push_back({std::move(object), reader.finish()});
}

void set_reader::readBudget(const toml::table &table)
{
    object_reader reader(table, m_textIndex, "budget", m_faults);
    probe_budget_config object;
    reader.name(object.name);
    reader.number("probes_per_second", object.probesPerSecond, {0, 10000}, presence::required);
    reader.number("bytes_per_second", object.bytesPerSecond, {0, 1e9}, presence::required);
    m_set.budgets.push_back({std::move(object), reader.finish()});
}

void set_reader::readPriorityClass(const toml::table &table)
{
    object_reader reader(table, m_textIndex, "class", m_faults);
    priority_class object;
    reader.name(object.name);
    reader.integer("rank", object.rank, {0, 1000}, presence::required);
    m_set.priorityClasses.push_back({std::move(object), reader.finish()});
}

void set_reader::readGroup(const toml::table &table)
{
    object_reader reader(table, m_textIndex, "group", m_faults);
    worker_group object;
    reader.name(object.name);
    reader.nameOf("budget", object.budget, presence::required);
    reader.integer("slots", object.slots, {1, 10000}, presence::required);
    reader.integer("connections", object.connections, {1, 100000}, presence::required);
    reader.number("ejection_share_max", object.ejectionShareMax, {0, 1}, presence::optional);
    m_set.groups.push_back({std::move(object), reader.finish()});
}

void set_reader::readWorker(const toml::table &table)
{
    object_reader reader(table, m_textIndex, "worker", m_faults);
    worker_config object;
    reader.name(object.name);
    reader.nameOf("group", object.group, presence::required);
    reader.nameOf("failure_domain", object.failureDomain, presence::required);
    reader.vmName("vm", object.vm);
    reader.address("address", object.address);
    m_set.workers.push_back({std::move(object), reader.finish()});
}

void set_reader::readService(const toml::table &table)
{
    object_reader reader(table, m_textIndex, "service", m_faults);
    service_config object;
    reader.name(object.name);
    reader.nameOf("group", object.group, presence::required);
    reader.nameOf("class", object.priorityClass, presence::required);
    reader.time("timeout_ms", object.timeout, {1, 600000}, presence::optional);
    reader.number("retry_budget", object.retryBudget, {0, 1}, presence::optional);
    reader.number("hedge_budget", object.hedgeBudget, {0, 1}, presence::optional);
    reader.nameOf("fallback", object.fallback, presence::optional);
    m_set.services.push_back({std::move(object), reader.finish()});
}

void set_reader::readRule(const toml::table &table)
{
    object_reader reader(table, m_textIndex, "rule", m_faults);
    routing_rule object;
    reader.name(object.name);
    reader.pathPrefix("path_prefix", object.pathPrefix);
    reader.methods("methods", object.methods);
    reader.nameOf("service", object.service, presence::required);
    reader.boolean("idempotent", object.idempotent);
    m_set.rules.push_back({std::move(object), reader.finish()});
}

} // namespace almondnotch
