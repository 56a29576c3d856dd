#pragma once

#include "usage/chain_head.hpp"
#include "usage/finding.hpp"
#include "usage/totals.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chivewinch::usage {

/** What the segments give: the split and everything that calls it into question. */
struct Report {
    Split split;
    std::vector<Finding> findings;
    std::vector<ChainHead> heads;
    std::uint64_t segments = 0;
    std::uint64_t records = 0;
    std::uint64_t bytes = 0;

    bool operator==(const Report&) const = default;

    /** Whether no finding calls the totals into question. */
    [[nodiscard]] bool clean() const noexcept;
    /** Totals per owner over all teams, models and hours. */
    [[nodiscard]] std::map<std::string, Totals> perOwner() const;
};

/** Which parts of the key are kept apart when lines of a split are added up. */
struct Grouping {
    bool owner = true;
    bool team = false;
    bool model = false;
    bool hour = false;

    bool operator==(const Grouping&) const = default;
};

/** Adds up lines; parts of the key that are not kept are empty, and the hour is 0. */
[[nodiscard]] Split grouped(const Split& split, const Grouping& grouping);

/** Aligned columns, then one line per finding. Columns that are zero in all lines are left out. */
[[nodiscard]] std::string renderTable(const Report& report, const Grouping& grouping);

/** One object with "totals", "findings", "clean" and the counts of what was read. */
[[nodiscard]] std::string renderJson(const Report& report, const Grouping& grouping);

/** Header line and one line per group, quoted as in RFC 4180. Findings are not part of it. */
[[nodiscard]] std::string renderCsv(const Report& report, const Grouping& grouping);

} // namespace chivewinch::usage
