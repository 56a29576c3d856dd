#pragma once

#include "base/random.hpp"
#include "http/client.hpp"
#include "load/options.hpp"
#include "load/result.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::load {

/** Sends one share of the load from a single thread and checks the answers. */
class Worker {
public:
    Worker(const LoadOptions& options, std::size_t number, std::uint64_t seed);
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    /** Sends requests for the configured duration and returns when all of them have ended. */
    void run();
    [[nodiscard]] const Totals& totals() const noexcept { return this->result; }

private:
    struct ModelRequest {
        std::string prompt;
        std::uint64_t tokens = 0;
        bool stream = false;
        std::string body;
    };

    struct Order {
        std::string reference;
        std::string key;
        std::string body;
    };

    /** Result of one try of a request. */
    struct Try {
        Verdict verdict = Verdict::NotConnected;
        std::string body;
        std::string reason;
        std::uint64_t tokens = 0;
        unsigned status = 0;
        std::chrono::milliseconds retryAfter {};
        bool replayed = false;
    };

    const LoadOptions& options;
    std::size_t number;
    base::SeededRandom random;
    boost::asio::io_context context { 1 };
    std::vector<std::unique_ptr<http::Client>> clients;
    std::vector<double> prefixWeights;
    std::uint64_t requestCount = 0;
    Totals result;

    [[nodiscard]] http::Task<void> generate();
    [[nodiscard]] http::Task<void> runModelRequest(ModelRequest request);
    [[nodiscard]] http::Task<void> runOrder(Order order);
    [[nodiscard]] http::Task<void> runDuplicate(Order order);
    [[nodiscard]] http::Task<Try> tryModel(const ModelRequest& request, std::size_t entry);
    [[nodiscard]] http::Task<Try> tryOrder(const Order& order, std::size_t entry);
    [[nodiscard]] http::Task<Try> tryUntilAnswered(const Order& order, std::size_t firstEntry);
    [[nodiscard]] http::Task<std::unique_ptr<http::ResponseStream>> open(
        http::Request request, std::size_t entry, Try& outcome);
    [[nodiscard]] http::Task<void> readStream(const ModelRequest& request, http::ResponseStream& stream, Try& outcome);
    [[nodiscard]] http::Task<void> readBody(http::ResponseStream& stream, Try& outcome);
    [[nodiscard]] http::Task<void> pause(std::chrono::nanoseconds duration);
    void checkAnswer(const ModelRequest& request, Try& outcome);
    void readRefusal(http::ResponseStream& stream, Try& outcome);
    void recordTry(const Try& outcome);

    [[nodiscard]] ModelRequest makeModelRequest();
    [[nodiscard]] Order makeOrder();
    [[nodiscard]] std::size_t pickPrefix();
    [[nodiscard]] std::size_t pickEntry() { return this->random.below(this->clients.size()); }
};

} // namespace chivewinch::load
