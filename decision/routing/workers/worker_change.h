#pragma once

#include <limits>
#include <string>
#include <string_view>

#include "core/time.h"

namespace almondnotch {

/// How the availability of a worker changed, or why it did not.
enum class worker_change_kind {
    drain_started,
    removed,
    available_again,
    limited,
    limit_ended,
    replaced,
    paused,
    malformed_header,
    evacuated,
    evacuation_ended
};

/// Name of the kind in log records.
std::string_view toString(worker_change_kind kind);

/// A change of whether, or how often, a worker gets new requests.
struct worker_change
{
    std::string worker;
    worker_change_kind kind = worker_change_kind::removed;
    /// Requests per second that the worker accepts from all gateways together, for `limited`.
    double requestRateMax = std::numeric_limits<double>::infinity();
    /// How long the worker wants no requests, for `paused`.
    duration pause {0};
    /// Name of the header that was ignored, for `malformed_header`.
    std::string header {};

    /// True if unsent attempts must not be sent to the worker any more.
    bool endsUse() const;

    bool operator==(const worker_change &) const = default;
};

} // namespace almondnotch
