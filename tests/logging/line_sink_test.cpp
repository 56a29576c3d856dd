#include "logging/line_sink.hpp"

#include <gtest/gtest.h>

#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace chivewinch::logging {
namespace {

class LineSinkTest : public testing::Test {
protected:
    LineSinkTest() { EXPECT_EQ(::pipe(this->ends.data()), 0); }
    ~LineSinkTest() override
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    std::string readAll()
    {
        ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> bytes {};
        ssize_t count = 0;
        while ((count = ::read(this->ends[0], bytes.data(), bytes.size())) > 0)
            text.append(bytes.data(), static_cast<std::size_t>(count));
        return text;
    }

    std::array<int, 2> ends {};
};

TEST_F(LineSinkTest, WritesLinesAtOnce)
{
    LineSink sink { this->ends[1] };
    sink.write("a\n");
    sink.write("b\n");
    EXPECT_EQ(this->readAll(), "a\nb\n");
}

// Guards against a process that blocks because its log is not read, and against lines that are dropped without a
// report.
TEST_F(LineSinkTest, LeavesLinesOutInsteadOfBlocking)
{
    constexpr std::size_t maxWaiting = 10'000;
    LineSink sink { this->ends[1], maxWaiting };
    const std::string line(99, 'x');
    for (int i = 0; i < 5'000; ++i)
        sink.write(line + "\n");
    EXPECT_GT(sink.leftOut(), 0U);
    const auto first = this->readAll();
    sink.write("after\n");
    const auto second = this->readAll();
    EXPECT_NE(second.find("event=log_lines_left_out count=" + std::to_string(sink.leftOut())), std::string::npos);
    EXPECT_TRUE(second.ends_with("after\n"));
    EXPECT_GT(first.size(), maxWaiting);
}

} // namespace
} // namespace chivewinch::logging
