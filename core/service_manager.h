#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace almondnotch {

class service_manager;

/// A component of the process that is started and stopped. Services look one another up by name.
class service
{
public:
    service() = default;
    service(const service &) = delete;
    service &operator=(const service &) = delete;
    virtual ~service() = default;

    /// Acquires resources such as sockets, and looks up other services. Services that start later
    /// can be looked up as well, but have not started yet.
    virtual result<void> start(service_manager &owner) = 0;

    /// Releases everything that `start` acquired.
    virtual void stop() = 0;
};

/// Order in which services start; they stop in the reverse order.
enum class start_level {
    /// The event loop.
    loop,
    /// Connections to workers, other gateways and the platform.
    transports,
    /// The decision service, which decides about calls.
    decisions,
    /// Endpoints for callers and operators, started last so that no request arrives before the
    /// services that it depends on have started.
    listeners
};

/// Owns the registered services, starts them level by level and stops them in reverse order.
class service_manager
{
public:
    service_manager() = default;
    service_manager(const service_manager &) = delete;
    service_manager &operator=(const service_manager &) = delete;
    ~service_manager();

    /// \return an error if the name is already registered.
    result<void> add(std::string_view name, start_level level, std::unique_ptr<service> instance);

    /// Starts all services. If one fails to start, those already started are stopped.
    result<void> start();
    void stop();

    /// The service of that name, or an error if there is none or it has another type.
    template <typename T>
    result<T *> find(std::string_view name) const
    {
        const auto found = m_byName.find(name);
        if (found == m_byName.end())
            return fail(error_code::not_found, "find service", name,
                        "no service is registered under this name");
        T *typed = dynamic_cast<T *>(found->second);
        if (typed == nullptr)
            return fail(error_code::internal, "find service", name,
                        "the service does not implement the requested type");
        return typed;
    }

private:
    struct entry
    {
        std::string name;
        start_level level;
        std::unique_ptr<service> instance;
    };

    std::vector<entry> m_entries;
    std::map<std::string, service *, std::less<>> m_byName;
    std::vector<service *> m_started;
};

} // namespace almondnotch
