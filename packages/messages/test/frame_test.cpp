#include <basilreach/messages/frame.hpp>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace basilreach::messages;

TEST_CASE("frames are complete when the stream arrives in single bytes")
{
    std::string stream;
    append_frame(stream, "first");
    append_frame(stream, "");
    append_frame(stream, "third");
    frame_reader reader;
    std::vector<std::string> frames;
    for (char const c : stream)
    {
        reader.feed({&c, 1});
        while (auto const it = reader.next().value())
            frames.push_back(*it);
    }
    CHECK(frames == std::vector<std::string>{"first", "", "third"});
}

TEST_CASE("a frame over the limit is refused once its length is known")
{
    frame_reader reader;
    reader.feed(std::string_view("\xff\xff\xff\xff", 4));
    CHECK(reader.next().error() == frame_error::too_large);
}
