#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/settings.h"
#include "core/time.h"

namespace almondnotch {

/// Where the configuration service is, and the bounds of its use.
struct platform_client_settings
{
    /// "ip:port".
    std::string address;
    /// Longest value (design, section 1.3).
    std::size_t valueBytesMax = 1'000'000;
    duration connectTimeout {milliseconds(1000)};
    /// Time beyond the wait of a watch after which it is given up.
    duration watchGracePeriod {seconds(2)};
    /// Time limit of a plain read: the same grace and one second for the transfer of the value.
    duration readTimeLimit {seconds(3)};
    /// Time limit of a plain read of published items, which are answered in milliseconds.
    duration itemsTimeLimit {milliseconds(1500)};
    /// Reads and watches in progress; a process uses a few.
    std::size_t readsMax = 64;

    bool operator==(const platform_client_settings &) const = default;
};

/// Declarations of the settings above, for the daemon's settings file.
std::vector<setting_declaration> platformClientDeclarations();

/// The values that a settings file gives.
platform_client_settings readPlatformClientSettings(const settings &values);

} // namespace almondnotch
