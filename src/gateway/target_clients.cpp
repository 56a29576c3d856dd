#include "gateway/target_clients.hpp"

#include <algorithm>

namespace chivewinch::gateway {

std::size_t idleConnectionShare(std::uint32_t limit, std::size_t processes, std::size_t most) noexcept
{
    return std::min(most, limit / 2 / std::max<std::size_t>(processes, 1));
}

std::size_t TargetClients::maxIdleFor(const std::string& pool) const
{
    const auto most = this->options.maxIdleConnections;
    const auto limit = this->limits.find(pool);
    return limit == this->limits.end() ? most : idleConnectionShare(limit->second, this->processes, most);
}

std::shared_ptr<http::Client> TargetClients::clientFor(const membership::ListedTarget& target)
{
    auto& [pool, client] = this->clients[{ target.id, target.incarnation }];
    if (!client || client->clientOptions().server != target.endpoint || pool != target.pool) {
        pool = target.pool;
        client = std::make_shared<http::Client>(this->executor,
            http::ClientOptions { .server = target.endpoint,
                .connectTimeout = this->options.connectTimeout,
                .maxIdleConnections = this->maxIdleFor(target.pool),
                .unacknowledgedTimeout = this->options.unacknowledgedTimeout,
                .buffers = this->buffers });
        if (this->options.keepWitnesses || this->poolsWithWitnesses.contains(pool))
            client->keepWitness();
    }
    return client;
}

void TargetClients::setConnectionLimits(std::map<std::string, std::uint32_t> limitsByPool, std::size_t processCount)
{
    this->limits = std::move(limitsByPool);
    this->processes = processCount;
    for (auto& [key, poolClient] : this->clients)
        poolClient.client->setMaxIdleConnections(this->maxIdleFor(poolClient.pool));
}

void TargetClients::keepWitnesses(const std::string& pool)
{
    if (!this->poolsWithWitnesses.insert(pool).second)
        return;
    for (auto& [key, poolClient] : this->clients) {
        if (poolClient.pool == pool)
            poolClient.client->keepWitness();
    }
}

void TargetClients::keepOnly(const std::vector<membership::ListedTarget>& listed)
{
    std::erase_if(this->clients, [&listed](const auto& item) {
        return std::ranges::none_of(listed, [&item](const auto& target) {
            return target.id == item.first.first && target.incarnation == item.first.second && !target.leaving;
        });
    });
}

void TargetClients::closeIdleConnections() noexcept
{
    for (auto& [key, poolClient] : this->clients)
        poolClient.client->closeIdleConnections();
}

} // namespace chivewinch::gateway
