#include "memory_disk.hpp"

#include <doctest/doctest.h>

namespace basilreach::storage::test
{

// Guards against a power loss, after any single change to the disk, that loses
// data reported as durable or makes the directory unusable.
TEST_CASE(
    "a crash after any change to the disk loses no data reported as durable")
{
    std::size_t crashes = 0;
    for (std::size_t const kept : {0, 1, 39, 40, 41, 60, 100, 10'000})
        for (std::size_t n = 0;; ++n)
        {
            CAPTURE(kept);
            CAPTURE(n);
            memory_disk disk;
            // Each change once without and once with the unsynced changes of
            // file names.
            disk.changes_left = n / 2;
            std::vector<contents> allowed(1);
            bool has_crashed = true;
            if (auto opened = open(disk))
            {
                has_crashed = false;
                for (auto const& it : sample_calls())
                {
                    allowed = it.intermediate_contents(allowed.back());
                    has_crashed = !it.run(opened.value()).has_value();
                    if (has_crashed)
                        break;
                    allowed = {allowed.back()};
                }
            }
            if (!has_crashed)
                break;
            ++crashes;
            disk.lose_power(kept, n % 2 == 1);
            auto again = open(disk);
            REQUIRE(again.has_value());
            auto const found = again.value().take_contents();
            CHECK(std::find(allowed.begin(), allowed.end(), found) !=
                  allowed.end());
            // The directory can be opened and written again.
            auto const last = found.entries.empty()
                                  ? found.base.value_or(snapshot{}).index
                                  : found.entries.back().index;
            CHECK(again.value().write({{}, {}, {{last + 1, 9, 1, "x"}}}));
            auto third = open(disk);
            REQUIRE(third.has_value());
            CHECK(third.value().take_contents().entries.back().payload == "x");
        }
    MESSAGE(crashes << " crashes");
    CHECK(crashes > 1'000);
}

// Guards against a start that fails because of an incomplete write, or that
// keeps a part of a record.
TEST_CASE("an incomplete write is truncated, whatever its length")
{
    for (std::size_t kept = 0; kept <= 250; ++kept)
    {
        CAPTURE(kept);
        memory_disk disk;
        auto opened = open(disk);
        REQUIRE(opened.has_value());
        REQUIRE(opened.value().write({{}, {}, {{1, 1, 1, "synced"}}}));
        disk.sync_fails = true;
        write_batch const batch{
            hard_state{2, "b"}, {}, {{2, 2, 1, "torn"}, {3, 2, 1, "off"}}};
        auto const failed_write = opened.value().write(batch);
        REQUIRE(failed_write.has_error());
        CHECK(failed_write.error().code == storage_errc::io_error);
        CHECK(opened.value().write({}).error().code ==
              storage_errc::failed_before);
        disk.lose_power(kept, false);
        auto again = open(disk);
        REQUIRE(again.has_value());
        auto const found = again.value().take_contents();
        CHECK(found.entries.size() == 1 + (kept >= 41 + 44 ? 1U : 0U) +
                                          (kept >= 41 + 44 + 43 ? 1U : 0U));
        CHECK(found.hard.term == (kept >= 41 ? 2 : 0));
    }
}

// Guards against a full disk that damages the log or is reported as another
// error, and against further writes after it.
TEST_CASE("a full disk is reported and the store rejects further calls")
{
    std::size_t full = 0;
    for (std::size_t free_bytes = 0;; ++free_bytes)
    {
        CAPTURE(free_bytes);
        memory_disk disk;
        disk.free_bytes = free_bytes;
        // Short writes must be continued.
        disk.max_write_bytes = 7;
        std::vector<contents> allowed(1);
        std::optional<storage_error> error;
        if (auto opened = open(disk); !opened)
            error = opened.error();
        else
            for (auto const& it : sample_calls())
            {
                allowed = it.intermediate_contents(allowed.back());
                if (auto const done = it.run(opened.value()); !done)
                {
                    error = done.error();
                    CHECK(it.run(opened.value()).error().code ==
                          storage_errc::failed_before);
                    break;
                }
                allowed = {allowed.back()};
            }
        if (!error)
            break;
        ++full;
        CHECK(error->code == storage_errc::disk_full);
        CHECK(error->system_error == ENOSPC);
        CHECK(error->file.starts_with("data/"));
        disk.free_bytes = 10'000;
        auto again = open(disk);
        REQUIRE(again.has_value());
        CHECK(std::find(allowed.begin(), allowed.end(),
                        again.value().take_contents()) != allowed.end());
    }
    MESSAGE("disk full at " << full << " sizes");
    CHECK(full > 1'000);
}

} // namespace basilreach::storage::test
