#pragma once

#include <string>
#include <string_view>

#include "decision/decision_core.h"

namespace almondnotch {

/// What a request to the directory port asks for.
enum class directory_call { readiness, entry, unknown };

/// Paths, parameters and bodies of the directory port. Stateless.
class directory_dialect
{
public:
    directory_dialect() = default;
    directory_dialect(const directory_dialect &) = delete;
    directory_dialect &operator=(const directory_dialect &) = delete;
    virtual ~directory_dialect() = default;

    virtual directory_call classify(std::string_view path) const = 0;
    /// Names of the query's parameters.
    virtual const char *hostParameter() const = 0;
    virtual const char *regionParameter() const = 0;
    virtual const char *failureDomainParameter() const = 0;
    /// JSON body of an answer with addresses.
    virtual std::string encode(const entry_addresses &answer) const = 0;
};

} // namespace almondnotch
