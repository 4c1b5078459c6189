#pragma once

#include <array>
#include <utility>

#include "core/byte_budget.h"
#include "core/counters.h"
#include "core/random_source.h"
#include "servers/event_loop/event_loop.h"
#include "servers/http_entry/caller_protocol.h"
#include "servers/http_entry/entry_settings.h"

namespace almondnotch {

/// What all connections of a `http_entry` share. Outlives them.
struct entry_context
{
    entry_context(entry_settings initialSettings, const caller_protocol &callerProtocol)
        : settings(std::move(initialSettings)), protocol(callerProtocol), random(settings.seed),
          requestBodies(settings.heldBodyBytesMax), responses(settings.heldResponseBytesMax)
    { }

    entry_settings settings;
    const caller_protocol &protocol;
    random_source random;
    counter_set counters {};
    const event_loop *loop = nullptr;
    /// Holds the bodies of requests until their response has been passed to the writer.
    byte_budget requestBodies;
    /// Holds the responses that callers have not read yet.
    byte_budget responses;
    /// Receives the bytes of one read; what is not processed at once is copied to its connection.
    std::array<char, 65536> readBuffer {};
};

} // namespace almondnotch
