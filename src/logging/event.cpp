#include "logging/event.hpp"

#include "logging/line_sink.hpp"

#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <cstdio>
#include <memory>
#include <unistd.h>
#include <utility>

namespace chivewinch::logging {

namespace internal {

constexpr std::array<std::pair<std::string_view, log4cplus::LogLevel>, 4> levels { {
    { "debug", log4cplus::DEBUG_LOG_LEVEL },
    { "info", log4cplus::INFO_LOG_LEVEL },
    { "warning", log4cplus::WARN_LOG_LEVEL },
    { "error", log4cplus::ERROR_LOG_LEVEL },
} };

log4cplus::LogLevel toLogLevel(Level level) { return levels[static_cast<std::size_t>(level)].second; }

/** Appender over a non-blocking sink. log4cplus calls append() with its lock held, so the sink needs no lock. */
class SinkAppender final : public log4cplus::Appender {
public:
    explicit SinkAppender(int descriptor)
        : sink { descriptor }
    {
    }
    SinkAppender(const SinkAppender&) = delete;
    SinkAppender& operator=(const SinkAppender&) = delete;
    ~SinkAppender() override { this->destructorImpl(); }

    void close() override { this->closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        log4cplus::tostringstream text;
        this->layout->formatAndAppend(text, event);
        this->sink.write(LOG4CPLUS_TSTRING_TO_STRING(text.str()));
    }

private:
    LineSink sink;
};

bool needsQuotes(std::string_view value)
{
    for (const auto character : value) {
        if (static_cast<unsigned char>(character) <= ' ' || character == '"' || character == '=' || character == '\\')
            return true;
    }
    return value.empty();
}

void appendQuoted(std::string& text, std::string_view value)
{
    text += '"';
    for (const auto character : value) {
        if (character == '"' || character == '\\')
            text += '\\';
        // Control characters become spaces, so that an event stays on one line for any input.
        text += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
    }
    text += '"';
}

} // namespace internal

void configure(const Options& options)
{
    static log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr appender;
    if (options.output == Output::StandardOutput)
        appender = new internal::SinkAppender(STDOUT_FILENO);
    else
        appender = new log4cplus::ConsoleAppender(true, true);
    const auto pattern = "time=%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p program=" + options.program
        + " instance=" + options.instance + " %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_STRING_TO_TSTRING(pattern)));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(internal::toLogLevel(options.level));
}

Level parseLevel(std::string_view name) noexcept
{
    for (std::size_t i = 0; i < internal::levels.size(); ++i) {
        if (internal::levels[i].first == name)
            return static_cast<Level>(i);
    }
    return Level::Info;
}

Event::Event(std::string_view name)
{
    this->text = "event=";
    this->text += name;
}

Event& Event::field(std::string_view key, std::string_view value)
{
    this->text += ' ';
    this->text += key;
    this->text += '=';
    if (internal::needsQuotes(value))
        internal::appendQuoted(this->text, value);
    else
        this->text += value;
    return *this;
}

Event& Event::field(std::string_view key, double value)
{
    std::array<char, 32> digits {};
    std::snprintf(digits.data(), digits.size(), "%.3f", value);
    return this->field(key, std::string_view { digits.data() });
}

void Event::write(Level level) const
{
    auto root = log4cplus::Logger::getRoot();
    if (root.isEnabledFor(internal::toLogLevel(level)))
        root.forcedLog(internal::toLogLevel(level), LOG4CPLUS_STRING_TO_TSTRING(this->text));
}

} // namespace chivewinch::logging
