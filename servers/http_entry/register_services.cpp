#include "servers/http_entry/register_services.h"

#include <memory>
#include <utility>

namespace almondnotch {

result<http_entry *> registerHttpEntry(kernel &owner, entry_settings settings)
{
    std::unique_ptr<http_entry> part = std::make_unique<http_entry>(std::move(settings));
    http_entry *borrowed = part.get();
    const result<void> added = owner.add("http_entry", start_level::listeners, std::move(part));
    if (!added)
        return tl::unexpected(added.error());
    return borrowed;
}

} // namespace almondnotch
