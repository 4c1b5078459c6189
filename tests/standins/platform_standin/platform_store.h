#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/error.h"

namespace almondnotch {

/// One version of a value.
struct stored_value
{
    std::uint64_t version = 0;
    std::string text;
};

/// Values of the platform stand-in and their earlier versions, in memory.
class platform_store
{
public:
    /// Maximum size of a value in bytes, as on the platform (section 1.3 of the design).
    static constexpr std::size_t valueBytesMax = 1'000'000;
    /// Number of versions kept per key for `rollBack`; the oldest is removed first.
    static constexpr std::size_t historyMax = 64;

    /// Stores a value.
    /// \param version version to assign; 0 assigns the newest version plus one.
    /// \return the assigned version; an error if the value is larger than `valueBytesMax`.
    result<std::uint64_t> publish(const std::string &key, std::string text, std::uint64_t version);

    /// The value that readers see; `std::nullopt` if the key does not exist.
    std::optional<stored_value> read(const std::string &key) const;

    /// Turns stale reads on or off. While they are on, readers see the values as of the call that
    /// turned them on.
    void setStale(bool stale);

    /// Makes an earlier version of a key current until its next publication. Fails if the version
    /// is not in the history.
    result<void> rollBack(const std::string &key, std::uint64_t version);

private:
    struct entry
    {
        std::map<std::uint64_t, std::string> versions;
        std::uint64_t current = 0;
    };

    std::map<std::string, entry> m_entries;
    std::optional<std::map<std::string, stored_value>> m_staleValues;
};

} // namespace almondnotch
