#pragma once

#include "base/id.hpp"
#include "gateway/options.hpp"
#include "http/client.hpp"
#include "membership/listed_targets.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace chivewinch::gateway {

/**
 * HTTP clients for the targets, one per incarnation: connections of an earlier incarnation are not used for a restarted
 * target.
 */
class TargetClients {
public:
    TargetClients(boost::asio::any_io_executor executor, AttemptOptions options)
        : executor { std::move(executor) }
        , options { options }
    {
    }

    [[nodiscard]] std::shared_ptr<http::Client> clientFor(const membership::ListedTarget& target);
    /** Removes the clients of targets that are leaving or no longer listed, which closes their idle connections. */
    void keepOnly(const std::vector<membership::ListedTarget>& listed);
    /** Closes all idle connections. */
    void closeIdleConnections() noexcept;

private:
    using Key = std::pair<base::TargetId, base::Incarnation>;

    boost::asio::any_io_executor executor;
    AttemptOptions options;
    std::map<Key, std::shared_ptr<http::Client>> clients;
};

} // namespace chivewinch::gateway
