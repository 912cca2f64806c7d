#include <catch2/catch.hpp>

#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include "observability/internal/linewriter.h"

using namespace citronpick::observability;

namespace
{

//! A pipe that is read only by calls of read().
struct Pipe {
    Pipe()
    {
        REQUIRE(pipe(ends.data()) == 0);
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;
    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }
    std::string read() const
    {
        std::string text;
        std::array<char, 4096> chunk {};
        for (ssize_t count = ::read(ends[0], chunk.data(), chunk.size()); count > 0;
             count = ::read(ends[0], chunk.data(), chunk.size())) {
            text.append(chunk.data(), static_cast<size_t>(count));
        }
        return text;
    }

    std::array<int, 2> ends {};
};

constexpr size_t capacityBytes = 256U << 10U;

} // namespace

TEST_CASE("Lines are written in order by the next flush")
{
    const Pipe pipe;
    LineWriter writer(pipe.ends[1], capacityBytes);
    writer.add("one\n");
    writer.add("two\n");
    CHECK(pipe.read().empty());
    writer.flush();
    CHECK(pipe.read() == "one\ntwo\n");
    CHECK(writer.bufferedBytes() == 0);
}

TEST_CASE("Load pattern: a stalled reader makes lines drop but does not block the daemon")
{
    const Pipe pipe;
    LineWriter writer(pipe.ends[1], capacityBytes);
    const std::string line(99, 'x');
    constexpr size_t lines = 10000;
    for (size_t i = 0; i < lines; ++i) {
        writer.add(line + "\n");
        writer.flush();
    }
    CHECK(writer.bufferedBytes() <= capacityBytes);
    const uint64_t dropped = writer.takeDropped();
    CHECK(dropped > 0);
    CHECK(writer.takeDropped() == 0);
    std::string text;
    while (writer.bufferedBytes() > 0) {
        text += pipe.read();
        writer.flush();
    }
    text += pipe.read();
    // Lines are dropped only as a whole.
    CHECK(text.size() == (lines - dropped) * (line.size() + 1));
}
