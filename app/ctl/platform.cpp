#include "ctl/platform.hpp"

namespace chivewinch::ctl {

namespace internal {

http::ClientOptions clientOptions(const settings::Endpoint& server)
{
    http::ClientOptions options;
    options.server = server;
    options.readTimeout = std::chrono::seconds { 2 };
    return options;
}

store::ClientOptions storeOptions()
{
    store::ClientOptions options;
    // The operation budget protects the store from daemons. A command is short, runs alone and needs none.
    options.limitOperations = false;
    return options;
}

} // namespace internal

std::vector<settings::Setting> platformSettings()
{
    return {
        { "table-service", "Address of the platform's table service", settings::ValueType::endpoint(), std::nullopt },
        { "object-store", "Address of the platform's object store", settings::ValueType::endpoint(), std::nullopt },
    };
}

Platform::Platform(const settings::Values& values)
    : tableService { this->context.get_executor(), internal::clientOptions(values.endpoint("table-service")) }
    , objectStore { this->context.get_executor(), internal::clientOptions(values.endpoint("object-store")) }
    , client { this->tableService, this->objectStore, this->scheduler, this->clock, this->randomSource,
        internal::storeOptions() }
{
}

} // namespace chivewinch::ctl
