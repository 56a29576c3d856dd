#include "base/random.hpp"
#include "routing/subset.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace chivewinch::routing {

namespace {

std::vector<std::uint64_t> randomHashes(base::RandomSource& random, std::size_t count)
{
    std::vector<std::uint64_t> hashes(count);
    for (auto& hash : hashes)
        hash = random.next();
    std::ranges::sort(hashes);
    return hashes;
}

} // namespace

// Guards against targets that are in the subsets of many entries while others are in few, and against subsets that are
// too small or have duplicates.
TEST(SubsetTest, EvenSubsetsBoundTheEntriesPerTarget)
{
    constexpr int count = 300;
    constexpr double slack = 1.1;
    constexpr std::size_t size = 16;
    std::cout << "seeds 1 to " << count << std::endl;
    int plainAboveBound = 0;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        SCOPED_TRACE(seed);
        base::SeededRandom random { seed };
        const auto entries = randomHashes(random, 1 + random.below(60));
        const auto targets = randomHashes(random, 1 + random.below(100));
        const auto smaller = std::min(size, targets.size());
        const auto mean = static_cast<double>(entries.size() * smaller) / static_cast<double>(targets.size());
        std::vector<std::size_t> uses(targets.size());
        std::vector<std::size_t> plainUses(targets.size());
        for (const auto entry : entries) {
            const auto subset = chooseEvenSubset(entry, entries, targets, size, slack);
            ASSERT_EQ(std::set(subset.begin(), subset.end()).size(), smaller);
            for (const auto index : subset)
                ++uses[index];
            for (const auto index : chooseSubset(entry, targets, size))
                ++plainUses[index];
        }
        // If too few targets are below the bound, an entry also uses targets at the bound; each of these gets at most
        // one more assignment.
        EXPECT_LE(static_cast<double>(std::ranges::max(uses)), std::ceil(slack * mean) + 1);
        plainAboveBound += static_cast<double>(std::ranges::max(plainUses)) > std::ceil(slack * mean) + 1 ? 1 : 0;
    }
    EXPECT_GT(plainAboveBound, count / 4);
}

// Guards against the loss of one target changing more than one member of a subset.
TEST(SubsetTest, LossOfOneTargetMovesOneAssignmentOfPlainSubset)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        SCOPED_TRACE(seed);
        base::SeededRandom random { seed };
        auto targets = randomHashes(random, 20 + random.below(100));
        const auto hashesOf = [&](const std::vector<std::size_t>& indices) {
            std::set<std::uint64_t> hashes;
            for (const auto index : indices)
                hashes.insert(targets[index]);
            return hashes;
        };
        const auto before = hashesOf(chooseSubset(seed, targets, 16));
        const auto lost = targets.begin() + static_cast<std::ptrdiff_t>(random.below(targets.size()));
        const bool isMember = before.contains(*lost);
        targets.erase(lost);
        std::size_t kept = 0;
        for (const auto hash : hashesOf(chooseSubset(seed, targets, 16)))
            kept += before.contains(hash) ? 1 : 0;
        EXPECT_EQ(kept, isMember ? 15U : 16U);
    }
}

} // namespace chivewinch::routing
