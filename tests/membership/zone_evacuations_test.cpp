#include "membership/zone_evacuations.hpp"

#include <gtest/gtest.h>

namespace chivewinch::membership {
namespace {

using Changes = std::vector<ZoneChange>;

TEST(ZoneEvacuations, FollowsSingleChanges)
{
    ZoneEvacuations evacuations;
    evacuations.set("a", true);
    evacuations.set("b", true);
    evacuations.set("a", true);
    evacuations.set("a", false);
    evacuations.set("c", false);
    EXPECT_EQ(evacuations.zones(), (std::set<base::ZoneId> { "b" }));
    EXPECT_EQ(evacuations.takeChanges(), (Changes { { "a", true }, { "b", true }, { "a", false } }));
    EXPECT_TRUE(evacuations.takeChanges().empty());
}

// Guards against an evacuation that goes on after its end was missed, and against one that is missed itself, because
// the store has lost the history of its changes and the table is read as a whole.
TEST(ZoneEvacuations, ACompleteTableReplacesAll)
{
    ZoneEvacuations evacuations;
    evacuations.replace({ "a", "b" });
    (void)evacuations.takeChanges();
    evacuations.replace({ "b", "c" });
    EXPECT_EQ(evacuations.zones(), (std::set<base::ZoneId> { "b", "c" }));
    EXPECT_EQ(evacuations.takeChanges(), (Changes { { "a", false }, { "c", true } }));
    evacuations.replace({ "b", "c" });
    EXPECT_TRUE(evacuations.takeChanges().empty());
}

} // namespace
} // namespace chivewinch::membership
