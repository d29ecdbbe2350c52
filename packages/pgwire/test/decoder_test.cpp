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

std::string framed(std::string const& type, std::string const& payload)
{
    return type + be32(static_cast<std::uint32_t>(payload.size() + 4)) +
           payload;
}

std::string const startup =
    framed("", be32(3 << 16) + "user\0u\0database\0route\0\0"s);

// One valid message of each kind of the normal phase.
std::vector<std::string> const messages{
    framed("p", "secret\0"s),
    framed("Q", "SELECT 1\0"s),
    framed("P", "s1\0SELECT $1\0\0\1\0\0\0\x19"s),
    framed("B", "p1\0s1\0\0\1\0\0\0\3\0\0\0\2ab\xff\xff\xff\xff\0\0\0\0\0\0"s),
    framed("D", "Ss1\0"s),
    framed("C", "Pp1\0"s),
    framed("E", "p1\0\0\0\0\0"s),
    framed("S", ""),
    framed("H", ""),
    framed("d", "data"),
    framed("F", "anything"),
    framed("X", "")};

using outcome = basilreach::result<std::optional<frontend_message>, wire_error>;

// Decodes everything in pieces of one size; returns the last outcome that was
// an error or a message.
std::vector<outcome> decode_all(std::string const& bytes, std::size_t piece)
{
    decoder it{limit};
    std::vector<outcome> seen;
    for (std::size_t n = 0; n < bytes.size(); n += piece)
    {
        auto input = std::string_view{bytes}.substr(n, piece);
        for (;;)
        {
            auto message = it.next(input);
            if (message && !message.value())
                break;
            seen.push_back(std::move(message));
            if (!seen.back())
                return seen;
        }
    }
    return seen;
}

wire_error error_of(std::string const& bytes)
{
    auto const seen = decode_all(bytes, bytes.size());
    REQUIRE_FALSE(seen.empty());
    REQUIRE(seen.back().has_error());
    return seen.back().error();
}

} // namespace

// Guards against a message boundary that depends on how the network splits it.
TEST_CASE("the messages do not depend on the split into pieces")
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

TEST_CASE("encryption requests leave the startup phase unchanged")
{
    auto const seen = decode_all(
        framed("", be32(80877103)) + framed("", be32(80877104)) + startup, 7);
    REQUIRE(seen.size() == 3);
    CHECK(*seen[0].value() == frontend_message{ssl_request{}});
    CHECK(*seen[1].value() == frontend_message{gss_encryption_request{}});
    auto const cancel =
        decode_all(framed("", be32(80877102) + be32(7) + be32(9)), 3);
    CHECK(*cancel.at(0).value() == frontend_message{cancel_request{7, 9}});
}

// Guards against idle clients that keep the buffer of their last message.
TEST_CASE("an idle decoder holds no memory")
{
    decoder it{limit};
    std::string_view input = startup;
    CHECK(it.next(input).value().has_value());
    auto const large = framed("Q", std::string(9000, 'x') + "\0"s);
    std::string_view const head = std::string_view{large}.substr(0, 5000);
    input = head;
    CHECK_FALSE(it.next(input).value().has_value());
    CHECK(input.empty());
    CHECK(it.buffered_capacity() >= head.size());
    input = std::string_view{large}.substr(head.size());
    CHECK(it.next(input).value().has_value());
    CHECK(it.buffered_capacity() == 0);
}

TEST_CASE("malformed messages have typed errors")
{
    using enum wire_error;
    CHECK(error_of(be32(3)) == invalid_length);
    CHECK(error_of(be32(0xffffffff)) == invalid_length);
    CHECK(error_of(be32(20'000)) == too_large);
    CHECK(error_of(framed("", be32(2 << 16))) == unsupported_version);
    CHECK(error_of(framed("", be32(3 << 16) + "user")) == missing_terminator);
    CHECK(error_of(framed("", be32(3 << 16) + "\0x"s)) == trailing_bytes);
    std::string many;
    for (int n = 0; n != 65; ++n)
        many += "a\0b\0"s;
    CHECK(error_of(framed("", be32(3 << 16) + many + "\0"s)) ==
          too_many_parameters);
    CHECK(error_of(startup + framed("y", "")) == unknown_message_type);
    CHECK(error_of(startup + "Q" + be32(0x80000000)) == invalid_length);
    CHECK(error_of(startup + "Q" + be32(limit + 1)) == too_large);
    CHECK(error_of(startup + framed("Q", "SELECT")) == missing_terminator);
    CHECK(error_of(startup + framed("S", "x")) == trailing_bytes);
    CHECK(error_of(startup + framed("D", "Xs\0"s)) == invalid_field);
    CHECK(error_of(startup + framed("E", "p\0\0"s)) == truncated);
    CHECK(error_of(startup + framed("P", "\0\0\xff\xff"s)) == truncated);
    CHECK(error_of(startup + framed("B", "\0\0\0\0\0\1\x80\0\0\0\0\0"s)) ==
          invalid_length);
}

// Guards against reads beyond a message and against allocations that follow a
// count or length in the message instead of its size.
TEST_CASE("a change at any byte neither crashes nor allocates beyond the limit")
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
            // The length announces the shorter message.
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

// Guards against a Bind whose many small values occupy more than its size.
TEST_CASE("the largest number of parameters stays within the limit")
{
    std::string payload = "\0\0\0\0\x0f\xa0"s;
    for (int n = 0; n != 4000; ++n)
        payload += "\xff\xff\xff\xff";
    auto const bytes = startup + framed("B", payload + "\0\0"s);
    test::largest_allocation = 0;
    decoder it{limit};
    std::string_view input = bytes;
    CHECK(it.next(input).value().has_value());
    CHECK(it.next(input).value().has_value());
    CHECK(test::largest_allocation <= limit);
}

} // namespace basilreach::pgwire
