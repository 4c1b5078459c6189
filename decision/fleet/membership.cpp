#include "decision/fleet/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "core/mechanisms.h"

namespace almondnotch {

namespace {

/// Upper bound for ages reported by peers, which keeps the arithmetic with instants in range.
constexpr duration contactAgeMax = std::chrono::hours(24);

/// True if `left` takes precedence over `right` for the same VM.
bool precedes(const member_update &left, const member_update &right)
{
    if (left.process.startNumber != right.process.startNumber)
        return left.process.startNumber > right.process.startNumber;
    if (left.incarnation != right.incarnation)
        return left.incarnation > right.incarnation;
    return left.state > right.state;
}

} // namespace

membership::membership(membership_settings settings, member_update self, counter_set &counters)
    : m_settings(settings), m_self(std::move(self)), m_counters(counters)
{ }

void membership::beginLeaving()
{
    m_self.state = gateway_state::leaving;
    ++m_self.incarnation;
}

merge_outcome membership::mergeSelf(const member_update &update)
{
    if (update.process.startNumber > m_self.process.startNumber) {
        m_superseded = true;
        return merge_outcome::superseded;
    }
    if (update.process.startNumber < m_self.process.startNumber || !precedes(update, m_self))
        return merge_outcome::unchanged;
    if (!isMechanismEnabled("suspicion_refutation"))
        return merge_outcome::unchanged;
    m_self.incarnation = update.incarnation + 1;
    m_counters.add("member_refutations_total");
    return merge_outcome::refuted;
}

merge_outcome membership::merge(instant now, const member_update &update)
{
    if (update.process.vm == m_self.process.vm)
        return mergeSelf(update);
    const instant lastContactAt = now - std::min(update.lastContactAge, contactAgeMax);
    const auto found = m_records.find(update.process.vm);
    if (found == m_records.end()) {
        // Adding unknown gone processes would let their records circulate forever, since each
        // process would start the retention time anew.
        if (update.state == gateway_state::gone
            || update.lastContactAge > m_settings.unknownMemberAgeMax)
            return merge_outcome::rejected;
        if (m_records.size() >= membersMax && !evictOldestGone()) {
            m_counters.add("members_refused_total{reason=\"table_full\"}");
            return merge_outcome::rejected;
        }
        member_record &record = m_records[update.process.vm];
        record.update = update;
        record.lastContactAt = lastContactAt;
        record.clockUpdatedAt = now;
        recordChange(now, record, true);
        return merge_outcome::changed;
    }
    member_record &record = found->second;
    if (precedes(update, record.update)) {
        const bool replaced = update.process != record.update.process;
        const bool stateChanged = replaced || update.state != record.update.state;
        if (replaced) {
            record.lastContactAt = lastContactAt;
            record.unansweredSince = instant::never();
        }
        record.update = update;
        record.clockUpdatedAt = now;
        recordContact(record, lastContactAt);
        recordChange(now, record, stateChanged);
        return merge_outcome::changed;
    }
    // A change that peers already send needs fewer sends from this process. This limits the traffic
    // when many processes change at once, such as at the start of a whole fleet.
    if (!precedes(record.update, update) && record.sendsLeft > 0)
        --record.sendsLeft;
    if (update.process == record.update.process && lastContactAt > record.lastContactAt) {
        record.update.callsInProgress = update.callsInProgress;
        record.update.isJoining = update.isJoining;
        record.update.clock = update.clock;
        record.clockUpdatedAt = now;
        recordContact(record, lastContactAt);
    }
    return merge_outcome::unchanged;
}

merge_outcome membership::mergeDirect(instant now, const member_update &update)
{
    member_update directUpdate = update;
    directUpdate.lastContactAge = duration {0};
    const merge_outcome outcome = merge(now, directUpdate);
    if (m_awaitingContact && outcome != merge_outcome::superseded) {
        // Messages that were sent before this contact and not answered do not show that a peer has
        // failed, since this process may have been unreachable itself. The timeouts for declaring
        // processes suspect or gone are therefore restarted.
        pauseDetected(now);
        m_awaitingContact = false;
    }
    return outcome;
}

void membership::recordContact(member_record &record, instant lastContactAt)
{
    record.lastContactAt = std::max(record.lastContactAt, lastContactAt);
    if (record.unansweredSince != instant::never()
        && record.lastContactAt >= record.unansweredSince)
        record.unansweredSince = instant::never();
}

void membership::recordChange(instant now, member_record &record, bool stateChanged)
{
    if (stateChanged)
        record.stateSince = now;
    // A change that is sent 4 * log2(number of processes) times reaches all processes with high
    // probability (SWIM, section 4.1), even if a fifth of the messages is lost.
    record.sendsLeft = 4 * static_cast<unsigned>(std::bit_width(m_records.size() + 1));
    record.changeNumber = ++m_lastChangeNumber;
}

bool membership::evictOldestGone()
{
    auto oldest = m_records.end();
    for (auto it = m_records.begin(); it != m_records.end(); ++it)
        if (it->second.update.state == gateway_state::gone
            && (oldest == m_records.end() || it->second.stateSince < oldest->second.stateSince))
            oldest = it;
    if (oldest == m_records.end())
        return false;
    m_records.erase(oldest);
    return true;
}

void membership::markUnanswered(instant now, const std::string &peerAddress)
{
    for (std::pair<const std::string, member_record> &entry : m_records) {
        member_record &record = entry.second;
        if (record.update.peerAddress == peerAddress && record.update.state != gateway_state::gone
            && record.unansweredSince == instant::never())
            record.unansweredSince = now;
    }
}

std::vector<process_id> membership::checkTimeouts(instant now)
{
    std::vector<process_id> gone;
    for (auto it = m_records.begin(); it != m_records.end();) {
        member_record &record = it->second;
        const duration sinceContact = now - record.lastContactAt;
        const duration unanswered = record.unansweredSince == instant::never()
                                        ? duration {0}
                                        : now - record.unansweredSince;
        gateway_state nextState = record.update.state;
        switch (record.update.state) {
        case gateway_state::alive:
            if (std::min(unanswered, sinceContact) >= m_settings.suspectAfter)
                nextState = gateway_state::suspect;
            break;
        case gateway_state::suspect:
            if (now - record.stateSince >= m_settings.goneAfter
                && sinceContact >= m_settings.suspectAfter)
                nextState = gateway_state::gone;
            break;
        case gateway_state::leaving:
            if (std::min(unanswered, sinceContact) >= m_settings.goneAfter)
                nextState = gateway_state::gone;
            break;
        case gateway_state::gone:
            if (now - record.stateSince >= m_settings.goneRetention) {
                it = m_records.erase(it);
                continue;
            }
            break;
        }
        if (nextState != record.update.state
            && (!m_awaitingContact || !isMechanismEnabled("pause_judges_nobody"))) {
            record.update.state = nextState;
            recordChange(now, record, true);
            m_counters.add("member_declared_total{state=\"" + std::string(toString(nextState))
                           + "\"}");
            if (nextState == gateway_state::gone)
                gone.push_back(record.update.process);
        }
        ++it;
    }
    return gone;
}

void membership::pauseDetected(instant now)
{
    m_awaitingContact = true;
    for (std::pair<const std::string, member_record> &entry : m_records) {
        entry.second.unansweredSince = instant::never();
        if (entry.second.update.state == gateway_state::suspect)
            entry.second.stateSince = now;
    }
}

std::vector<member_update> membership::takeGossipUpdates(instant now, std::size_t maxCount,
                                                         std::size_t roundRobinCount)
{
    std::vector<member_record *> recent;
    for (std::pair<const std::string, member_record> &entry : m_records)
        if (entry.second.sendsLeft > 0)
            recent.push_back(&entry.second);
    const std::size_t recentCount
        = std::min(recent.size(), maxCount - std::min(roundRobinCount, maxCount));
    std::partial_sort(recent.begin(), recent.begin() + static_cast<std::ptrdiff_t>(recentCount),
                      recent.end(), [](const member_record *left, const member_record *right) {
                          return left->changeNumber > right->changeNumber;
                      });
    std::vector<member_update> out;
    for (std::size_t i = 0; i < recentCount; ++i) {
        --recent[i]->sendsLeft;
        out.push_back(*currentUpdate(now, recent[i]->update.process.vm));
    }
    auto position = m_records.upper_bound(m_cursor);
    for (std::size_t i = 0;
         i < std::min(roundRobinCount, m_records.size()) && out.size() < maxCount; ++i) {
        if (position == m_records.end())
            position = m_records.begin();
        m_cursor = position->first;
        if (std::none_of(out.begin(), out.end(), [&](const member_update &update) {
                return update.process.vm == m_cursor;
            }))
            out.push_back(*currentUpdate(now, m_cursor));
        ++position;
    }
    return out;
}

std::optional<member_update> membership::currentUpdate(instant now, const std::string &vm) const
{
    const member_record *record = find(vm);
    if (record == nullptr)
        return std::nullopt;
    member_update update = record->update;
    update.lastContactAge = std::max(duration {0}, now - record->lastContactAt);
    if (update.clock > duration {0})
        update.clock += now - record->clockUpdatedAt;
    return update;
}

const member_record *membership::find(const std::string &vm) const
{
    const auto found = m_records.find(vm);
    return found == m_records.end() ? nullptr : &found->second;
}

std::optional<std::string> membership::findNonAliveVm(const std::string &peerAddress) const
{
    for (const std::pair<const std::string, member_record> &entry : m_records)
        if (entry.second.update.state != gateway_state::alive
            && entry.second.update.peerAddress == peerAddress)
            return entry.first;
    return std::nullopt;
}

std::vector<const member_record *> membership::contactableMembers() const
{
    std::vector<const member_record *> out;
    for (const std::pair<const std::string, member_record> &entry : m_records)
        if (entry.second.update.state != gateway_state::gone)
            out.push_back(&entry.second);
    return out;
}

std::vector<process_id> membership::unresponsivePeers(instant now, duration probeTimeout,
                                                      random_source &random) const
{
    std::vector<process_id> out;
    for (const member_record *record : contactableMembers())
        if (record->unansweredSince != instant::never()
            && now - record->unansweredSince > probeTimeout)
            out.push_back(record->update.process);
    for (std::size_t i = 0; i < std::min(out.size(), digestUnresponsivePeersMax); ++i)
        std::swap(out[i], out[i + random.below(out.size() - i)]);
    if (out.size() > digestUnresponsivePeersMax)
        out.resize(digestUnresponsivePeersMax);
    return out;
}

bool membership::isGone(const process_id &process) const
{
    if (process.vm == m_self.process.vm)
        return process.startNumber < m_self.process.startNumber;
    const member_record *record = find(process.vm);
    if (record == nullptr)
        return false;
    return record->update.process.startNumber > process.startNumber
           || (record->update.process == process && record->update.state == gateway_state::gone);
}

nlohmann::json membership::dump(instant now) const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const std::pair<const std::string, member_record> &entry : m_records) {
        const member_record &record = entry.second;
        nlohmann::json row = {{"process", toString(record.update.process)},
                              {"incarnation", record.update.incarnation},
                              {"state", toString(record.update.state)},
                              {"failure_domain", record.update.failureDomain},
                              {"entry_address", record.update.entryAddress},
                              {"peer_address", record.update.peerAddress},
                              {"calls_in_progress", record.update.callsInProgress},
                              {"heard_age_ms", toMilliseconds(now - record.lastContactAt)},
                              {"state_age_ms", toMilliseconds(now - record.stateSince)}};
        if (record.unansweredSince != instant::never())
            row["unanswered_ms"] = toMilliseconds(now - record.unansweredSince);
        rows.push_back(std::move(row));
    }
    return {{"self",
             {{"process", toString(m_self.process)},
              {"incarnation", m_self.incarnation},
              {"state", toString(m_self.state)},
              {"superseded", m_superseded}}},
            {"awaiting_contact", m_awaitingContact},
            {"members", rows},
            {"members_max", membersMax}};
}

} // namespace almondnotch
