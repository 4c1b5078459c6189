#include "core/service_manager.h"

#include <algorithm>

namespace almondnotch {

service_manager::~service_manager()
{
    stop();
}

result<void> service_manager::add(std::string_view name, start_level level,
                                  std::unique_ptr<service> instance)
{
    if (m_byName.contains(name))
        return fail(error_code::invalid_argument, "add service", name,
                    "a service is already registered under this name");
    m_byName.emplace(std::string(name), instance.get());
    m_entries.push_back({std::string(name), level, std::move(instance)});
    return {};
}

result<void> service_manager::start()
{
    std::stable_sort(m_entries.begin(), m_entries.end(), [](const entry &left, const entry &right) {
        return left.level < right.level;
    });
    for (const entry &each : m_entries) {
        const result<void> started = each.instance->start(*this);
        if (!started) {
            stop();
            return started;
        }
        m_started.push_back(each.instance.get());
    }
    return {};
}

void service_manager::stop()
{
    while (!m_started.empty()) {
        m_started.back()->stop();
        m_started.pop_back();
    }
}

} // namespace almondnotch
