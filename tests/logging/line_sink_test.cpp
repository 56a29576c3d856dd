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
    LineSinkTest() { EXPECT_EQ(::pipe(this->pipeEnds.data()), 0); }
    ~LineSinkTest() override
    {
        ::close(this->pipeEnds[0]);
        ::close(this->pipeEnds[1]);
    }

    std::string readAll()
    {
        ::fcntl(this->pipeEnds[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> bytes {};
        ssize_t count = 0;
        while ((count = ::read(this->pipeEnds[0], bytes.data(), bytes.size())) > 0)
            text.append(bytes.data(), static_cast<std::size_t>(count));
        return text;
    }

    std::array<int, 2> pipeEnds {};
};

TEST_F(LineSinkTest, WritesLinesImmediately)
{
    LineSink sink { this->pipeEnds[1] };
    sink.write("a\n");
    sink.write("b\n");
    EXPECT_EQ(this->readAll(), "a\nb\n");
}

// Guards against a process that blocks because its log is not read, and against lines that are dropped without a
// report.
TEST_F(LineSinkTest, DropsLinesInsteadOfBlocking)
{
    constexpr std::size_t maxBufferBytes = 10'000;
    LineSink sink { this->pipeEnds[1], maxBufferBytes };
    const std::string line(99, 'x');
    for (int i = 0; i < 5'000; ++i)
        sink.write(line + "\n");
    EXPECT_GT(sink.droppedLines(), 0U);
    const auto first = this->readAll();
    sink.write("after\n");
    const auto second = this->readAll();
    EXPECT_NE(second.find("event=log_lines_left_out count=" + std::to_string(sink.droppedLines())), std::string::npos);
    EXPECT_TRUE(second.ends_with("after\n"));
    EXPECT_GT(first.size(), maxBufferBytes);
}

} // namespace
} // namespace chivewinch::logging
