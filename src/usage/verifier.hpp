#pragma once

#include "usage/chain_set.hpp"
#include "usage/finding.hpp"
#include "usage/join.hpp"
#include "usage/key.hpp"
#include "usage/report.hpp"
#include "usage/summary.hpp"
#include "usage/totals.hpp"
#include "usage/verifier_options.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::usage {

/** Recomputes the split from stored objects and public keys alone. Use it once; not thread-safe. */
class Verifier {
public:
    Verifier(VerifierOptions options, KeyList keys);
    Verifier(const Verifier&) = delete;
    Verifier& operator=(const Verifier&) = delete;

    /** Takes a segment, marker or summary, in any order. */
    void add(const std::string& name, std::string_view bytes);

    [[nodiscard]] Report finish();

private:
    struct NamedSummary {
        std::string name;
        Summary summary;
    };

    VerifierOptions options;
    KeyList keys;
    internal::ChainSet chains;
    internal::Joiner joiner;
    SegmentDecoder decoder;
    // Reused for every object.
    Envelope envelope;
    Segment segment;
    Report report;
    std::vector<NamedSummary> summaries;
    std::vector<bool> mentioned; ///< By the joiner's index of the process.

    void addSegment(const std::string& name, std::string_view bytes);
    void addSummary(const std::string& name, std::string_view bytes);
    void addMarker(const std::string& name, std::string_view bytes);
    void addMentions(const Segment& segment, const std::string& name);
    void reportPossibleLosses();
    void compareSummaries();
};

} // namespace chivewinch::usage
