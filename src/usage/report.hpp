#pragma once

#include "usage/chain_head.hpp"
#include "usage/finding.hpp"
#include "usage/totals.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chivewinch::usage {

/** Result of a verification: the split, and the findings that explain where it is uncertain. */
struct Report {
    Split split;
    std::vector<Finding> findings;
    std::vector<ChainHead> heads;
    std::uint64_t segments = 0;
    std::uint64_t records = 0;
    std::uint64_t bytes = 0;

    bool operator==(const Report&) const = default;

    /** Whether no finding is a defect; see isDefect(). */
    [[nodiscard]] bool clean() const noexcept;
    /** Totals per owner over all teams, models and hours. */
    [[nodiscard]] std::map<std::string, Totals> perOwner() const;
};

/** Parts of the key by which the lines of a split are grouped. */
struct Grouping {
    bool owner = true;
    bool team = false;
    bool model = false;
    bool hour = false;

    bool operator==(const Grouping&) const = default;
};

/** Sums the lines of each group. Key parts outside the grouping are empty; the hour is 0 if it is not grouped by. */
[[nodiscard]] Split grouped(const Split& split, const Grouping& grouping);

/** Aligned columns, then one line per finding. Columns with only zeros are omitted. */
[[nodiscard]] std::string renderTable(const Report& report, const Grouping& grouping);

/** JSON object with "totals", "findings", "clean", and the numbers of segments, records and bytes that were read. */
[[nodiscard]] std::string renderJson(const Report& report, const Grouping& grouping);

/** CSV as in RFC 4180: a header line and one line per group. Findings are not included. */
[[nodiscard]] std::string renderCsv(const Report& report, const Grouping& grouping);

} // namespace chivewinch::usage
