#pragma once

#include "standin/host.hpp"
#include "store/memory_store.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace chivewinch::standin {

/** Stand-in for the table service and the object store of the platform. GET /journal returns the operation counts. */
class Platform final : public Host {
public:
    using Host::Host;

private:
    store::MemoryTableService tables;
    store::MemoryObjectStore objects;
    std::uint64_t tableReads = 0;
    std::uint64_t tableWrites = 0;
    std::uint64_t objectReads = 0;
    std::uint64_t objectWrites = 0;

    [[nodiscard]] http::Task<void> handle(const http::Request& request, http::ResponseWriter& writer) override;
    [[nodiscard]] http::Response tableResponse(const http::Request& request);
    [[nodiscard]] http::Response objectResponse(const http::Request& request);
    [[nodiscard]] http::Response putObject(const std::string& name, const std::string& bytes);
    [[nodiscard]] http::Response getObject(const std::string& name);
    [[nodiscard]] http::Response listObjects(const http::Request& request);
};

/**
 * Stand-in for the instance list of the platform. PUT /instances/<id> and DELETE /instances/<id> change the list.
 * GET /instances returns the list without the changes of the last lag interval.
 */
class InstanceList final : public Host {
public:
    InstanceList(
        boost::asio::io_context& context, settings::Endpoint listen, Faults faults, std::chrono::milliseconds lag);

private:
    std::chrono::milliseconds lag;
    std::map<std::string, std::string> current;
    std::map<std::string, std::string> published;

    [[nodiscard]] http::Task<void> handle(const http::Request& request, http::ResponseWriter& writer) override;
    [[nodiscard]] std::string listJson() const;
    void publishAfterLag();
};

} // namespace chivewinch::standin
