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

/** Connections to the targets, apart for each incarnation: a restarted target has none of the earlier ones. */
class TargetClients {
public:
    TargetClients(boost::asio::any_io_executor executor, AttemptOptions options)
        : executor { std::move(executor) }
        , options { options }
    {
    }

    [[nodiscard]] std::shared_ptr<http::Client> of(const membership::ListedTarget& target);
    /** Closes idle connections of targets that are no longer listed. */
    void keepOnly(const std::vector<membership::ListedTarget>& listed);
    /** Closes all idle connections. */
    void dropIdle() noexcept;

private:
    using Key = std::pair<base::TargetId, base::Incarnation>;

    boost::asio::any_io_executor executor;
    AttemptOptions options;
    std::map<Key, std::shared_ptr<http::Client>> clients;
};

} // namespace chivewinch::gateway
