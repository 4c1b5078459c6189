#include "servers/http_entry/register_services.h"

#include <memory>
#include <utility>

namespace almondnotch {

result<http_entry *> registerHttpEntry(service_manager &owner, entry_settings settings,
                                       const caller_protocol &protocol)
{
    std::unique_ptr<http_entry> created
        = std::make_unique<http_entry>(std::move(settings), protocol);
    http_entry *borrowed = created.get();
    const result<void> added = owner.add("http_entry", start_level::listeners, std::move(created));
    if (!added)
        return tl::unexpected(added.error());
    return borrowed;
}

} // namespace almondnotch
