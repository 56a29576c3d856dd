#include "load/options.hpp"
#include "load/result.hpp"
#include "load/worker.hpp"
#include "settings/program.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <nlohmann/json.hpp>

#include <future>
#include <iostream>
#include <thread>

namespace chivewinch::load {

namespace {

http::Task<std::optional<http::Response>> fetch(http::Client& client, std::string path)
{
    http::Error reason;
    const http::SendOptions options;
    co_return co_await client.send(http::makeRequest("GET", path), options, reason);
}

std::optional<std::map<std::string, std::uint64_t>> readJournal(const settings::Endpoint& server)
{
    boost::asio::io_context context { 1 };
    http::ClientOptions options;
    options.server = server;
    http::Client client { context.get_executor(), options };
    auto answer = boost::asio::co_spawn(context, fetch(client, "/journal"), boost::asio::use_future);
    context.run();
    const auto response = answer.get();
    if (!response)
        return std::nullopt;
    const auto json = nlohmann::json::parse(response->body, nullptr, false);
    if (!json.is_object() || !json.contains("executions"))
        return std::nullopt;
    return json["executions"].get<std::map<std::string, std::uint64_t>>();
}

OrderCheck checkJournals(const LoadOptions& options, const Totals& totals)
{
    std::map<std::string, std::uint64_t> executions;
    bool readable = !options.journals.empty() || totals.orders.empty();
    for (const auto& journal : options.journals) {
        const auto found = readJournal(journal);
        readable = readable && found;
        if (!found)
            continue;
        for (const auto& [reference, runs] : *found)
            executions[reference] += runs;
    }
    auto check = checkOrders(totals.orders, executions);
    check.readable = readable;
    return check;
}

int run(const LoadOptions& options)
{
    const auto seed = options.seed != 0 ? options.seed : base::entropySeed() >> 1;
    std::vector<std::unique_ptr<Worker>> workers;
    for (std::size_t i = 0; i < options.workers; ++i)
        workers.push_back(std::make_unique<Worker>(options, i, seed));
    const auto start = std::chrono::steady_clock::now();
    {
        std::vector<std::jthread> threads;
        threads.reserve(workers.size());
        for (const auto& worker : workers)
            threads.emplace_back([&worker] { worker->run(); });
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    Totals totals;
    for (const auto& worker : workers)
        totals.merge(worker->totals());
    const auto orders = checkJournals(options, totals);
    if (options.jsonOutput)
        std::cout << toJson(totals, orders, elapsed.count(), seed) << "\n";
    else
        std::cout << toTable(totals, orders, elapsed.count(), seed);
    return isAcceptable(totals, orders) ? settings::exitSuccess : settings::exitFailure;
}

} // namespace

} // namespace chivewinch::load

int main(int argumentCount, char** arguments)
{
    auto definition = chivewinch::load::loadDefinition();
    auto parsed = chivewinch::settings::parseCommandLine(definition, argumentCount, arguments);
    if (const auto* code = std::get_if<int>(&parsed))
        return *code;
    return chivewinch::load::run(chivewinch::load::loadOptions(std::get<chivewinch::settings::Values>(parsed)));
}
