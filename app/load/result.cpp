#include "load/result.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace chivewinch::load {

namespace internal {

constexpr std::size_t maxFaultSamples = 10;

constexpr std::array<std::string_view, static_cast<std::size_t>(Verdict::Count)> verdictNames {
    "whole",
    "not_run",
    "unknown",
    "stream_error",
    "not_connected",
    "cut",
    "stale_connection",
    "wrong",
};

nlohmann::ordered_json quantiles(const Latencies& latencies)
{
    return { { "count", latencies.size() }, { "p50", latencies.quantile(0.5) }, { "p95", latencies.quantile(0.95) },
        { "p99", latencies.quantile(0.99) }, { "max", latencies.quantile(1) } };
}

void writeRow(std::ostream& out, std::string_view name, double value)
{
    out << "  " << std::left << std::setw(26) << name << std::right << std::setw(14) << value << "\n";
}

void writeLatencyRow(std::ostream& out, std::string_view name, const Latencies& latencies)
{
    out << "  " << std::left << std::setw(26) << name << std::right << std::fixed << std::setprecision(2) << " p50 "
        << latencies.quantile(0.5) << "  p95 " << latencies.quantile(0.95) << "  p99 " << latencies.quantile(0.99)
        << "  max " << latencies.quantile(1) << "\n"
        << std::defaultfloat << std::setprecision(9);
}

} // namespace internal

std::string_view toString(Verdict verdict) noexcept
{
    return internal::verdictNames[static_cast<std::size_t>(verdict)];
}

double Latencies::quantile(double rank) const
{
    if (this->values.empty())
        return 0;
    auto sorted = this->values;
    const auto index = static_cast<std::size_t>(rank * static_cast<double>(sorted.size() - 1));
    std::ranges::nth_element(sorted, sorted.begin() + static_cast<std::ptrdiff_t>(index));
    return sorted[index];
}

void Totals::addFaultSample(std::string text)
{
    if (this->faultSamples.size() < internal::maxFaultSamples)
        this->faultSamples.push_back(std::move(text));
}

void Totals::merge(const Totals& other)
{
    this->requests += other.requests;
    for (std::size_t i = 0; i < this->tries.size(); ++i)
        this->tries[i] += other.tries[i];
    this->completed += other.completed;
    this->givenUp += other.givenUp;
    this->tokens += other.tokens;
    this->repeatsAnswered += other.repeatsAnswered;
    this->repeatsDiffering += other.repeatsDiffering;
    for (const auto& [reason, count] : other.refusals)
        this->refusals[reason] += count;
    this->firstToken.merge(other.firstToken);
    this->betweenTokens.merge(other.betweenTokens);
    this->completeAnswer.merge(other.completeAnswer);
    this->orders.insert(other.orders.begin(), other.orders.end());
    for (const auto& text : other.faultSamples)
        this->addFaultSample(text);
}

OrderCheck checkOrders(
    const std::map<std::string, OrderState>& orders, const std::map<std::string, std::uint64_t>& executions)
{
    OrderCheck check;
    for (const auto& [reference, state] : orders) {
        const auto found = executions.find(reference);
        const auto runs = found == executions.end() ? 0 : found->second;
        check.executed += runs > 0 ? 1 : 0;
        check.doubled += runs > 1 ? 1 : 0;
        check.lost += state.done && runs == 0 ? 1 : 0;
        check.falseNotRun += !state.done && state.onlyNotRun && runs > 0 ? 1 : 0;
        check.unknownButRan += !state.done && !state.onlyNotRun && runs > 0 ? 1 : 0;
    }
    return check;
}

bool isAcceptable(const Totals& totals, const OrderCheck& orders)
{
    return totals.requests > 0 && totals.count(Verdict::Wrong) == 0 && totals.count(Verdict::Cut) == 0
        && totals.repeatsDiffering == 0 && orders.readable && orders.doubled == 0 && orders.lost == 0
        && orders.falseNotRun == 0;
}

std::string toJson(const Totals& totals, const OrderCheck& orders, double seconds, std::uint64_t seed)
{
    nlohmann::ordered_json tries;
    for (std::size_t i = 0; i < totals.tries.size(); ++i)
        tries[std::string { internal::verdictNames[i] }] = totals.tries[i];
    const nlohmann::ordered_json result { { "seed", seed }, { "seconds", seconds }, { "requests", totals.requests },
        { "completed", totals.completed }, { "given_up", totals.givenUp }, { "tokens", totals.tokens },
        { "tries", tries }, { "refusals", totals.refusals },
        { "first_token_ms", internal::quantiles(totals.firstToken) },
        { "between_tokens_ms", internal::quantiles(totals.betweenTokens) },
        { "whole_ms", internal::quantiles(totals.completeAnswer) }, { "orders", totals.orders.size() },
        { "orders_executed", orders.executed }, { "orders_doubled", orders.doubled }, { "orders_lost", orders.lost },
        { "orders_false_not_run", orders.falseNotRun }, { "orders_unknown_but_ran", orders.unknownButRan },
        { "repeats_answered", totals.repeatsAnswered }, { "repeats_differing", totals.repeatsDiffering },
        { "journals_readable", orders.readable }, { "samples", totals.faultSamples },
        { "acceptable", isAcceptable(totals, orders) } };
    return result.dump();
}

std::string toTable(const Totals& totals, const OrderCheck& orders, double seconds, std::uint64_t seed)
{
    std::ostringstream out;
    out << std::setprecision(9);
    out << "load run, seed " << seed << ", " << seconds << " s\n";
    internal::writeRow(out, "requests", static_cast<double>(totals.requests));
    internal::writeRow(out, "completed", static_cast<double>(totals.completed));
    internal::writeRow(out, "given up", static_cast<double>(totals.givenUp));
    internal::writeRow(out, "tokens", static_cast<double>(totals.tokens));
    for (std::size_t i = 0; i < totals.tries.size(); ++i)
        internal::writeRow(
            out, "tries " + std::string { internal::verdictNames[i] }, static_cast<double>(totals.tries[i]));
    for (const auto& [reason, count] : totals.refusals)
        internal::writeRow(out, "refused " + reason, static_cast<double>(count));
    internal::writeLatencyRow(out, "first token, ms", totals.firstToken);
    internal::writeLatencyRow(out, "between tokens, ms", totals.betweenTokens);
    internal::writeLatencyRow(out, "whole answer, ms", totals.completeAnswer);
    internal::writeRow(out, "orders", static_cast<double>(totals.orders.size()));
    internal::writeRow(out, "orders executed", static_cast<double>(orders.executed));
    internal::writeRow(out, "orders doubled", static_cast<double>(orders.doubled));
    internal::writeRow(out, "orders lost", static_cast<double>(orders.lost));
    internal::writeRow(out, "orders falsely not run", static_cast<double>(orders.falseNotRun));
    internal::writeRow(out, "repeats answered", static_cast<double>(totals.repeatsAnswered));
    internal::writeRow(out, "repeats differing", static_cast<double>(totals.repeatsDiffering));
    for (const auto& text : totals.faultSamples)
        out << "  fault: " << text << "\n";
    out << (isAcceptable(totals, orders) ? "  every answer was complete and matched its request\n"
                                         : "  NOT ACCEPTABLE\n");
    return out.str();
}

} // namespace chivewinch::load
