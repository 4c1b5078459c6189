#pragma once

#include <cstddef>

namespace almondnotch {

/// Limits of one configuration set. The counts are about two to eight times the planned size
/// (11,000 workers in 1,000 services), so that the output of a faulty generator is rejected before
/// it consumes memory on every gateway.
constexpr std::size_t configBytesMax = 16'000'000;
constexpr std::size_t failureDomainsMax = 64;
constexpr std::size_t entryVmsMax = 1000;
constexpr std::size_t budgetsMax = 4000;
constexpr std::size_t priorityClassesMax = 100;
constexpr std::size_t groupsMax = 4000;
constexpr std::size_t workersMax = 20000;
constexpr std::size_t servicesMax = 4000;
constexpr std::size_t rulesMax = 8000;

/// Maximum length of an object name, bytes; the same limit as for DNS labels.
constexpr std::size_t nameBytesMax = 63;
/// Maximum length of a rule's path prefix, bytes.
constexpr std::size_t prefixBytesMax = 256;
/// Maximum number of faults that one parse returns. If there are more, the last one gives the
/// number of omitted faults.
constexpr std::size_t faultsMax = 1000;
/// Maximum number of searches for a similar name in one parse. Each computes the edit distance to
/// every candidate, and the gateway parses on its event loop.
constexpr std::size_t suggestionsMax = 100;
/// Size of one load probe, request and response together, bytes.
constexpr double probeBytes = 300;
/// Maximum interval between two probes of one worker by the same gateway, seconds.
constexpr double probeIntervalMaxSeconds = 600;

} // namespace almondnotch
