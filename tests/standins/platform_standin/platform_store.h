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

/// Values of the platform fake with their earlier versions, in memory.
class platform_store
{
public:
    /// Largest value (design, section 1.3).
    static constexpr std::size_t valueBytesMax = 1'000'000;
    /// Versions of one key that are kept for `rollBack`; the oldest is dropped first.
    static constexpr std::size_t historyMax = 64;

    /// Stores a value. \param version 0 stands for the newest version plus one.
    /// \return the version; an error if the value is too long.
    result<std::uint64_t> publish(const std::string &key, std::string text, std::uint64_t version);

    /// The value that readers see; nothing if the key does not exist.
    std::optional<stored_value> read(const std::string &key) const;

    /// From now on readers see the values of this moment, or the newest ones again.
    void setStale(bool stale);

    /// Readers see this earlier version of a key until its next publication.
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
