#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::load {

/** Result of one try of a request, as observed by the caller. */
enum class Verdict : std::uint8_t {
    Complete, ///< The caller received the complete and correct answer to this request.
    NotRun, ///< The request was refused, and the response states that it was not run.
    Unknown, ///< The response states that the outcome is unknown.
    StreamError, ///< The stream ended with an explicit error event.
    NotConnected, ///< No entry accepted the connection.
    Cut, ///< The connection closed before the answer was complete.
    Stale, ///< A reused connection was closed before the response began.
    Wrong, ///< The response is malformed or does not match this request.
    Count
};

[[nodiscard]] std::string_view toString(Verdict verdict) noexcept;

/** Samples of one latency metric, in milliseconds. */
class Latencies {
public:
    void add(double milliseconds) { this->values.push_back(milliseconds); }
    void merge(const Latencies& other)
    {
        this->values.insert(this->values.end(), other.values.begin(), other.values.end());
    }
    /** Returns the quantile for a rank in [0, 1], or 0 if there are no samples. */
    [[nodiscard]] double quantile(double rank) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->values.size(); }

private:
    std::vector<double> values;
};

/** Final state of an order at the caller, for comparison with the journal of the order service. */
struct OrderState {
    bool done = false;
    bool onlyNotRun = true; ///< Every try was either refused as not run or not connected.
};

/** Counters and latencies of one worker or of the whole run. */
struct Totals {
    std::uint64_t requests = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(Verdict::Count)> tries {};
    std::uint64_t completed = 0;
    std::uint64_t givenUp = 0;
    std::uint64_t tokens = 0;
    std::uint64_t repeatsAnswered = 0; ///< Duplicated orders for which both requests got the same answer.
    std::uint64_t repeatsDiffering = 0; ///< Duplicated orders for which the two requests got different answers.
    std::map<std::string, std::uint64_t> refusals; ///< Number of refused tries, keyed by reason.
    Latencies firstToken;
    Latencies betweenTokens;
    Latencies completeAnswer;
    std::map<std::string, OrderState> orders; ///< Keyed by order reference.
    std::vector<std::string> faultSamples; ///< Descriptions of the first few faults.

    void countTry(Verdict verdict) { ++this->tries[static_cast<std::size_t>(verdict)]; }
    [[nodiscard]] std::uint64_t count(Verdict verdict) const { return this->tries[static_cast<std::size_t>(verdict)]; }
    void addFaultSample(std::string text);
    void merge(const Totals& other);
};

/** Result of comparing the orders with the journals of the order services. */
struct OrderCheck {
    std::uint64_t executed = 0;
    std::uint64_t doubled = 0; ///< Orders that ran more than once.
    std::uint64_t lost = 0; ///< Orders that were answered as done but never ran.
    std::uint64_t falseNotRun = 0; ///< Orders that ran although every try ended as not run.
    std::uint64_t unknownButRan = 0; ///< Orders that ran while the outcome was unknown to the caller.
    bool readable = true; ///< False if a journal was unreadable, or if orders were sent but no journals are set.
};

[[nodiscard]] OrderCheck checkOrders(
    const std::map<std::string, OrderState>& orders, const std::map<std::string, std::uint64_t>& executions);

/**
 * Returns true if the run sent requests, the journals were readable, no answer was wrong or cut, no duplicated order
 * got different answers, and no order ran twice, was lost or was falsely reported as not run.
 */
[[nodiscard]] bool isAcceptable(const Totals& totals, const OrderCheck& orders);

[[nodiscard]] std::string toJson(const Totals& totals, const OrderCheck& orders, double seconds, std::uint64_t seed);
[[nodiscard]] std::string toTable(const Totals& totals, const OrderCheck& orders, double seconds, std::uint64_t seed);

} // namespace chivewinch::load
