#include "core/error.h"

namespace almondnotch {

std::string_view toString(error_code code)
{
    switch (code) {
    case error_code::invalid_argument:
        return "invalid-argument";
    case error_code::invalid_settings:
        return "invalid-settings";
    case error_code::invalid_configuration:
        return "invalid-configuration";
    case error_code::invalid_message:
        return "invalid-message";
    case error_code::not_found:
        return "not-found";
    case error_code::out_of_bounds:
        return "out-of-bounds";
    case error_code::refused:
        return "refused";
    case error_code::unavailable:
        return "unavailable";
    case error_code::timed_out:
        return "timed-out";
    case error_code::authentication_failed:
        return "authentication-failed";
    case error_code::unsupported_version:
        return "unsupported-version";
    case error_code::internal:
        return "internal";
    }
    return "internal";
}

std::string toString(const error &failure)
{
    std::string line(toString(failure.code));
    line += ": " + failure.step;
    if (!failure.peer.empty())
        line += " (" + failure.peer + ")";
    return line + ": " + failure.message;
}

tl::unexpected<error> fail(error_code code, std::string_view step, std::string_view peer,
                           std::string_view message)
{
    return tl::unexpected<error>(
        error {code, std::string(step), std::string(peer), std::string(message)});
}

} // namespace almondnotch
