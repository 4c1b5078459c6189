#include "core/log_line.h"

#include <array>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace almondnotch {

namespace {

log4cxx::LevelPtr log4cxxLevel(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

const log4cxx::LoggerPtr &processLogger()
{
    static const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("almondnotch");
    return logger;
}

/// Quotes a value that would break the key=value format. Control characters become spaces, so that
/// a caller cannot forge a record.
std::string escapeValue(std::string_view value)
{
    bool plain = !value.empty();
    std::string out;
    for (const char character : value) {
        const bool control = static_cast<unsigned char>(character) < 0x20 || character == 0x7f;
        if (control || character == ' ' || character == '"' || character == '=')
            plain = false;
        if (character == '"' || character == '\\')
            out.push_back('\\');
        out.push_back(control ? ' ' : character);
    }
    return plain ? out : "\"" + out + "\"";
}

} // namespace

void startLogging(log_level level)
{
    const log4cxx::LayoutPtr layout = std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %-5p %m%n"));
    const std::shared_ptr<log4cxx::ConsoleAppender> appender
        = std::make_shared<log4cxx::ConsoleAppender>(layout,
                                                     log4cxx::ConsoleAppender::getSystemOut());
    log4cxx::BasicConfigurator::configure(appender);
    processLogger()->setLevel(log4cxxLevel(level));
}

result<log_level> parseLogLevel(std::string_view name)
{
    static const std::array<std::string_view, 4> names {"debug", "info", "warning", "error"};
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names.at(i) == name)
            return static_cast<log_level>(i);
    }
    return fail(error_code::invalid_settings, "parse log level", "",
                "expected debug, info, warning or error, found " + std::string(name));
}

bool isLogged(log_level level)
{
    return processLogger()->isEnabledFor(log4cxxLevel(level));
}

log_line::log_line(log_level level, std::string_view component, std::string_view message)
    : m_level(level), m_enabled(isLogged(level))
{
    if (!m_enabled)
        return;
    m_text = "[" + std::string(component) + "] " + std::string(message);
}

log_line::~log_line()
{
    if (!m_enabled)
        return;
    LOG4CXX_LOG(processLogger(), log4cxxLevel(m_level), m_text);
}

log_line &log_line::field(std::string_view key, std::string_view value)
{
    if (m_enabled)
        m_text += " " + std::string(key) + "=" + escapeValue(value);
    return *this;
}

log_line &log_line::field(std::string_view key, std::int64_t value)
{
    if (m_enabled)
        m_text += " " + std::string(key) + "=" + std::to_string(value);
    return *this;
}

log_line &log_line::cause(const error &failure)
{
    field("code", toString(failure.code)).field("step", failure.step);
    if (!failure.peer.empty())
        field("peer", failure.peer);
    return field("message", failure.message);
}

} // namespace almondnotch
