#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "bundle/operations.hpp"
#include "settings/definition.hpp"
#include "store/client.hpp"
#include "store_http/asio_scheduler.hpp"
#include "store_http/http_services.hpp"

#include <boost/asio/io_context.hpp>

#include <optional>
#include <utility>
#include <vector>

namespace chivewinch::ctl {

/** Settings with the addresses of the platform's table service and object store. */
[[nodiscard]] std::vector<settings::Setting> platformSettings();

/** Clients of the platform's table service and object store for one command. */
class Platform {
public:
    explicit Platform(const settings::Values& values);

    [[nodiscard]] store::TableService& tables() noexcept { return this->client.tables(); }
    [[nodiscard]] store::ObjectStore& objects() noexcept { return this->client.objects(); }
    [[nodiscard]] base::RandomSource& random() noexcept { return this->randomSource; }
    [[nodiscard]] boost::asio::io_context& executor() noexcept { return this->context; }

    /** Starts an asynchronous operation that calls back once, and waits for it. Returns the callback's arguments. */
    template <typename Value, typename Error, typename Start>
    [[nodiscard]] std::pair<std::optional<Value>, Error> wait(Start start)
    {
        std::optional<std::pair<std::optional<Value>, Error>> answer;
        start([&answer](std::optional<Value> value, const Error& error) { answer.emplace(std::move(value), error); });
        while (!answer && this->context.run_one() > 0) { }
        return answer ? std::move(*answer) : std::pair<std::optional<Value>, Error> {};
    }

private:
    boost::asio::io_context context { 1 };
    base::SystemClock clock;
    base::SeededRandom randomSource { base::entropySeed() };
    store_http::AsioScheduler scheduler { this->context.get_executor() };
    store_http::HttpTableService tableService;
    store_http::HttpObjectStore objectStore;
    store::Client client;
};

} // namespace chivewinch::ctl
