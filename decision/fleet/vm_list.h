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

/// Maximum number of leaving VMs that are stored.
constexpr std::size_t leavingVmsMax = 4096;
/// Maximum number of VMs in a published list.
constexpr std::size_t listedVmsMax = 65536;

/// The platform's VM list as published:
/// `{"version":N,"vms":[{"name","state","leave_at_unix_ms"}]}`.
struct published_vm_list
{
    std::uint64_t version = 0;
    std::vector<listed_vm> vms;

    bool operator==(const published_vm_list &) const = default;

    /// Parses and validates the platform's value. Fails with `error_code::invalid_message`.
    static result<published_vm_list> parse(std::string_view text);
};

/// The leaving VMs of the newest known VM list. Its version never decreases.
class leaving_vms
{
public:
    explicit leaving_vms(counter_set &counters) : m_counters(counters) { }

    /// Applies a complete list; ignores it if its version is not newer. \return true if the leaving
    /// VMs changed.
    bool applyPublished(const published_vm_list &list);

    /// Applies part of a list's leaving VMs, as received from a peer. These VMs count as leaving
    /// immediately. The VMs of the completely known list are kept until all leaving VMs of the new
    /// list are known; those of an older partly known list are dropped at once. Ignored if the list
    /// is not newer than the completely known one, is older than the partly known one, or has more
    /// than `leavingVmsMax` leaving VMs.
    /// \param totalCount total number of leaving VMs in the list.
    /// \return true if the leaving VMs changed.
    bool applyPartial(std::uint64_t version, std::size_t totalCount,
                      const std::vector<listed_vm> &part);

    /// Version of the newest list of which all leaving VMs are known; 0 if there is none.
    std::uint64_t version() const { return m_version; }
    /// Number of leaving VMs in the list with this version.
    std::size_t vmCount() const { return m_vms.size(); }

    /// Returns up to `maxCount` leaving VMs of the list with the version `version()`, in
    /// round-robin order over successive calls.
    std::vector<listed_vm> takeLeavingRoundRobin(std::size_t maxCount);

    /// All VMs that count as leaving, including those of a newer list that is only partly known.
    std::vector<listed_vm> leaving() const;

    /// Entry of the VM if it counts as leaving, otherwise null.
    const listed_vm *find(const std::string &vm) const;

    nlohmann::json dump() const;

private:
    using vm_map = std::map<std::string, listed_vm>;

    /// \param vms all leaving VMs of the list.
    /// \return true if the leaving VMs changed.
    bool replaceVms(std::uint64_t version, vm_map vms);

    counter_set &m_counters;
    std::uint64_t m_version = 0;
    /// Leaving VMs of the list with the version `m_version`, all of which are known.
    vm_map m_vms;
    /// Version and known leaving VMs of a newer list that is only partly known. The map is empty if
    /// there is no such list.
    std::uint64_t m_partialVersion = 0;
    vm_map m_partialVms;
    /// VM after which the next selection of `takeLeavingRoundRobin()` starts.
    std::string m_cursor;
};

} // namespace almondnotch
