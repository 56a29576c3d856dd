#include "standin/platform.hpp"

#include "store_http/codec.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/url/decode_view.hpp>
#include <boost/url/parse.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace chivewinch::standin {

using Json = nlohmann::ordered_json;

namespace internal {

constexpr std::string_view objectPrefix = "/objects/";
constexpr std::string_view instancePrefix = "/instances/";

http::Response cborResponse(std::string body)
{
    auto response = jsonResponse(200, std::move(body));
    response.contentType = store_http::tableContentType;
    return response;
}

std::string percentDecoded(std::string_view text)
{
    const auto view = boost::urls::make_pct_string_view(text);
    if (!view)
        return std::string { text };
    std::string result;
    view->decode({}, boost::urls::string_token::assign_to(result));
    return result;
}

std::string queryValue(const http::Request& request, std::string_view name)
{
    const auto target = boost::urls::parse_origin_form({ request.target().data(), request.target().size() });
    if (!target)
        return {};
    for (const auto& parameter : target->params()) {
        if (parameter.key == name)
            return parameter.value;
    }
    return {};
}

} // namespace internal

http::Task<void> Platform::handle(const http::Request& request, http::ResponseWriter& writer)
{
    const auto path = http::pathOf(request);
    http::Response response;
    if (path == "/journal") {
        response = jsonResponse(200,
            Json { { "table_reads", this->tableReads }, { "table_writes", this->tableWrites },
                { "object_reads", this->objectReads }, { "object_writes", this->objectWrites } }
                .dump());
    } else if (path.starts_with("/tables/")) {
        response = this->tableResponse(request);
    } else if (path.starts_with("/objects")) {
        response = this->objectResponse(request);
    } else {
        response = jsonResponse(404, "{}");
    }
    (void)co_await writer.send(std::move(response));
}

http::Response Platform::tableResponse(const http::Request& request)
{
    auto response = jsonResponse(400, "{}");
    const auto path = http::pathOf(request);
    const auto rows = [&response](const auto& result, const store::Error&) {
        response = internal::cborResponse(store_http::encodeRows(*result));
    };
    if (path == "/tables/get") {
        ++this->tableReads;
        if (const auto keys = store_http::decodeKeys(request.body()))
            this->tables.get(*keys, rows);
    } else if (path == "/tables/scan") {
        ++this->tableReads;
        if (const auto scan = store_http::decodeScan(request.body()))
            this->tables.scan(scan->table, scan->prefix, scan->limit, rows);
    } else if (path == "/tables/transact") {
        ++this->tableWrites;
        if (const auto transaction = store_http::decodeTransaction(request.body())) {
            this->tables.transact(*transaction, [&response](const auto& result, const store::Error&) {
                response = internal::cborResponse(store_http::encodeResult(*result));
            });
        }
    }
    return response;
}

http::Response Platform::objectResponse(const http::Request& request)
{
    const auto path = http::pathOf(request);
    if (path == "/objects")
        return this->listObjects(request);
    if (!path.starts_with(internal::objectPrefix))
        return jsonResponse(404, "{}");
    const auto name = internal::percentDecoded(path.substr(internal::objectPrefix.size()));
    if (request.method_string() == "PUT")
        return this->putObject(name, request.body());
    return this->getObject(name);
}

http::Response Platform::putObject(const std::string& name, const std::string& bytes)
{
    ++this->objectWrites;
    bool created = false;
    this->objects.putIfAbsent(name, bytes,
        [&created](const auto& result, const store::Error&) { created = result == store::PutResult::Created; });
    return jsonResponse(created ? 201 : 412, "{}");
}

http::Response Platform::getObject(const std::string& name)
{
    ++this->objectReads;
    const auto found = this->objects.all().find(name);
    if (found == this->objects.all().end())
        return jsonResponse(404, "{}");
    auto response = jsonResponse(200, found->second);
    response.contentType = "application/octet-stream";
    return response;
}

http::Response Platform::listObjects(const http::Request& request)
{
    ++this->objectReads;
    const auto limit = settings::parseInteger(internal::queryValue(request, "max-keys")).value_or(1000);
    auto names = Json::array();
    this->objects.list(internal::queryValue(request, "prefix"), internal::queryValue(request, "start-after"),
        static_cast<std::size_t>(std::max<std::int64_t>(limit, 0)),
        [&names](const auto& result, const store::Error&) { names = *result; });
    return jsonResponse(200, names.dump());
}

InstanceList::InstanceList(
    boost::asio::io_context& context, settings::Endpoint listen, Faults faults, std::chrono::milliseconds lag)
    : Host { context, std::move(listen), std::move(faults) }
    , lag { lag }
{
}

std::string InstanceList::listJson() const
{
    auto instances = Json::array();
    for (const auto& [id, text] : this->published) {
        auto instance = Json::parse(text);
        instance["id"] = id;
        instances.push_back(std::move(instance));
    }
    return Json { { "instances", std::move(instances) } }.dump();
}

void InstanceList::publishAfterLag()
{
    auto publish = [](InstanceList* list, std::map<std::string, std::string> state) -> http::Task<void> {
        co_await list->pause(list->lag);
        list->published = std::move(state);
    };
    boost::asio::co_spawn(this->context, publish(this, this->current), boost::asio::detached);
}

http::Task<void> InstanceList::handle(const http::Request& request, http::ResponseWriter& writer)
{
    const auto path = http::pathOf(request);
    http::Response response;
    if (path == "/instances") {
        response = jsonResponse(200, this->listJson());
    } else if (path.starts_with(internal::instancePrefix)) {
        const std::string id { path.substr(internal::instancePrefix.size()) };
        if (request.method_string() == "DELETE") {
            this->current.erase(id);
            response = jsonResponse(200, "{}");
        } else if (Json::parse(request.body(), nullptr, false).is_object()) {
            this->current[id] = request.body();
            response = jsonResponse(200, "{}");
        } else {
            response = jsonResponse(400, "{}");
        }
        this->publishAfterLag();
    } else {
        response = jsonResponse(404, "{}");
    }
    (void)co_await writer.send(std::move(response));
}

} // namespace chivewinch::standin
