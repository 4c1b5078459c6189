#include "decision/fleet/peer_checks.h"

#include <algorithm>
#include <string>

#include "config/address.h"
#include "config/parser.h"

namespace almondnotch {

namespace {

constexpr std::size_t nameBytesMax = 253;
/// Upper bound for clock readings, which keeps sums with them in range.
constexpr duration clockMax = std::chrono::hours(24 * 365 * 100);
/// Maximum age of drain, crash and handover records; older ones refer to processes that no longer
/// run.
constexpr duration recordAgeMax = std::chrono::hours(24 * 30);

bool isValidRecordAge(duration age)
{
    return age >= duration {0} && age <= recordAgeMax;
}

tl::unexpected<error> invalid(std::string_view message)
{
    return fail(error_code::invalid_message, "check peer message", {}, message);
}

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= nameBytesMax
           && std::all_of(text.begin(), text.end(),
                          [](char letter) { return letter > ' ' && letter < 127; });
}

bool isValidProcess(const process_id &process)
{
    return isValidName(process.vm) && process.startNumber != 0;
}

bool isValidMember(const member_update &update)
{
    return isValidProcess(update.process) && isValidName(update.failureDomain)
           && parseAddress(update.entryAddress) && parseAddress(update.peerAddress)
           && update.state <= gateway_state::gone && update.lastContactAge >= duration {0}
           && update.clock >= duration {0} && update.clock <= clockMax;
}

template <typename T, typename Check>
bool areAllValid(const std::vector<T> &rows, std::size_t maxCount, Check check)
{
    return rows.size() <= maxCount && std::all_of(rows.begin(), rows.end(), check);
}

} // namespace

bool isSha256Hex(std::string_view text)
{
    return text.size() == 64 && std::all_of(text.begin(), text.end(), [](char letter) {
               return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
           });
}

result<void> checkDigest(const process_id &from, const fleet_digest &digest)
{
    if (digest.self.process != from)
        return invalid("expected a digest that describes its sender, found a digest that describes "
                       + toString(digest.self.process));
    if (!isValidMember(digest.self))
        return invalid("expected a valid record of the sender, found one with an invalid field");
    if (digest.configVersion != 0 && !isSha256Hex(digest.manifestSha256))
        return invalid("expected a SHA-256 for the manifest, found something else");
    if (digest.platformReadAge < duration {0} || digest.minPlatformReadAge < duration {0})
        return invalid("expected ages of at least 0, found a negative one");
    if (!areAllValid(digest.members, digestMembersMax, isValidMember))
        return invalid("expected at most 16 valid member updates, found more or an invalid one");
    if (!areAllValid(digest.unresponsivePeers, digestUnresponsivePeersMax, isValidProcess))
        return invalid(
            "expected at most 4 valid unresponsive processes, found more or an invalid one");
    if (!areAllValid(digest.leavingVms, digestLeavingVmsMax,
                     [](const listed_vm &vm) { return isValidName(vm.name) && vm.leaving; }))
        return invalid("expected at most 32 valid leaving VMs, found more or an invalid one");
    if (!areAllValid(digest.drains, digestRecordsMax, [](const worker_drain &drain) {
            return isValidName(drain.worker) && isValidRecordAge(drain.age);
        }))
        return invalid("expected at most 32 valid drains, found more or an invalid one");
    if (!areAllValid(digest.crashes, digestRecordsMax, [](const crash_record &crash) {
            return isValidName(crash.worker) && isValidRecordAge(crash.age);
        }))
        return invalid("expected at most 32 valid crash records, found more or an invalid one");
    if (!areAllValid(digest.handovers, digestRecordsMax, [](const handover_record &handover) {
            return isValidProcess(handover.from) && isValidProcess(handover.to)
                   && isValidRecordAge(handover.age);
        }))
        return invalid("expected at most 32 valid handovers, found more or an invalid one");
    return {};
}

result<void> checkConfigRequest(const config_request &request)
{
    if (!isSha256Hex(request.manifestSha256))
        return invalid("expected a SHA-256 for the manifest, found something else");
    if (!areAllValid(request.partSha256, configRequestPartsMax, isSha256Hex))
        return invalid("expected at most 8 valid part hashes, found more or an invalid one");
    return {};
}

result<void> checkConfigData(const config_data &data)
{
    if (data.key != "manifest" && !isSha256Hex(data.key))
        return invalid("expected the key manifest or a SHA-256, found something else");
    if (data.text.size() > configValueBytesMax)
        return invalid("expected a value of at most 1000000 bytes, found "
                       + std::to_string(data.text.size()));
    return {};
}

} // namespace almondnotch
