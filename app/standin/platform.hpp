#pragma once

#include "standin/host.hpp"
#include "store/memory_store.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace chivewinch::standin {

/** Platform's table service and object store on one address; GET /journal counts operations. */
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
 * Platform's list of instances. GET /instances answers the list as it was some time ago; PUT /instances/<id> and
 * DELETE /instances/<id> change it.
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
