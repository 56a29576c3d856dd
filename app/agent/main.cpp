#include "agent/agent.hpp"
#include "logging/event.hpp"
#include "settings/program.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace chivewinch::agent {

namespace {

std::optional<usage::SigningKey> usageKey(const AgentOptions& options)
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

int run(const settings::Values& values)
{
    const auto options = agentOptions(values);
    logging::configure({ .level = logging::parseLevel(values.text("log-level")),
        .program = "chivewinch-agent",
        .instance = options.instance });
    auto key = usageKey(options);
    if (!key)
        return settings::exitWrongUse;
    boost::asio::io_context context { 1 };
    Agent agent { context, options, std::move(*key) };
    if (!agent.start()) {
        std::cerr << agent.lastReason() << "\n";
        return settings::exitFailed;
    }
    boost::asio::signal_set signals { context, SIGTERM, SIGINT };
    signals.async_wait([&agent](const boost::system::error_code& error, int) {
        if (!error)
            agent.drain();
    });
    context.run();
    return settings::exitDone;
}

} // namespace

} // namespace chivewinch::agent

int main(int argumentCount, char** arguments)
{
    auto definition = chivewinch::agent::agentDefinition();
    auto parsed = chivewinch::settings::parseProgram(definition, argumentCount, arguments);
    if (const auto* code = std::get_if<int>(&parsed))
        return *code;
    return chivewinch::agent::run(std::get<chivewinch::settings::Values>(parsed));
}
