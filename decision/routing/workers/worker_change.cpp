#include "decision/routing/workers/worker_change.h"

#include <array>

namespace almondnotch {

std::string_view toString(worker_change_kind kind)
{
    static constexpr std::array<std::string_view, 10> names {
        "draining",    "removed",         "available again",  "limits its requests",
        "limit ended", "replaced",        "asks for a pause", "sent a malformed header",
        "evacuated",   "evacuation ended"};
    return names.at(static_cast<std::size_t>(kind));
}

bool worker_change::endsUse() const
{
    return kind == worker_change_kind::drain_started || kind == worker_change_kind::removed
           || kind == worker_change_kind::replaced || kind == worker_change_kind::paused
           || kind == worker_change_kind::evacuated;
}

} // namespace almondnotch
