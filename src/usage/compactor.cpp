#include "usage/compactor.hpp"

#include "usage/ledger.hpp"
#include "usage/summary.hpp"

#include <utility>

namespace chivewinch::usage {

namespace internal {

constexpr std::chrono::hours oneHour { 1 };

Digest linkOfObject(const std::string& bytes)
{
    Error reason;
    const auto envelope = unwrap(bytes, reason);
    return envelope ? linkOf(envelope->digest, envelope->signature) : Digest {};
}

} // namespace internal

std::vector<std::string> prefixesOfHour(WallMillis hour, const VerifierOptions& options)
{
    // The name of a segment contains the hour in which its covered period starts. A segment with records of this hour
    // may start up to maxBacklogAge before the hour. The records of an attempt issued in this hour may be counted up
    // to maxRequestLifetime after the hour, and stored up to maxBacklogAge later.
    const auto first = hourOf(hour - options.maxBacklogAge);
    const auto last = hourOf(hour + internal::oneHour + options.maxRequestLifetime);
    std::vector<std::string> prefixes;
    for (auto time = first; time <= last; time += internal::oneHour)
        prefixes.push_back("usage/segment/" + hourText(time) + '/');
    return prefixes;
}

Compactor::Compactor(
    VerifierOptions options, KeyList keys, SigningKey key, ProcessId writer, store::ObjectStore& objects)
    : options { options }
    , keys { std::move(keys) }
    , key { std::move(key) }
    , writer { std::move(writer) }
    , objects { objects }
    , collector { objects }
{
}

WallMillis Compactor::readyAt(WallMillis start) const noexcept
{
    return start + internal::oneHour + this->options.maxRequestLifetime + 2 * agentSegmentInterval;
}

void Compactor::run(WallMillis start, base::FencingNumber number, Callback done)
{
    this->hour = start;
    this->fencing = number;
    this->callback = std::move(done);
    auto window = this->options;
    window.window = Period { .from = start, .until = start + internal::oneHour };
    if (!window.horizon)
        window.horizon = start + internal::oneHour + this->options.maxRequestLifetime;
    this->verifier = std::make_unique<Verifier>(window, this->keys);
    this->collector.collect(
        prefixesOfHour(start, this->options),
        [this](const std::string& name, std::string_view bytes) { this->verifier->add(name, bytes); },
        [this](const Error& error) { this->onCollected(error); });
}

void Compactor::onCollected(const Error& error)
{
    if (error.code != ErrorCode::None) {
        std::exchange(this->callback, nullptr)(std::nullopt, error);
        return;
    }
    this->objects.get(summaryName(this->hour - internal::oneHour),
        [this, report = this->verifier->finish(), token = std::weak_ptr<int> { this->alive }](
            const auto& bytes, const store::Error& failure) {
            if (!token.expired())
                this->onPrevious(report, bytes, failure);
        });
}

void Compactor::onPrevious(
    Report report, const std::optional<std::optional<std::string>>& bytes, const store::Error& error)
{
    if (!bytes)
        this->fail(error);
    else
        this->put(std::move(report), *bytes ? internal::linkOfObject(**bytes) : Digest {});
}

void Compactor::put(Report report, const Digest& previous)
{
    const auto summary = summarise(report, this->hour, this->writer, this->fencing, previous);
    this->objects.putIfAbsent(summaryName(this->hour), sealSummary(summary, this->key),
        [this, report = std::move(report), token = std::weak_ptr<int> { this->alive }](
            auto result, const store::Error& error) {
            if (token.expired())
                return;
            if (!result)
                this->fail(error);
            else if (*result == store::PutResult::Created)
                std::exchange(this->callback, nullptr)(report, {});
            else
                this->compare(report);
        });
}

void Compactor::compare(Report report)
{
    this->objects.get(summaryName(this->hour),
        [this, report = std::move(report), token = std::weak_ptr<int> { this->alive }](
            const auto& bytes, const store::Error& error) mutable {
            if (token.expired())
                return;
            if (!bytes || !*bytes) {
                this->fail(error);
                return;
            }
            Error reason;
            const auto stored = readSummary(**bytes, this->keys, reason);
            if (!stored || stored->split != hourOfSplit(report.split, this->hour))
                report.findings.push_back({ .kind = FindingKind::SummaryMismatch,
                    .place = { .segment = summaryName(this->hour) },
                    .detail = stored ? "the totals differ from those of the segments" : reason.detail });
            std::exchange(this->callback, nullptr)(std::move(report), {});
        });
}

void Compactor::fail(const store::Error& error)
{
    const Error reason { .code = ErrorCode::StoreUnavailable,
        .detail = std::string { store::toString(error.code) } + ": " + error.detail };
    std::exchange(this->callback, nullptr)(std::nullopt, reason);
}

} // namespace chivewinch::usage
