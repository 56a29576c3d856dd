#pragma once

#include "standin/host.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace chivewinch::standin {

struct ServiceOptions {
    std::chrono::milliseconds workTime { 2 };
};

/** Stand-in for an order service. POST /orders books an order, and GET /orders/<id> returns its state. */
class Service final : public Host {
public:
    Service(boost::asio::io_context& context, settings::Endpoint listen, Faults faults, ServiceOptions options);

private:
    ServiceOptions options;
    std::uint64_t incarnation;
    std::uint64_t running = 0;
    std::uint64_t nextNumber = 1;
    std::map<std::string, std::uint64_t> executions; ///< Keyed by the "reference" field of the order; survives a crash.

    [[nodiscard]] http::Task<void> handle(const http::Request& request, http::ResponseWriter& writer) override;
    void onCrash() override;
    [[nodiscard]] http::Response bookOrder(const std::string& body);
};

} // namespace chivewinch::standin
