#include "gateway/target_clients.hpp"

#include <algorithm>

namespace chivewinch::gateway {

std::shared_ptr<http::Client> TargetClients::clientFor(const membership::ListedTarget& target)
{
    auto& client = this->clients[{ target.id, target.incarnation }];
    if (!client || client->clientOptions().server != target.endpoint) {
        client = std::make_shared<http::Client>(this->executor,
            http::ClientOptions { .server = target.endpoint,
                .connectTimeout = this->options.connectTimeout,
                .maxIdleConnections = this->options.maxIdleConnections,
                .unacknowledgedTimeout = this->options.unacknowledgedTimeout });
    }
    return client;
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
    for (auto& [key, client] : this->clients)
        client->closeIdleConnections();
}

} // namespace chivewinch::gateway
