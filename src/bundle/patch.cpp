#include "bundle/delta.hpp"
#include "bundle/record_codec.hpp"

namespace chivewinch::bundle {

namespace internal {

/** Applies the changes of one part to the records of its table. */
template <typename Record> class ListPatch {
public:
    ListPatch(const Schema<Record>& schema, Bundle& bundle, const std::string& part) noexcept
        : schema { schema }
        , records { bundle.*schema.records }
        , part { part }
    {
    }

    /** Applies the changes; returns the key of the first malformed record, if any. */
    std::optional<std::string> apply(const PartDelta& delta)
    {
        for (const auto& key : delta.removed)
            this->remove(key);
        for (const auto& [key, text] : delta.set) {
            auto record = decodeRecord(this->schema, text);
            if (!record || this->schema.key(*record) != key || partName(this->schema, key) != this->part)
                return key;
            this->set(key, std::move(*record));
        }
        return std::nullopt;
    }

private:
    const Schema<Record>& schema;
    std::vector<Record>& records;
    const std::string& part;

    auto find(const std::string& key) { return std::ranges::lower_bound(this->records, key, {}, this->schema.key); }
    [[nodiscard]] bool isAt(auto position, const std::string& key) const
    {
        return position != this->records.end() && this->schema.key(*position) == key;
    }

    void remove(const std::string& key)
    {
        if (const auto position = this->find(key); this->isAt(position, key))
            this->records.erase(position);
    }

    void set(const std::string& key, Record record)
    {
        const auto position = this->find(key);
        if (this->isAt(position, key))
            *position = std::move(record);
        else
            this->records.insert(position, std::move(record));
    }
};

bool patchCost(Bundle& bundle, const PartDelta& delta)
{
    const auto& costs = schema<CostAttribution>();
    const auto found = delta.set.find(costs.key(bundle.cost));
    if (!delta.removed.empty() || delta.set.size() != 1 || found == delta.set.end())
        return false;
    const auto record = decodeRecord(costs, found->second);
    if (record)
        bundle.cost = *record;
    return record.has_value();
}

} // namespace internal

bool patch(Bundle& bundle, const Delta& delta, Error& reason)
{
    for (const auto& item : delta.parts) {
        const auto& part = item.first;
        const auto& change = item.second;
        const auto table = part.substr(0, part.find('/'));
        bool known = false;
        std::optional<std::string> malformed;
        forEachList([&]<typename Record>(const Schema<Record>& list) {
            if (list.table != table)
                return;
            known = true;
            malformed = internal::ListPatch<Record> { list, bundle, part }.apply(change);
        });
        if (part == schema<CostAttribution>().table)
            known = internal::patchCost(bundle, change);
        if (!known || malformed) {
            reason = { .code = ErrorCode::Invalid,
                .detail = "malformed record in part " + part + ": " + malformed.value_or("") };
            return false;
        }
    }
    return true;
}

} // namespace chivewinch::bundle
