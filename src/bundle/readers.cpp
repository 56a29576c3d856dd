#include "bundle/readers.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::bundle {

std::vector<std::string> selectReaders(
    const base::ZoneId& zone, std::vector<std::string> liveEntries, std::size_t count)
{
    const auto seed = base::hash64(zone);
    const auto score = [&](const std::string& id) {
        return std::pair { base::hash64(id, seed), std::string_view { id } };
    };
    std::ranges::sort(liveEntries, std::greater {}, score);
    liveEntries.resize(std::min(count, liveEntries.size()));
    return liveEntries;
}

} // namespace chivewinch::bundle
