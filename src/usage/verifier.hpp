#pragma once

#include "usage/chain_set.hpp"
#include "usage/finding.hpp"
#include "usage/join.hpp"
#include "usage/key.hpp"
#include "usage/totals.hpp"
#include "usage/verifier_options.hpp"

#include <cstdint>
#include <string>
#include <string_view>
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

/** Recomputes the split from stored objects and public keys alone. Use it once; not thread-safe. */
class Verifier {
public:
    Verifier(VerifierOptions options, KeyList keys);
    Verifier(const Verifier&) = delete;
    Verifier& operator=(const Verifier&) = delete;

    /** Takes a segment or marker, in any order. */
    void add(const std::string& name, std::string_view bytes);

    [[nodiscard]] Report finish();

private:
    VerifierOptions options;
    KeyList keys;
    internal::ChainSet chains;
    internal::Joiner joiner;
    SegmentDecoder decoder;
    Segment segment; ///< Reused for every object.
    Report report;

    void addMarker(const std::string& name, std::string_view bytes);
    void addMentions(const Segment& segment, const std::string& name);
    void reportPossibleLosses();
};

} // namespace chivewinch::usage
