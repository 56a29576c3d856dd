#include "http/message.hpp"

#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace chivewinch::http {
namespace {

namespace beast = boost::beast;

std::vector<std::string> linesOf(const Request& request)
{
    std::vector<std::string> lines;
    for (const auto& field : request)
        lines.push_back(std::string { view(field.name_string()) } + ": " + std::string { view(field.value()) });
    return lines;
}

// Guards against fields that are lost, merged or reordered on their way to a target.
TEST(Fields, KeepOrderAndRepetitions)
{
    Request request;
    request.insert("X-One", "1");
    request.insert("Accept", "a");
    request.insert("x-one", "2");
    request.insert("ACCEPT", "b");
    EXPECT_EQ(linesOf(request), (std::vector<std::string> { "X-One: 1", "Accept: a", "x-one: 2", "ACCEPT: b" }));
    EXPECT_EQ(request["x-ONE"], "1");
    EXPECT_EQ(request["X-Two"], "");
    EXPECT_EQ(request.count("x-one"), 2U);
    EXPECT_EQ(request.count(beast::http::field::accept), 2U);
    request.set("X-One", "3");
    EXPECT_EQ(linesOf(request), (std::vector<std::string> { "Accept: a", "ACCEPT: b", "X-One: 3" }));
    request.erase("accept");
    EXPECT_EQ(linesOf(request), (std::vector<std::string> { "X-One: 3" }));
}

// Guards against names and values that are cut at a size of 16 bits.
TEST(Fields, HoldNamesAndValuesOfAnySize)
{
    for (const std::size_t size : { 65'531U, 65'533U, 65'535U, 65'536U, 200'000U }) {
        const std::string text(size, 'x');
        Request request;
        request.insert(text, text);
        request.set("X-Set", text);
        EXPECT_EQ(request[text], text);
        EXPECT_EQ(request["X-Set"], text);
    }
}

// Guards against framing that depends on fields of an earlier message.
TEST(Fields, StateTheFraming)
{
    Request request;
    request.version(11);
    EXPECT_TRUE(request.keep_alive());
    request.set("Connection", "Upgrade, close");
    EXPECT_FALSE(request.keep_alive());
    request.keep_alive(true);
    EXPECT_EQ(request.count("Connection"), 0U);
    request.version(10);
    EXPECT_FALSE(request.keep_alive());
    request.set("Transfer-Encoding", "gzip, chunked");
    EXPECT_TRUE(request.chunked());
    request.content_length(4);
    EXPECT_FALSE(request.chunked());
    EXPECT_EQ(request["Content-Length"], "4");
    request.content_length(boost::none);
    EXPECT_FALSE(request.has_content_length());
}

} // namespace
} // namespace chivewinch::http
