#include "bundle/key_setting.hpp"
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

std::optional<usage::SigningKey> usageKey(const EntryOptions& options)
{
    if (options.usageKey.empty()) {
        auto fresh = usage::SigningKey::generate();
        const auto& bytes = fresh.publicKey();
        const std::string_view raw { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
        logging::Event { "usage_key_generated" }.field("public_key", usage::toHex(raw)).warning();
        return fresh;
    }
    usage::Error reason;
    auto key = usage::SigningKey::fromHex(options.usageKey, reason);
    if (!key)
        std::cerr << "setting usage-key: " << reason.detail << "\n";
    return key;
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
    auto key = usageKey(options);
    bundle::Error reason;
    const auto ownerKeys = bundle::parseTrustedKeys(options.ownerKeys, reason);
    if (!key || !ownerKeys || ownerKeys->empty()) {
        if (key)
            std::cerr << "setting owner-keys: " << (ownerKeys ? "no key is given" : reason.detail) << "\n";
        return settings::exitWrongUse;
    }
    boost::asio::io_context context { static_cast<int>(options.workers) };
    Entry entry { context, options, std::move(*key), *ownerKeys };
    if (!entry.start()) {
        std::cerr << entry.lastReason() << "\n";
        return settings::exitFailed;
    }
    boost::asio::signal_set signals { context, SIGTERM, SIGINT };
    signals.async_wait([&entry](const boost::system::error_code& error, int) {
        if (!error)
            entry.drain();
    });
    runWorkers(context, options.workers);
    return settings::exitDone;
}

} // namespace

} // namespace chivewinch::entry

int main(int argumentCount, char** arguments)
{
    auto definition = chivewinch::entry::entryDefinition();
    auto parsed = chivewinch::settings::parseProgram(definition, argumentCount, arguments);
    if (const auto* code = std::get_if<int>(&parsed))
        return *code;
    return chivewinch::entry::run(std::get<chivewinch::settings::Values>(parsed));
}
