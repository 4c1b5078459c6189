#include "servers/platform_client/platform_client_settings.h"

namespace almondnotch {

std::vector<setting_declaration> platformClientDeclarations()
{
    setting_declaration address;
    address.name = "platform.address";
    address.defaultValue = std::string();
    address.doc = "Address of the configuration service, as ip:port.";
    address.required = true;
    return {address};
}

platform_client_settings readPlatformClientSettings(const settings &values)
{
    platform_client_settings out;
    out.address = values.text("platform.address");
    return out;
}

} // namespace almondnotch
