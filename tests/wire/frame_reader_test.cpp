#include "base/random.hpp"
#include "wire/frame_reader.hpp"
#include "wire/wire.pb.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chivewinch::wire {

// Guards against messages that are lost or merged when TCP splits the stream at arbitrary positions.
RC_GTEST_PROP(FrameReaderTest, ReadsEveryMessageAtAnyReadBoundary, (std::vector<std::string> messages))
{
    std::string stream;
    for (const auto& message : messages)
        appendFrame(stream, message);

    FrameReader reader;
    std::vector<std::string> read;
    std::size_t position = 0;
    while (position < stream.size()) {
        const auto length = *rc::gen::inRange<std::size_t>(1, 9);
        reader.append(std::string_view { stream }.substr(position, length));
        position += length;
        while (auto message = reader.next())
            read.push_back(std::move(*message));
    }
    RC_ASSERT(read == messages);
    RC_ASSERT(reader.pendingBytes() == 0U);
}

// Guards against unbounded memory use for a peer that announces a message above the size limit.
TEST(FrameReaderTest, RefusesLengthOverLimit)
{
    FrameReader reader { 8 };
    std::string stream;
    appendFrame(stream, "12345678");
    appendFrame(stream, "123456789");
    reader.append(stream);
    EXPECT_EQ(reader.next(), "12345678");
    EXPECT_EQ(reader.next(), std::nullopt);
    EXPECT_TRUE(reader.malformed());
}

// Guards against a crash on invalid data that arrives at the internal port.
TEST(FrameReaderTest, SurvivesRandomBytes)
{
    constexpr std::uint64_t seed = 20261204;
    constexpr int streams = 2000;
    RecordProperty("seed", std::to_string(seed));
    base::SeededRandom random { seed };
    for (int i = 0; i < streams; ++i) {
        FrameReader reader { 1U << 10 };
        std::string bytes(random.below(256), '\0');
        for (auto& byte : bytes)
            byte = static_cast<char>(random.below(i % 2 == 0 ? 256 : 4));
        reader.append(bytes);
        while (auto message = reader.next()) {
            Control control;
            AttemptStart start;
            AttemptReply reply;
            (void)control.ParseFromString(*message);
            (void)start.ParseFromString(*message);
            (void)reply.ParseFromString(*message);
        }
    }
}

} // namespace chivewinch::wire
