#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/error.h"
#include "decision/types.h"

namespace almondnotch {

/// Most leaving VMs that are kept, and most VMs on the whole list.
constexpr std::size_t leavingVmsMax = 4096;
constexpr std::size_t listedVmsMax = 65536;

/// The platform's VM list as published:
/// `{"version":N,"vms":[{"name","state","leave_at_unix_ms"}]}`.
struct published_vm_list
{
    std::uint64_t version = 0;
    std::vector<listed_vm> vms;

    bool operator==(const published_vm_list &) const = default;

    /// Parses and checks the platform's value.
    static result<published_vm_list> parse(std::string_view text);
};

/// The leaving VMs of the newest list that is known. Versions only grow.
class vm_list
{
public:
    explicit vm_list(counter_set &counters) : m_counters(counters) { }

    /// Takes a whole list. \return true if the leaving VMs changed.
    bool applyPublished(const published_vm_list &list);

    /// Takes some of the leaving VMs of a list with `count` of them, as told by a peer. They count
    /// as leaving at once; VMs of an older list are dropped when all of the new list are known.
    /// \return true if the leaving VMs changed.
    bool applyPartial(std::uint64_t version, std::size_t count, const std::vector<listed_vm> &part);

    /// Version of the newest list that is known whole; 0 if there is none.
    std::uint64_t version() const { return m_version; }
    std::size_t completeCount() const { return m_complete.size(); }

    /// Up to `most` leaving VMs of the whole list, by turns.
    std::vector<listed_vm> nextLeaving(std::size_t maxCount);

    /// All VMs that count as leaving.
    std::vector<listed_vm> leaving() const;

    /// Entry of a leaving VM, or null.
    const listed_vm *find(const std::string &vm) const;

    nlohmann::json dump() const;

private:
    using vm_map = std::map<std::string, listed_vm>;

    bool replaceComplete(std::uint64_t version, vm_map vms);

    counter_set &m_counters;
    std::uint64_t m_version = 0;
    vm_map m_complete;
    /// A newer list of which only a part is known.
    std::uint64_t m_partialVersion = 0;
    vm_map m_partial;
    std::string m_cursor;
};

} // namespace almondnotch
