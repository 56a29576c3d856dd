#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::load {

/** How one try of a request ended, as its caller sees it. */
enum class Verdict : std::uint8_t {
    Complete, ///< The complete answer to this very request.
    NotRun, ///< Refused, stated as not run.
    Unknown, ///< The outcome is stated as unknown.
    StreamError, ///< The stream ended with an explicit error.
    NotConnected, ///< No entry accepted the connection.
    Cut, ///< The connection ended in the middle of an answer.
    Stale, ///< A kept connection was closed before the answer began.
    Wrong, ///< Not the answer to this request.
    Count
};

[[nodiscard]] std::string_view toString(Verdict verdict) noexcept;

/** Milliseconds of one kind of measurement. */
class Latencies {
public:
    void add(double milliseconds) { this->values.push_back(milliseconds); }
    void merge(const Latencies& other)
    {
        this->values.insert(this->values.end(), other.values.begin(), other.values.end());
    }
    /** Value at the rank in [0, 1]; 0 without any values. */
    [[nodiscard]] double quantile(double rank) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->values.size(); }

private:
    std::vector<double> values;
};

/** Last state of an order, to be compared with the journal of its service. */
struct OrderState {
    bool done = false;
    bool onlyNotRun = true; ///< Every try was stated as not run.
};

/** Counts of one worker or of the whole run. */
struct Totals {
    std::uint64_t requests = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(Verdict::Count)> tries {};
    std::uint64_t completed = 0;
    std::uint64_t givenUp = 0;
    std::uint64_t tokens = 0;
    std::uint64_t repeatsAnswered = 0; ///< Duplicate orders that got the first answer.
    std::uint64_t repeatsDiffering = 0; ///< Duplicate orders with two different answers.
    std::map<std::string, std::uint64_t> refusals; ///< By reason.
    Latencies firstToken;
    Latencies betweenTokens;
    Latencies completeAnswer;
    std::map<std::string, OrderState> orders; ///< By reference.
    std::vector<std::string> faultSamples; ///< Descriptions of the first faults.

    void countTry(Verdict verdict) { ++this->tries[static_cast<std::size_t>(verdict)]; }
    [[nodiscard]] std::uint64_t count(Verdict verdict) const { return this->tries[static_cast<std::size_t>(verdict)]; }
    void addFaultSample(std::string text);
    void merge(const Totals& other);
};

/** Comparison of the orders with the journals of their services. */
struct OrderCheck {
    std::uint64_t executed = 0;
    std::uint64_t doubled = 0; ///< Ran more than once.
    std::uint64_t lost = 0; ///< Answered as done but never ran.
    std::uint64_t falseNotRun = 0; ///< Stated as not run in every try, but ran.
    std::uint64_t unknownButRan = 0; ///< Outcome unknown to the caller; ran.
    bool readable = true;
};

[[nodiscard]] OrderCheck checkOrders(
    const std::map<std::string, OrderState>& orders, const std::map<std::string, std::uint64_t>& executions);

/** True if no answer was wrong or cut and no order ran twice, was lost or was falsely stated as not run. */
[[nodiscard]] bool isAcceptable(const Totals& totals, const OrderCheck& orders);

[[nodiscard]] std::string toJson(const Totals& totals, const OrderCheck& orders, double seconds, std::uint64_t seed);
[[nodiscard]] std::string toTable(const Totals& totals, const OrderCheck& orders, double seconds, std::uint64_t seed);

} // namespace chivewinch::load
