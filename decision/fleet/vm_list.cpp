#include "decision/fleet/vm_list.h"

#include <algorithm>
#include <utility>

namespace almondnotch {

namespace {

tl::unexpected<error> malformed(std::string_view message)
{
    return fail(error_code::invalid_message, "parse VM list", "platform", message);
}

} // namespace

result<published_vm_list> published_vm_list::parse(std::string_view text)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return malformed("expected a JSON object, found something else");
    const auto version = document.find("version");
    const auto vms = document.find("vms");
    if (version == document.end() || !version->is_number_unsigned())
        return malformed("expected an unsigned version, found none or another type");
    if (vms == document.end() || !vms->is_array() || vms->size() > listedVmsMax)
        return malformed("expected an array of at most 65536 VMs, found none or a longer one");
    published_vm_list list;
    list.version = version->get<std::uint64_t>();
    for (const nlohmann::json &row : *vms) {
        if (!row.is_object())
            return malformed("expected an object for each VM, found something else");
        const auto name = row.find("name");
        const auto state = row.find("state");
        const auto leaveAt = row.find("leave_at_unix_ms");
        if (name == row.end() || !name->is_string() || name->get_ref<const std::string &>().empty()
            || name->get_ref<const std::string &>().size() > 253)
            return malformed("expected a VM name of 1 to 253 bytes, found none or another length");
        if (state == row.end() || (*state != "live" && *state != "leaving"))
            return malformed("expected the state live or leaving, found something else");
        if (leaveAt != row.end() && !leaveAt->is_number_integer() && !leaveAt->is_null())
            return malformed("expected leave_at_unix_ms to be an integer, found something else");
        list.vms.push_back(
            {name->get<std::string>(), *state == "leaving",
             leaveAt == row.end() || leaveAt->is_null() ? 0 : leaveAt->get<std::int64_t>()});
    }
    return list;
}

bool leaving_vms::applyPublished(const published_vm_list &list)
{
    if (list.version <= m_version) {
        if (list.version < m_version)
            m_counters.add("vm_list_refused_total{reason=\"older\"}");
        return false;
    }
    vm_map vms;
    for (const listed_vm &vm : list.vms) {
        if (!vm.leaving)
            continue;
        if (vms.size() >= leavingVmsMax) {
            m_counters.add("vm_list_refused_total{reason=\"too_many_leaving\"}");
            continue;
        }
        vms.insert_or_assign(vm.name, vm);
    }
    return replaceVms(list.version, std::move(vms));
}

bool leaving_vms::applyPartial(std::uint64_t version, std::size_t totalCount,
                               const std::vector<listed_vm> &part)
{
    if (version <= m_version || version < m_partialVersion || totalCount > leavingVmsMax)
        return false;
    const std::vector<listed_vm> before = leaving();
    if (version > m_partialVersion) {
        m_partialVersion = version;
        m_partialVms.clear();
    }
    for (const listed_vm &vm : part)
        if (m_partialVms.size() < totalCount)
            m_partialVms.insert_or_assign(vm.name, vm);
    if (m_partialVms.size() == totalCount)
        replaceVms(version, std::exchange(m_partialVms, {}));
    return leaving() != before;
}

bool leaving_vms::replaceVms(std::uint64_t version, vm_map vms)
{
    const std::vector<listed_vm> before = leaving();
    m_version = version;
    m_vms = std::move(vms);
    if (m_partialVersion <= version)
        m_partialVms.clear();
    return leaving() != before;
}

std::vector<listed_vm> leaving_vms::takeLeavingRoundRobin(std::size_t maxCount)
{
    std::vector<listed_vm> out;
    auto position = m_vms.upper_bound(m_cursor);
    while (out.size() < std::min(maxCount, m_vms.size())) {
        if (position == m_vms.end())
            position = m_vms.begin();
        m_cursor = position->first;
        out.push_back(position->second);
        ++position;
    }
    return out;
}

std::vector<listed_vm> leaving_vms::leaving() const
{
    vm_map all = m_partialVms;
    all.insert(m_vms.begin(), m_vms.end());
    std::vector<listed_vm> out;
    out.reserve(all.size());
    for (const std::pair<const std::string, listed_vm> &entry : all)
        out.push_back(entry.second);
    return out;
}

const listed_vm *leaving_vms::find(const std::string &vm) const
{
    for (const vm_map *vms : {&m_partialVms, &m_vms}) {
        const auto found = vms->find(vm);
        if (found != vms->end())
            return &found->second;
    }
    return nullptr;
}

nlohmann::json leaving_vms::dump() const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const listed_vm &vm : leaving())
        rows.push_back({{"name", vm.name}, {"leave_at_unix_ms", vm.leaveAtUnixMs}});
    return {{"version", m_version},
            {"part_version", m_partialVms.empty() ? 0 : m_partialVersion},
            {"leaving", rows},
            {"leaving_max", leavingVmsMax}};
}

} // namespace almondnotch
