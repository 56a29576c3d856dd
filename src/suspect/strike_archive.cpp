#include "suspect/strike_archive.hpp"

#include <algorithm>

namespace chivewinch::suspect {

StrikeArchive::StrikeArchive(const base::Clock& clock, const StrikeTable& requests, SharedStrikes& requestSharing,
    SuspectFeatures& features, StrikeArchiveOptions options)
    : clock { clock }
    , requests { requests }
    , requestSharing { requestSharing }
    , features { features }
    , options { options }
{
}

std::pair<std::uint64_t, std::uint64_t> StrikeArchive::versions() const
{
    return { this->requests.version(), this->features.strikes().version() };
}

const StrikeTable& StrikeArchive::tableOf(StrikeKind kind) const
{
    return kind == StrikeKind::Request ? this->requests : this->features.strikes();
}

bool StrikeArchive::isResponsible(StrikeKind kind, std::uint64_t fingerprint) const
{
    const auto& sharing = kind == StrikeKind::Request ? this->requestSharing : this->features.sharing();
    return sharing.isKeeper(fingerprint);
}

bool StrikeArchive::isResponsibleForRows() const
{
    return std::ranges::any_of(this->stored,
        [this](const auto& item) { return this->isResponsible(item.second.kind, item.second.strike.fingerprint); });
}

void StrikeArchive::load(const Rows& rows)
{
    const auto now = this->clock.now();
    const auto wallNow = this->clock.wallNow();
    this->stored.clear();
    StrikeList requestStrikes;
    StrikeList featureStrikes;
    for (const auto& [key, value] : rows) {
        const auto record = decodeStrikeRecord(value);
        if (!record || recordKey(record->kind, record->strike) != key)
            continue;
        // The clocks of the writer and of this process may differ.
        const auto age = std::max(
            std::chrono::floor<std::chrono::milliseconds>(wallNow - record->at), std::chrono::milliseconds { 0 });
        this->stored.insert_or_assign(key,
            Stored { .kind = record->kind, .strike = record->strike, .at = now - age, .cleared = record->cleared });
        if (age >= this->options.expiry)
            continue;
        auto& strikes = record->kind == StrikeKind::Request ? requestStrikes : featureStrikes;
        strikes.push_back({ .strike = record->strike, .age = age, .cleared = record->cleared, .trial = record->trial });
    }
    this->requestSharing.restore(requestStrikes);
    this->features.sharing().restore(featureStrikes);
    this->nextReload = now + this->options.reloadPause;
    this->checkedVersions.reset();
}

StrikeArchive::Write StrikeArchive::writeOf(StrikeKind kind, const StrikeReport& report) const
{
    const StrikeRecord record { .kind = kind,
        .strike = report.strike,
        .at = this->clock.wallNow() - report.age,
        .cleared = report.cleared,
        .trial = report.trial };
    return { .key = recordKey(kind, report.strike), .value = encode(record) };
}

void StrikeArchive::addMissing(StrikeKind kind, const StrikeList& reports, std::vector<Write>& writes) const
{
    for (const auto& report : reports) {
        if (!this->isResponsible(kind, report.strike.fingerprint))
            continue;
        auto write = this->writeOf(kind, report);
        if (!this->stored.contains(write.key))
            writes.push_back(std::move(write));
    }
}

std::vector<StrikeArchive::Write> StrikeArchive::writes()
{
    this->checkedVersions = this->versions();
    const auto now = this->clock.now();
    this->nextCheck = now + this->options.checkPause;
    std::vector<Write> writes;
    this->addMissing(StrikeKind::Request, this->requestSharing.sharedStrikes(), writes);
    this->addMissing(StrikeKind::Feature, this->features.blockedStrikes(), writes);
    for (const auto& [key, row] : this->stored) {
        if (!this->isResponsible(row.kind, row.strike.fingerprint))
            continue;
        const auto known = this->tableOf(row.kind).find(row.strike);
        // Expired strikes are remembered for as long again.
        if (now - row.at >= 2 * this->options.expiry)
            writes.push_back({ .key = key });
        else if (known && known->cleared && !row.cleared)
            writes.push_back(this->writeOf(row.kind, *known));
    }
    return writes;
}

void StrikeArchive::recordWrite(const Write& write)
{
    if (!write.value) {
        this->stored.erase(write.key);
        return;
    }
    if (const auto record = decodeStrikeRecord(*write.value)) {
        const auto age = this->clock.wallNow() - record->at;
        this->stored.insert_or_assign(write.key,
            Stored { .kind = record->kind,
                .strike = record->strike,
                .at = this->clock.now() - std::chrono::duration_cast<base::SteadyTime::duration>(age),
                .cleared = record->cleared });
    }
}

bool StrikeArchive::hasChanges() const
{
    if (this->checkedVersions != this->versions())
        return true;
    const bool isEmpty = this->requests.size() == 0 && this->features.strikes().size() == 0 && this->stored.empty();
    return !isEmpty && this->clock.now() >= this->nextCheck;
}

bool StrikeArchive::needsReload() const
{
    return this->clock.now() >= this->nextReload && this->isResponsibleForRows();
}

} // namespace chivewinch::suspect
