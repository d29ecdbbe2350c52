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

// Guards against large updates that fill the link of a small host: the text of
// rules repeats itself.
TEST_CASE("a large frame is compressed and arrives unchanged")
{
    std::string text;
    for (int n = 0; n != 1000; ++n)
        text += "route r" + std::to_string(n) + " group=cases class=read\n";
    std::string stream;
    append_frame(stream, text);
    CHECK(stream.size() * 4 < text.size());
    frame_reader reader;
    reader.feed(std::string_view(stream).substr(0, stream.size() - 1));
    CHECK(!reader.next().value());
    CHECK(reader.has_partial_frame());
    reader.feed(std::string_view(stream).substr(stream.size() - 1));
    CHECK(reader.next().value() == text);
    CHECK(!reader.has_partial_frame());
}

// Guards against memory use beyond the limit and against a crash, when a peer
// sends a wrong length.
TEST_CASE("a damaged compressed frame is refused")
{
    std::string stream;
    append_frame(stream, std::string(100'000, 'x'));
    constexpr std::size_t unpacked_bytes_at = 4;
    auto wrong_length = stream;
    wrong_length[unpacked_bytes_at] ^= 1;
    frame_reader first;
    first.feed(wrong_length);
    CHECK(first.next().error() == frame_error::malformed);
    auto too_long = stream;
    too_long[unpacked_bytes_at + 3] = '\xff';
    frame_reader second;
    second.feed(too_long);
    CHECK(second.next().error() == frame_error::too_large);
    auto damaged = stream;
    damaged.back() ^= 1;
    frame_reader third;
    third.feed(damaged);
    CHECK(third.next().error() == frame_error::malformed);
}
