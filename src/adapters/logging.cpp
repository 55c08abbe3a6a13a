#include "bamboohead/logging.hpp"

#include <log4cplus/appender.h>
#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace bamboohead {

namespace {

constexpr std::string_view standardOutput = "-";
constexpr std::string_view loggerName = "bamboohead";
constexpr std::string_view linePattern = "time=%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n";
/// Maximum number of lines that wait for the writer thread; logLine() blocks while it is reached.
constexpr unsigned queueCapacity = 10'000;
/// Size at which a log file is rotated, and the number of old files that are kept.
constexpr long maxFileBytes = 64L << 20U;
constexpr int maxBackupFiles = 2;
constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char deleteCharacter = 0x7f;

constexpr std::array levels{log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
                            log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};

std::atomic<bool> logOpen{false}; ///< a log_session exists

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

/// Buffers lines for standard output and writes them without blocking. When the reader is too slow
/// and the buffer is full, lines are dropped and counted.
class stdout_appender : public log4cplus::Appender
{
public:
    ~stdout_appender() override { destructorImpl(); }

    void close() override
    {
        flush();
        closed = true;
    }

    void flush()
    {
        const std::lock_guard guard{m_mutex};
        if (m_droppedLines > 0 && m_buffer.size() < maxBufferedBytes) {
            m_buffer +=
                    "level=WARN event=log_lines_dropped count=" + std::to_string(m_droppedLines) +
                    "\n";
            m_droppedLines = 0;
        }
        std::size_t written = 0;
        while (written < m_buffer.size() && writable()) {
            const auto part = std::min(m_buffer.size() - written, maxWriteBytes);
            const auto count = ::write(STDOUT_FILENO, m_buffer.data() + written, part);
            if (count <= 0) {
                break;
            }
            written += static_cast<std::size_t>(count);
        }
        m_buffer.erase(0, written);
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        const std::lock_guard guard{m_mutex};
        if (m_buffer.size() >= maxBufferedBytes) {
            ++m_droppedLines;
            return;
        }
        m_buffer += formatEvent(event);
    }

private:
    static constexpr std::size_t maxBufferedBytes = std::size_t{1} << 20U;
    /// Number of bytes that a pipe accepts without blocking when poll() reports it as writable
    /// (PIPE_BUF).
    static constexpr std::size_t maxWriteBytes = 4'096;

    static bool writable()
    {
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        return ::poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
    }

    std::mutex m_mutex;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
};

stdout_appender *stdoutAppender = nullptr; ///< null unless the log goes to standard output

log4cplus::SharedAppenderPtr makeAppender(const log_settings &settings)
{
    if (settings.file.empty()) {
        return log4cplus::SharedAppenderPtr{new log4cplus::ConsoleAppender{true, true}};
    }
    return log4cplus::SharedAppenderPtr{new log4cplus::RollingFileAppender{
            settings.file, maxFileBytes, maxBackupFiles, true, true}};
}

log4cplus::SharedAppenderPtr makeStdoutAppender()
{
    stdoutAppender = new stdout_appender;
    return log4cplus::SharedAppenderPtr{stdoutAppender};
}

} // namespace

class log_session::implementation
{
public:
    explicit implementation(const log_settings &settings)
    {
        const bool toStdout = settings.file == standardOutput;
        auto appender = toStdout ? makeStdoutAppender() : makeAppender(settings);
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>(std::string{linePattern}));
        auto logger = log4cplus::Logger::getInstance(std::string{loggerName});
        logger.setLogLevel(logLevel(settings.level));
        logger.setAdditivity(false);
        if (!toStdout) {
            appender = new log4cplus::AsyncAppender{appender, queueCapacity};
        }
        logger.addAppender(appender);
        logOpen = true;
    }

    ~implementation()
    {
        logOpen = false;
        flushLog();
        stdoutAppender = nullptr;
        log4cplus::Logger::getInstance(std::string{loggerName}).removeAllAppenders();
    }

    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

private:
    /// Never destroyed: its destructor joins the threads of the log library, and was observed to
    /// hang on the users' platform, the system in which the users' callers and targets run and for
    /// which the dispatch commands are made.
    log4cplus::Initializer &m_library = *new log4cplus::Initializer;
};

log_session::log_session(const log_settings &settings)
    : m_impl{std::make_unique<implementation>(settings)}
{}

log_session::~log_session() = default;

void flushLog()
{
    if (stdoutAppender != nullptr) {
        stdoutAppender->flush();
    }
}

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
