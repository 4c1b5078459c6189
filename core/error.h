#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace almondnotch {

/// Categories of errors, for logs and for calling code that handles some of them differently.
enum class error_code {
    invalid_argument,
    invalid_settings,
    invalid_configuration,
    invalid_message,
    not_found,
    out_of_bounds,
    refused,
    unavailable,
    timed_out,
    authentication_failed,
    unsupported_version,
    internal,
};

std::string_view toString(error_code code);

/// An error, the operation that failed and the object that the operation concerned.
struct error
{
    error_code code = error_code::internal;
    /// The operation that failed, for example "connect" or "parse manifest".
    std::string step;
    /// The object that the operation concerned, for example the address of a peer, the name of a
    /// service or the path of a file; empty if there is none.
    std::string peer;
    /// Cause of the error; for invalid input, what was expected and what was found.
    std::string message;

    bool operator==(const error &) const = default;
};

/// One line for logs: "code: step (peer): message".
std::string toString(const error &failure);

template <typename T>
using result = tl::expected<T, error>;

/// Shorthand for returning an error from a function that returns a `result`.
tl::unexpected<error> fail(error_code code, std::string_view step, std::string_view peer,
                           std::string_view message);

} // namespace almondnotch
