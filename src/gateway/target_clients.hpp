#pragma once

#include "base/id.hpp"
#include "gateway/options.hpp"
#include "http/client.hpp"
#include "membership/listed_targets.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chivewinch::gateway {

/**
 * Idle connections to a target that one process may keep if the target accepts `limit` connections from all processes
 * together. All processes keep half of them at most, so that the rest is free for running requests.
 * @param most Limit of one process, whatever the target accepts.
 */
[[nodiscard]] std::size_t idleConnectionShare(std::uint32_t limit, std::size_t processes, std::size_t most) noexcept;

/**
 * HTTP clients for the targets, one per incarnation: connections of an earlier incarnation are not used for a restarted
 * target.
 */
class TargetClients {
public:
    TargetClients(boost::asio::any_io_executor executor, AttemptOptions options,
        std::shared_ptr<http::BufferBudget> buffers = nullptr)
        : executor { std::move(executor) }
        , options { options }
        , buffers { std::move(buffers) }
    {
    }

    [[nodiscard]] std::shared_ptr<http::Client> clientFor(const membership::ListedTarget& target);
    /** Removes the clients of targets that are leaving or no longer listed, which closes their idle connections. */
    void keepOnly(const std::vector<membership::ListedTarget>& listed);
    /** Divides the connections that the targets of each pool accept among this number of processes. */
    void setConnectionLimits(std::map<std::string, std::uint32_t> limitsByPool, std::size_t processCount);
    /** Keeps witnesses for the targets of this pool, because they do not state their start time. */
    void keepWitnesses(const std::string& pool);
    /** Closes all idle connections. */
    void closeIdleConnections() noexcept;

private:
    using Key = std::pair<base::TargetId, base::Incarnation>;

    boost::asio::any_io_executor executor;
    AttemptOptions options;
    std::shared_ptr<http::BufferBudget> buffers;
    struct PoolClient {
        std::string pool;
        std::shared_ptr<http::Client> client;
    };

    std::map<Key, PoolClient> clients;
    std::map<std::string, std::uint32_t> limits; ///< Connections that a target accepts, by pool.
    std::size_t processes = 1;
    std::set<std::string> poolsWithWitnesses;

    [[nodiscard]] std::size_t maxIdleFor(const std::string& pool) const;
};

} // namespace chivewinch::gateway
