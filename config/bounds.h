#pragma once

#include <cstddef>

namespace almondnotch {

/// Bounds of one configuration set. The counts are about twice the size that the design plans for
/// (11,000 workers in 1,000 services), so that a runaway generator is refused before it costs
/// memory on every gateway.
constexpr std::size_t configBytesMax = 16'000'000;
constexpr std::size_t failureDomainsMax = 64;
constexpr std::size_t entryVmsMax = 1000;
constexpr std::size_t budgetsMax = 4000;
constexpr std::size_t priorityClassesMax = 100;
constexpr std::size_t groupsMax = 4000;
constexpr std::size_t workersMax = 20000;
constexpr std::size_t servicesMax = 4000;
constexpr std::size_t rulesMax = 8000;

/// Longest name of an object, bytes; DNS labels have the same bound.
constexpr std::size_t nameBytesMax = 63;
/// Longest path prefix of a rule, bytes.
constexpr std::size_t prefixBytesMax = 256;
/// Faults that one parse returns; the last one counts those left out.
constexpr std::size_t faultsMax = 1000;
/// Searches for a close name in one parse. Each costs an edit distance to every candidate, and the
/// gateway parses on its event loop.
constexpr std::size_t suggestionsMax = 100;
/// Bytes of one load probe, request and response together.
constexpr double probeBytes = 300;
/// Longest time between two probes of one worker by the same gateway, seconds.
constexpr double probeIntervalMaxSeconds = 600;

} // namespace almondnotch
