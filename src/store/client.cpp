#include "store/client.hpp"

#include "store/client_core.hpp"
#include "store/object_client.hpp"
#include "store/table_client.hpp"

namespace chivewinch::store {

Client::Client(TableService& tables, ObjectStore& objects, Scheduler& scheduler, const base::Clock& clock,
    base::RandomSource& random, ClientOptions options)
    : core { std::make_shared<internal::ClientCore>(scheduler, clock, random, options) }
    , tableClient { std::make_unique<internal::TableClient>(tables, this->core) }
    , objectClient { std::make_unique<internal::ObjectClient>(objects, this->core) }
{
}

Client::~Client() { this->core->closed = true; }

TableService& Client::tables() noexcept { return *this->tableClient; }
ObjectStore& Client::objects() noexcept { return *this->objectClient; }
const ClientStats& Client::stats() const noexcept { return this->core->stats; }

std::chrono::nanoseconds backoffDelay(const ClientOptions& options, std::uint32_t failures, base::RandomSource& random)
{
    constexpr std::uint32_t maxShift = 20; // prevents a 64-bit overflow of base << shift for bases up to an hour
    const auto shift = std::min(failures == 0 ? 0 : failures - 1, maxShift);
    const auto bound = std::min(options.backoffLimit, options.backoffBase * (std::int64_t { 1 } << shift));
    return std::chrono::nanoseconds { random.below(static_cast<std::uint64_t>(bound.count()) + 1) };
}

} // namespace chivewinch::store
