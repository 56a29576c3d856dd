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

/** Recomputes the split from stored objects and public keys only. For a single use. Not thread-safe. */
class Verifier {
public:
    Verifier(VerifierOptions options, KeyList keys);
    Verifier(const Verifier&) = delete;
    Verifier& operator=(const Verifier&) = delete;

    /** Adds a segment, marker or summary. The order of calls does not matter. */
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
    // Buffers that are reused for all objects.
    Envelope envelope;
    Segment segment;
    Report report;
    std::vector<NamedSummary> summaries;
    std::vector<bool> referenced; ///< Indexed by the joiner's process index.

    void addSegment(const std::string& name, std::string_view bytes);
    void addSummary(const std::string& name, std::string_view bytes);
    void addMarker(const std::string& name, std::string_view bytes);
    void addReferences(const Segment& segment, const std::string& name);
    void reportPossibleLosses();
    void compareSummaries();
};

} // namespace chivewinch::usage
