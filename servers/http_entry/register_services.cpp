#include "servers/http_entry/register_services.h"

#include <memory>
#include <utility>

namespace almondnotch {

result<http_entry *> registerHttpEntry(kernel &owner, entry_settings settings,
                                       const caller_dialect &dialect)
{
    std::unique_ptr<http_entry> part = std::make_unique<http_entry>(std::move(settings), dialect);
    http_entry *borrowed = part.get();
    const result<void> added = owner.add("http_entry", start_level::listeners, std::move(part));
    if (!added)
        return tl::unexpected(added.error());
    return borrowed;
}

} // namespace almondnotch
