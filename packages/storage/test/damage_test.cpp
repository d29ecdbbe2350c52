#include "memory_disk.hpp"

#include <set>

#include <doctest/doctest.h>

namespace basilreach::storage::test
{

namespace
{

// Returns a directory with a snapshot and several segments.
memory_disk filled_disk()
{
    memory_disk disk;
    auto opened = open(disk);
    REQUIRE(opened.has_value());
    for (auto const& it : sample_calls())
        REQUIRE(it.run(opened.value()).has_value());
    for (std::uint64_t n = 41; n <= 70; ++n)
        REQUIRE(opened.value().write({{}, {}, {{n, 9, 1, "later"}}}));
    return disk.copy();
}

} // namespace

// Guards against loading damaged data from any record of any file.
TEST_CASE("a flipped byte at any offset is reported with its file")
{
    auto const disk = filled_disk();
    std::size_t flips = 0;
    std::set<std::string> files;
    for (auto const& it : disk.names)
        for (std::size_t n = 0; n != it.second->content.size(); ++n)
            for (unsigned const mask : {0x01U, 0x80U, 0xFFU})
            {
                auto const& path = it.first;
                CAPTURE(path);
                CAPTURE(n);
                CAPTURE(mask);
                auto damaged = disk.copy();
                auto& byte = damaged.names[path]->content[n];
                byte =
                    static_cast<char>(static_cast<unsigned char>(byte) ^ mask);
                auto const opened = open(damaged);
                REQUIRE(opened.has_error());
                CHECK(opened.error().code == storage_errc::corrupted);
                CHECK(opened.error().file == path);
                CHECK(opened.error().offset <= it.second->content.size());
                files.insert(path);
                ++flips;
            }
    MESSAGE(flips << " flips in " << files.size() << " files");
    CHECK(files.size() >= 4);
}

// Guards against a start with a part of the log missing.
TEST_CASE("a missing file is reported")
{
    auto const disk = filled_disk();
    for (auto const& it : disk.names)
    {
        auto const& path = it.first;
        CAPTURE(path);
        auto damaged = disk.copy();
        damaged.names.erase(path);
        auto const opened = open(damaged);
        REQUIRE(opened.has_error());
        if (path != "data/snapshot")
        {
            CHECK(opened.error().code == storage_errc::missing_segment);
            CHECK(opened.error().file == path);
        }
    }
    // With a snapshot that covers only a part of the first segment, no segment
    // is missing without it.
    memory_disk small;
    auto opened = open(small);
    REQUIRE(opened.value().write({{}, {}, {{1, 1, 1, ""}, {2, 1, 1, ""}}}));
    REQUIRE(opened.value().compact({1, 1, {"a"}, {}, ""}));
    CHECK(open(small).has_value());
    small.names.erase("data/snapshot");
    CHECK(open(small).error().code == storage_errc::missing_snapshot);
}

// Guards against segment files that were swapped or truncated.
TEST_CASE("swapped or truncated segments are reported")
{
    auto const disk = filled_disk();
    auto const last = std::prev(disk.names.end(), 2);
    auto const other = std::prev(last);
    auto swapped = disk.copy();
    std::swap(swapped.names[last->first], swapped.names[other->first]);
    auto const opened = open(swapped);
    REQUIRE(opened.has_error());
    CHECK(opened.error().code == storage_errc::wrong_order);
    for (std::size_t n = 0; n != other->second->content.size(); ++n)
    {
        CAPTURE(n);
        auto shortened = disk.copy();
        shortened.names[other->first]->content.resize(n);
        CHECK(open(shortened).has_error());
    }
}

// Guards against a write that leaves a gap in the log or replaces entries that
// the snapshot covers.
TEST_CASE("a write with a gap or into the snapshot is rejected")
{
    write_batch const gap{{}, {}, {{42, 1, 1, ""}}};
    write_batch const rewrite{{}, 30, {{30, 1, 1, ""}}};
    for (auto const& batch : {gap, rewrite})
    {
        memory_disk disk;
        auto opened = open(disk);
        for (auto const& it : sample_calls())
            REQUIRE(it.run(opened.value()).has_value());
        CHECK(opened.value().write(batch).error().code ==
              storage_errc::wrong_order);
    }
}

} // namespace basilreach::storage::test
