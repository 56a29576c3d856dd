#include "standin/service.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace chivewinch::standin {

using Json = nlohmann::ordered_json;

Service::Service(boost::asio::io_context& context, settings::Endpoint listen, Faults faults, ServiceOptions options)
    : Host { context, std::move(listen), std::move(faults) }
    , options { options }
    , incarnation { static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()) }
{
}

void Service::onCrash()
{
    this->incarnation = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
}

http::Response Service::bookOrder(const std::string& body)
{
    const auto order = Json::parse(body, nullptr, false);
    if (!order.is_object() || !order.contains("reference") || !order["reference"].is_string())
        return jsonResponse(400, R"({"error":"an order needs a reference"})");
    const auto reference = order["reference"].get<std::string>();
    ++this->executions[reference];
    return jsonResponse(
        201, Json { { "reference", reference }, { "number", this->nextNumber++ }, { "state", "booked" } }.dump());
}

http::Task<void> Service::handle(const http::Request& request, http::ResponseWriter& writer)
{
    const auto path = http::pathOf(request);
    http::Response response;
    if (path == "/load") {
        response = jsonResponse(200,
            Json { { "incarnation", this->incarnation }, { "running", this->running }, { "queued", 0 },
                { "capacity", 64 } }
                .dump());
    } else if (path == "/journal") {
        response = jsonResponse(200, Json { { "executions", this->executions } }.dump());
    } else if (path.starts_with("/orders")) {
        ++this->running;
        co_await this->pause(this->options.workTime);
        --this->running;
        if (request.method_string() == "POST")
            response = this->bookOrder(request.body());
        else
            response = jsonResponse(200, Json { { "path", std::string { path } }, { "state", "booked" } }.dump());
    } else {
        response = jsonResponse(404, R"({"error":"no such path"})");
    }
    (void)co_await writer.send(std::move(response));
}

} // namespace chivewinch::standin
