#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"

namespace almondnotch {

enum class log_level { debug, info, warning, error };

/// Configures log4cxx for the process: one line per record on standard output.
/// \param level lowest level that is written.
void startLogging(log_level level);

/// Parses the name of a level: "debug", "info", "warning" or "error".
result<log_level> parseLogLevel(std::string_view name);

/// True if records of this level are written; lets calling code skip building expensive fields.
bool isLogged(log_level level);

/// One structured log record: the name of a component, a short message and key=value fields. The
/// record is written when the object is destroyed.
class log_line
{
public:
    /// \param component fixed name of the component, for example "entry".
    log_line(log_level level, std::string_view component, std::string_view message);
    log_line(const log_line &) = delete;
    log_line &operator=(const log_line &) = delete;
    ~log_line();

    log_line &field(std::string_view key, std::string_view value);
    log_line &field(std::string_view key, std::int64_t value);

    /// Adds the fields of an error: code, step, peer, message.
    log_line &cause(const error &failure);

private:
    log_level m_level;
    bool m_enabled;
    std::string m_text;
};

} // namespace almondnotch
