#include "metrics/registry.hpp"

#include <gtest/gtest.h>

namespace chivewinch::metrics {

// Guards against a refused request that is answered but not counted under its refusal reason.
TEST(RegistryTest, CountsEachRefusalReason)
{
    Registry registry;
    registry.refused(base::RefusalReason::Overload);
    registry.retried(base::RetryReason::StreamBroken);
    const auto text = registry.text();
    EXPECT_NE(text.find("chivewinch_refusals_total{reason=\"overload\"} 1"), std::string::npos);
    EXPECT_NE(text.find("chivewinch_refusals_total{reason=\"no_target\"} 0"), std::string::npos);
    EXPECT_NE(text.find("chivewinch_retries_total{reason=\"stream_broken\"} 1"), std::string::npos);
}

} // namespace chivewinch::metrics
