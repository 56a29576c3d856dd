#pragma once

#include "base/hash.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace chivewinch::standin {

/** Cache of the prompt prefixes that an engine has processed, with least-recently-used eviction. */
class PrefixCache {
public:
    explicit PrefixCache(std::size_t capacity)
        : capacity { capacity }
    {
    }

    /** Returns the length in bytes of the cached prefix of the prompt, or 0 on a miss, which inserts the prefix. */
    [[nodiscard]] std::size_t lookup(std::string_view prompt)
    {
        const auto prefix = prompt.substr(0, std::min(prompt.size(), prefixBytes));
        const auto hash = base::hash64(prefix);
        const auto found = this->index.find(hash);
        if (found != this->index.end()) {
            this->recentHashes.splice(this->recentHashes.begin(), this->recentHashes, found->second);
            return prefix.size();
        }
        this->recentHashes.push_front(hash);
        this->index.emplace(hash, this->recentHashes.begin());
        if (this->recentHashes.size() > this->capacity) {
            this->index.erase(this->recentHashes.back());
            this->recentHashes.pop_back();
        }
        return 0;
    }

    void clear()
    {
        this->recentHashes.clear();
        this->index.clear();
    }

private:
    static constexpr std::size_t prefixBytes = 256;

    std::size_t capacity;
    std::list<std::uint64_t> recentHashes;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index;
};

} // namespace chivewinch::standin
