#include "logging/logger.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace Cardamomhill
{

namespace
{

/// About half a second of log lines under high load.
constexpr int MaxBufferedLines = 512;

log4cxx::LevelPtr levelOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

void appendValue(std::string &line, const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"\\=\n\r\t") == std::string::npos) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        // Line breaks are replaced, so that a caller's input cannot forge a log line.
        line += (c == '\n' || c == '\r') ? ' ' : c;
    }
    line += '"';
}

log4cxx::AppenderPtr consoleAppender(const log4cxx::LogString &target)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %p %m%n"));
    return std::make_shared<log4cxx::ConsoleAppender>(layout, target);
}

void install(const log4cxx::AppenderPtr &appender, LogLevel level)
{
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(levelOf(level));
}

} // namespace

void startLogging(LogLevel level)
{
    install(consoleAppender(log4cxx::ConsoleAppender::getSystemErr()), level);
}

void startBufferedLogging(LogLevel level)
{
    const auto buffer = std::make_shared<log4cxx::AsyncAppender>();
    buffer->setBufferSize(MaxBufferedLines);
    buffer->setBlocking(false);
    buffer->addAppender(consoleAppender(log4cxx::ConsoleAppender::getSystemOut()));
    install(buffer, level);
}

void endBufferedLogging()
{
    const auto root = log4cxx::Logger::getRootLogger();
    const auto level = root->getLevel();
    for (const auto &appender : root->getAllAppenders()) {
        appender->close();
    }
    root->removeAllAppenders();
    root->addAppender(consoleAppender(log4cxx::ConsoleAppender::getSystemOut()));
    root->setLevel(level);
}

void stopLogging()
{
    log4cxx::LogManager::shutdown();
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    static const auto Root = log4cxx::Logger::getRootLogger();
    const auto logLevel = levelOf(level);
    if (!Root->isEnabledFor(logLevel)) {
        return;
    }
    LOG4CXX_LOG(Root, logLevel, formatEvent(event, fields));
}

std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=" + std::string(event);
    for (const auto &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

} // namespace Cardamomhill
