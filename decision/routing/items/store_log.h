#pragma once

#include <string_view>

#include "core/error.h"
#include "core/time.h"
#include "decision/actions.h"
#include "decision/events.h"

namespace almondnotch {

class item_reader;
class reader_group;
struct item_batch;

/// Log records about the reads of the store. They tell, for each change of the gateway's knowledge,
/// where it came from, and for each delay, what the gateway waits for.

/// A configuration was applied.
/// \param source how it was obtained, see `worker_change_log::write`. \param revision of the batch
/// that contained it.
write_log configAppliedRecord(const route_config &config, std::string_view source,
                              std::uint64_t revision);
/// A part of an applied configuration was not understood.
write_log configWarningRecord(const published_item &item);
/// An item cannot be used.
write_log unusableItemRecord(const published_item &item);
/// The store came back from a copy. \param source see `configAppliedRecord`.
write_log eraBegunRecord(item_scope scope, const item_batch &batch, std::string_view source);
/// A read failed. The record says when the scope is read next, and how long no reader has reported
/// that the store answers it.
write_log readFailedRecord(instant now, const item_reader &reader, const reader_group &readers,
                           const error &cause);
/// A watch was abandoned because its answer did not arrive in time.
/// \param age time since the watch was sent.
write_log watchGivenUpRecord(const item_reader &reader, duration age);
/// The gateway began or ceased to watch the store itself.
write_log watchingChangedRecord(instant now, const reader_group &readers);
/// The store ceased to answer, or answers again.
/// \param last the read that showed it.
write_log storeStateRecord(bool isFailing, const items_read_finished &last);

} // namespace almondnotch
