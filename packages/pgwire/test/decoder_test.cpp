#include <basilreach/pgwire/decoder.hpp>

#include "allocation_probe.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace std::string_literals;

namespace basilreach::pgwire
{

namespace
{

constexpr std::size_t limit = 16'384;

std::string be32(std::uint32_t value)
{
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8)
        out.push_back(static_cast<char>(value >> shift & 0xffU));
    return out;
}

std::string make_message(std::string const& type, std::string const& payload)
{
    return type + be32(static_cast<std::uint32_t>(payload.size() + 4)) +
           payload;
}

std::string const startup =
    make_message("", be32(3 << 16) + "user\0u\0database\0route\0\0"s);

// One valid message of each kind of the normal phase.
std::vector<std::string> const messages{
    make_message("p", "secret\0"s),
    make_message("Q", "SELECT 1\0"s),
    make_message("P", "s1\0SELECT $1\0\0\1\0\0\0\x19"s),
    make_message("B",
                 "p1\0s1\0\0\1\0\0\0\3\0\0\0\2ab\xff\xff\xff\xff\0\0\0\0\0\0"s),
    make_message("D", "Ss1\0"s),
    make_message("C", "Pp1\0"s),
    make_message("E", "p1\0\0\0\0\0"s),
    make_message("S", ""),
    make_message("H", ""),
    make_message("d", "data"),
    make_message("F", "anything"),
    make_message("X", "")};

using outcome = basilreach::result<std::optional<frontend_message>, wire_error>;

// Decodes the bytes in pieces of the given size. Returns the decoded messages
// in order, with an error at the end if there is one.
std::vector<outcome> decode_all(std::string const& bytes, std::size_t piece)
{
    decoder it{limit};
    std::vector<outcome> outcomes;
    for (std::size_t n = 0; n < bytes.size(); n += piece)
    {
        auto input = std::string_view{bytes}.substr(n, piece);
        for (;;)
        {
            auto message = it.next(input);
            if (message && !message.value())
                break;
            outcomes.push_back(std::move(message));
            if (!outcomes.back())
                return outcomes;
        }
    }
    return outcomes;
}

wire_error error_of(std::string const& bytes)
{
    auto const outcomes = decode_all(bytes, bytes.size());
    REQUIRE_FALSE(outcomes.empty());
    REQUIRE(outcomes.back().has_error());
    return outcomes.back().error();
}

} // namespace

// Guards against messages that are decoded differently when the network splits
// the byte stream at other places.
TEST_CASE("the decoded messages do not depend on how the stream is split")
{
    std::string bytes = startup;
    for (auto const& it : messages)
        bytes += it;
    auto const whole = decode_all(bytes, bytes.size());
    REQUIRE(whole.size() == messages.size() + 1);
    for (auto const& it : whole)
        REQUIRE(it.has_value());
    for (std::size_t piece = 1; piece != 40; ++piece)
        CHECK(decode_all(bytes, piece) == whole);

    auto const first = std::get<startup_message>(*whole[0].value());
    CHECK(first.value("database") == "route");
    CHECK(first.value("options").empty());
    auto const bound = std::get<bind>(*whole[4].value());
    REQUIRE(bound.parameters.size() == 3);
    CHECK(bound.parameters[0] == "ab");
    CHECK_FALSE(bound.parameters[1].has_value());
    CHECK(bound.parameters[2] == "");
    CHECK(*whole[11].value() ==
          frontend_message{unsupported{unsupported_kind::function_call}});
}

TEST_CASE("encryption requests may precede the startup message")
{
    auto const outcomes =
        decode_all(make_message("", be32(80877103)) +
                       make_message("", be32(80877104)) + startup,
                   7);
    REQUIRE(outcomes.size() == 3);
    CHECK(*outcomes[0].value() == frontend_message{ssl_request{}});
    CHECK(*outcomes[1].value() == frontend_message{gss_encryption_request{}});
    auto const cancel =
        decode_all(make_message("", be32(80877102) + be32(7) + be32(9)), 3);
    CHECK(*cancel.at(0).value() == frontend_message{cancel_request{7, 9}});
}

