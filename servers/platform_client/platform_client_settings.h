#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/settings.h"
#include "core/time.h"

namespace almondnotch {

/// Address of the configuration service, and limits and timeouts of the requests to it.
struct platform_client_settings
{
    /// "ip:port".
    std::string address;
    /// Maximum size of a value in bytes (docs/design.md, section 1.3).
    std::size_t valueBytesMax = 1'000'000;
    duration connectTimeout {milliseconds(1000)};
    /// A watch is aborted if it lasts this much longer than its requested wait.
    duration watchGracePeriod {seconds(2)};
    /// Time limit of a read that is not a watch: 2 s as in `watchGracePeriod`, plus 1 s for the
    /// transfer of the value.
    duration readTimeLimit {seconds(3)};
    /// Time limit of a read of published items that is not a watch, until the first bytes of its
    /// response arrive and between further ones. The platform answers it within milliseconds, but
    /// large items take long on a slow link.
    duration itemsTimeLimit {milliseconds(1500)};
    /// Maximum time, beyond these limits, in which the body of a response with published items has
    /// to arrive.
    duration itemsTransferTimeMax {seconds(60)};
    /// Maximum size of a response with published items in bytes. It is decoded item by item, so the
    /// size only costs time.
    std::size_t itemsBytesMax = 1'073'741'824;
    /// Maximum number of reads and watches in progress. A process normally has only a few.
    std::size_t readsMax = 64;

    bool operator==(const platform_client_settings &) const = default;
};

/// Declares the setting `platform.address`, the only member that is read from the settings file.
std::vector<setting_declaration> platformClientDeclarations();

/// Reads `address` from the values of a settings file. The other members keep their defaults.
platform_client_settings readPlatformClientSettings(const settings &values);

} // namespace almondnotch
