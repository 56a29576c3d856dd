#pragma once

#include "watch/row_feed.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::relay {

/** Rows of a table that one process has read, with the version of each change, for processes that read them here. */
class TableCopy {
public:
    /** True if two values of a row say the same to all readers; rows that change all the time are passed on rarely. */
    using SameMeaning = std::function<bool(const std::string& left, const std::string& right)>;

    /** Removed rows that are remembered; a reader that is further behind gets the table whole. */
    static constexpr std::size_t maxRemoved = 1'000;

    explicit TableCopy(SameMeaning isSame = {})
        : isSame { std::move(isSame) }
    {
    }

    /** The whole table as of the version. */
    void replace(const std::vector<watch::RowChange>& rows, std::uint64_t version);
    void change(const std::vector<watch::RowChange>& rows, std::uint64_t version);

    /** False until the table was read whole. */
    [[nodiscard]] bool isKnown() const noexcept { return this->known; }
    /** Version of the newest change with a meaning. */
    [[nodiscard]] std::uint64_t changedAt() const noexcept { return this->newest; }
    /** Changes after the version; nullopt if it is too old. */
    [[nodiscard]] std::optional<std::vector<watch::RowChange>> since(std::uint64_t version) const;
    [[nodiscard]] std::vector<watch::RowChange> all() const;

private:
    struct Row {
        std::optional<std::string> value; ///< nullopt if the row was removed.
        std::uint64_t changedAt = 0;
    };

    SameMeaning isSame;
    std::map<std::string, Row> rows;
    std::size_t removed = 0;
    bool known = false;
    std::uint64_t newest = 0;
    std::uint64_t oldest = 0; ///< Changes before this version are not known one by one.

    void put(const watch::RowChange& row, std::uint64_t version);
    void forgetRemoved(std::uint64_t version);
};

} // namespace chivewinch::relay
