#include "bundle/key_setting.hpp"
#include "daemon/identity.hpp"
#include "entry/entry.hpp"
#include "logging/event.hpp"
#include "settings/program.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <thread>
#include <vector>

namespace chivewinch::entry {

namespace {

std::optional<bundle::TrustedKeys> readOwnerKeys(const std::string& text, std::string& reason)
{
    bundle::Error error { .code = bundle::ErrorCode::Invalid, .detail = "no key is given" };
    auto keys = bundle::parseTrustedKeys(text, error);
    if (keys && !keys->empty())
        return keys;
    reason = "setting owner-keys: " + error.detail;
    return std::nullopt;
}

void runWorkers(boost::asio::io_context& context, std::size_t count)
{
    std::vector<std::jthread> workers;
    for (std::size_t i = 1; i < count; ++i)
        workers.emplace_back([&context] { context.run(); });
    context.run();
}

int run(const settings::Values& values)
{
    const auto options = entryOptions(values);
    logging::configure({ .level = logging::parseLevel(values.text("log-level")),
        .program = "chivewinch-entry",
        .instance = options.instance });
    std::string reason;
    auto key = daemon::usageKey(options.usageKey, reason);
    const auto ownerKeys = readOwnerKeys(options.ownerKeys, reason);
    if (!key || !ownerKeys) {
        std::cerr << reason << "\n";
        return settings::exitUsageError;
    }
    boost::asio::io_context context { static_cast<int>(options.workers) };
    Entry entry { context, options, std::move(*key), *ownerKeys };
    if (!entry.start()) {
        std::cerr << entry.lastReason() << "\n";
        return settings::exitFailure;
    }
    boost::asio::signal_set signals { context, SIGTERM, SIGINT };
    signals.async_wait([&entry](const boost::system::error_code& error, int) {
        if (!error)
            entry.drain();
    });
    runWorkers(context, options.workers);
    return settings::exitSuccess;
}

} // namespace

} // namespace chivewinch::entry

int main(int argumentCount, char** arguments)
{
    auto definition = chivewinch::entry::entryDefinition();
    auto parsed = chivewinch::settings::parseCommandLine(definition, argumentCount, arguments);
    if (const auto* code = std::get_if<int>(&parsed))
        return *code;
    return chivewinch::entry::run(std::get<chivewinch::settings::Values>(parsed));
}
