#include "bamboohead/logging.hpp"

#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <array>
#include <atomic>

namespace bamboohead {

namespace {

constexpr std::string_view loggerName = "bamboohead";
constexpr std::string_view linePattern = "time=%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n";
constexpr unsigned queuedLines = 10'000;
constexpr long maxFileBytes = 64L << 20U;
constexpr int keptFiles = 2;
constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char deleteCharacter = 0x7f;

constexpr std::array levels{log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
                            log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};

std::atomic<bool> logOpen{false};

int logLevel(log_level level)
{
    return levels.at(static_cast<std::size_t>(level));
}

bool isControl(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte < firstPrintable || byte == deleteCharacter;
}

bool needsQuotes(char c)
{
    return isControl(c) || c == ' ' || c == '"' || c == '=' || c == '\\';
}

void appendEscaped(std::string &text, char c)
{
    constexpr std::string_view hexDigits = "0123456789abcdef";
    constexpr unsigned nibbleBits = 4;
    constexpr unsigned nibbleMask = 0xf;
    if (c == '"' || c == '\\') {
        text += '\\';
        text += c;
    } else if (c == '\n') {
        text += "\\n";
    } else if (isControl(c)) {
        const auto byte = static_cast<unsigned char>(c);
        text += "\\x";
        text += hexDigits[byte >> nibbleBits];
        text += hexDigits[byte & nibbleMask];
    } else {
        text += c;
    }
}

log4cplus::SharedAppenderPtr makeAppender(const log_settings &settings)
{
    if (settings.file.empty()) {
        return log4cplus::SharedAppenderPtr{new log4cplus::ConsoleAppender{true, true}};
    }
    return log4cplus::SharedAppenderPtr{
            new log4cplus::RollingFileAppender{settings.file, maxFileBytes, keptFiles, true, true}};
}

} // namespace

class log_session::implementation
{
public:
    explicit implementation(const log_settings &settings)
    {
        auto appender = makeAppender(settings);
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>(std::string{linePattern}));
        auto logger = log4cplus::Logger::getInstance(std::string{loggerName});
        logger.setLogLevel(logLevel(settings.level));
        logger.setAdditivity(false);
        logger.addAppender(
                log4cplus::SharedAppenderPtr{new log4cplus::AsyncAppender{appender, queuedLines}});
        logOpen = true;
    }

    ~implementation()
    {
        logOpen = false;
        log4cplus::Logger::getInstance(std::string{loggerName}).removeAllAppenders();
    }

    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

private:
    log4cplus::Initializer m_library;
};

log_session::log_session(const log_settings &settings)
    : m_impl{std::make_unique<implementation>(settings)}
{}

log_session::~log_session() = default;

std::string escapeLogValue(std::string_view value)
{
    if (!value.empty() && std::ranges::none_of(value, needsQuotes)) {
        return std::string{value};
    }
    std::string text{"\""};
    for (const char c : value) {
        appendEscaped(text, c);
    }
    text += '"';
    return text;
}

std::string formatLogLine(std::string_view name, const log_fields &fields)
{
    auto line = "event=" + escapeLogValue(name);
    for (const auto &[key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        line += escapeLogValue(value);
    }
    return line;
}

void logLine(log_level level, std::string_view name, const log_fields &fields)
{
    if (!logOpen) {
        return;
    }
    const auto logger = log4cplus::Logger::getInstance(std::string{loggerName});
    if (logger.isEnabledFor(logLevel(level))) {
        logger.forcedLog(logLevel(level), formatLogLine(name, fields));
    }
}

} // namespace bamboohead
