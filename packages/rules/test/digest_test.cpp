#include <basilreach/rules/digest.hpp>

#include <string>

#include <doctest/doctest.h>

namespace basilreach::rules
{

TEST_CASE("the digest matches a published test vector of SHA-256")
{
    std::string const abc =
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    CHECK(print_digest(digest_of_key("abc")) == abc);
    CHECK(parse_digest(abc) == digest_of_key("abc"));
}

TEST_CASE("a digest of another length or with other digits is rejected")
{
    CHECK_FALSE(parse_digest(std::string(63, 'a')));
    CHECK_FALSE(parse_digest(std::string(65, 'a')));
    CHECK_FALSE(parse_digest(std::string(63, 'a') + "g"));
    CHECK(parse_digest(std::string(64, 'A')) ==
          parse_digest(std::string(64, 'a')));
}

TEST_CASE("digests that differ in one bit at either end are not equal")
{
    auto const digest = digest_of_key("key");
    CHECK(equal_digests(digest, digest));
    for (auto const n : {0, 31})
    {
        auto other = digest;
        other[static_cast<std::size_t>(n)] ^= 1U;
        CHECK_FALSE(equal_digests(digest, other));
    }
}

TEST_CASE("the change id depends on both base version and text")
{
    CHECK(change_id_of(1, "x") == change_id_of(1, "x"));
    CHECK(change_id_of(1, "x") != change_id_of(2, "x"));
    // Without a separator these two would have the same id.
    CHECK(change_id_of(1, "1x") != change_id_of(11, "x"));
}

} // namespace basilreach::rules