// Guards against idle clients that keep the buffer of their last message.
TEST_CASE("a decoder holds no memory between messages")
{
    decoder it{limit};
    std::string_view input = startup;
    CHECK(it.next(input).value().has_value());
    auto const large = make_message("Q", std::string(9000, 'x') + "\0"s);
    std::string_view const head = std::string_view{large}.substr(0, 5000);
    input = head;
    CHECK_FALSE(it.next(input).value().has_value());
    CHECK(input.empty());
    CHECK(it.buffered_capacity() >= head.size());
    input = std::string_view{large}.substr(head.size());
    CHECK(it.next(input).value().has_value());
    CHECK(it.buffered_capacity() == 0);
}

TEST_CASE("each kind of malformed message has its own error")
{
    using enum wire_error;
    CHECK(error_of(be32(3)) == invalid_length);
    CHECK(error_of(be32(0xffffffff)) == invalid_length);
    CHECK(error_of(be32(20'000)) == too_large);
    CHECK(error_of(make_message("", be32(2 << 16))) == unsupported_version);
    CHECK(error_of(make_message("", be32(3 << 16) + "user")) ==
          missing_terminator);
    CHECK(error_of(make_message("", be32(3 << 16) + "\0x"s)) == trailing_bytes);
    std::string many;
    for (int n = 0; n != 65; ++n)
        many += "a\0b\0"s;
    CHECK(error_of(make_message("", be32(3 << 16) + many + "\0"s)) ==
          too_many_parameters);
    CHECK(error_of(startup + make_message("y", "")) == unknown_message_type);
    CHECK(error_of(startup + "Q" + be32(0x80000000)) == invalid_length);
    CHECK(error_of(startup + "Q" + be32(limit + 1)) == too_large);
    CHECK(error_of(startup + make_message("Q", "SELECT")) ==
          missing_terminator);
    CHECK(error_of(startup + make_message("S", "x")) == trailing_bytes);
    CHECK(error_of(startup + make_message("D", "Xs\0"s)) == invalid_field);
    CHECK(error_of(startup + make_message("E", "p\0\0"s)) == truncated);
    CHECK(error_of(startup + make_message("P", "\0\0\xff\xff"s)) == truncated);
    CHECK(
        error_of(startup + make_message("B", "\0\0\0\0\0\1\x80\0\0\0\0\0"s)) ==
        invalid_length);
}

// Guards against reads beyond the end of a message, and against allocations by
// a count or length field that the message is too short for.
TEST_CASE("a message with any byte changed or cut off neither crashes the "
          "decoder nor makes it allocate more than the limit")
{
    std::vector<std::string> samples{startup};
    for (auto const& it : messages)
        samples.push_back(startup + it);
    std::size_t largest = 0;
    for (auto const& sample : samples)
    {
        auto const first = &sample == samples.data() ? 0 : startup.size();
        for (std::size_t at = first; at != sample.size(); ++at)
        {
            for (int value = 0; value != 256; ++value)
            {
                auto changed = sample;
                changed[at] = static_cast<char>(value);
                test::largest_allocation = 0;
                decode_all(changed, changed.size());
                largest = std::max(largest, test::largest_allocation);
            }
            // The length field is set to the size of the shorter message.
            auto cut = sample.substr(first, at - first);
            auto const type = first == 0 ? 0U : 1U;
            if (cut.size() >= type + 4)
                cut.replace(
                    type, 4,
                    be32(static_cast<std::uint32_t>(cut.size() - type)));
            decode_all(sample.substr(0, first) + cut, 5);
        }
    }
    CHECK(largest <= limit);
}

// Guards against a Bind message whose many small values take more memory than
// the size of the message.
TEST_CASE("a Bind message with many null values allocates within the limit")
{
    std::string payload = "\0\0\0\0\x0f\xa0"s;
    for (int n = 0; n != 4000; ++n)
        payload += "\xff\xff\xff\xff";
    auto const bytes = startup + make_message("B", payload + "\0\0"s);
    test::largest_allocation = 0;
    decoder it{limit};
    std::string_view input = bytes;
    CHECK(it.next(input).value().has_value());
    CHECK(it.next(input).value().has_value());
    CHECK(test::largest_allocation <= limit);
}

} // namespace basilreach::pgwire
