#include <basilreach/rules/text_delta.hpp>

#include <doctest/doctest.h>

#include <random>

namespace basilreach::rules
{

namespace
{

constexpr std::size_t many_routes = 1'400;

std::string route(std::size_t n, int timeout_ms)
{
    return "{\"name\":\"r-" + std::to_string(n) +
           "\",\"timeout_ms\":" + std::to_string(timeout_ms) + "}";
}

// A document of one line, as operators of some deployments send it.
std::string document(std::size_t routes, int version, std::size_t changed)
{
    std::string out =
        "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (std::size_t n = 0; n != routes; ++n)
        out += (n == 0 ? "" : ",") + route(n, n == changed ? version : 800);
    return out + "]}";
}

std::size_t size_of(text_delta const& it)
{
    std::size_t sum = 0;
    for (auto const& edit : it.edits)
        sum += sizeof(edit.offset) + sizeof(edit.length) + edit.inserted.size();
    return sum;
}

} // namespace

// Guards against updates that carry the whole rules to every daemon, whatever
// has changed.
TEST_CASE("the delta of a changed rule is small")
{
    auto const base = document(many_routes, 6, many_routes);
    auto const text = document(many_routes, 7, many_routes / 2);
    auto const delta = make_text_delta(base, text);
    CHECK(apply_text_delta(base, delta) == text);
    constexpr std::size_t max_bytes = 300;
    CHECK(size_of(delta) < max_bytes);
}

TEST_CASE("rules can be added, removed and moved")
{
    std::string const base = "a\nb\nc\nd\n";
    for (std::string const text :
         {"", "a\n", "d\na\nb\nc\n", "a\nx\nb\nc\ny\nd\nz", "a\na\na\n",
          "b\nd\n", "a\nb\nc\nd\n"})
    {
        CAPTURE(text);
        CHECK(apply_text_delta(base, make_text_delta(base, text)) == text);
        CHECK(apply_text_delta("", make_text_delta("", text)) == text);
    }
}

TEST_CASE("the delta of random texts gives the text")
{
    std::mt19937 random(7);
    auto const make_text = [&random]
    {
        std::string out;
        for (auto n = random() % 40; n != 0; --n)
            out += "ab}\n"[random() % 4];
        return out;
    };
    for (int n = 0; n != 2000; ++n)
    {
        auto const base = make_text();
        auto const text = make_text();
        CAPTURE(base);
        CAPTURE(text);
        CHECK(apply_text_delta(base, make_text_delta(base, text)) == text);
    }
}

TEST_CASE("an edit beyond the base is refused")
{
    CHECK(!apply_text_delta("abc", {{{2, 2, ""}}}));
    CHECK(!apply_text_delta("abc", {{{4, 0, ""}}}));
    CHECK(!apply_text_delta("abc", {{{1, ~std::uint64_t{0}, ""}}}));
}

} // namespace basilreach::rules
