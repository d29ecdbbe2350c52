#include <basilreach/storage/store.hpp>

#include <chrono>
#include <cstdlib>
#include <filesystem>

#include <doctest/doctest.h>

namespace basilreach::storage::test
{

// Guards against a restart on a real file system that loses data or takes too
// long, and against two processes that write to one directory.
TEST_CASE("1000 entries are read back after a restart")
{
    std::string path = std::filesystem::temp_directory_path() / "storeXXXXXX";
    REQUIRE(mkdtemp(path.data()) != nullptr);
    store_settings const settings{path + "/data", 16'384};
    snapshot const base{500, 1, {"a", "b", "c"}, {}, std::string(5'000, 's')};
    contents expected{{3, "b"}, base, {}};
    {
        auto opened = store::open(settings, posix_file_operations());
        REQUIRE(opened.has_value());
        CHECK(store::open(settings, posix_file_operations()).error().code ==
              storage_errc::in_use);
        REQUIRE(opened.value().compact({0, 0, base.voters, {}, ""}));
        REQUIRE(opened.value().write({expected.hard, {}, {}}));
        for (std::uint64_t n = 1; n <= 1'000; ++n)
        {
            record const it{n, 1, 1, std::string(100, 'x')};
            REQUIRE(opened.value().write({{}, {}, {it}}));
            if (n > base.index)
                expected.entries.push_back(it);
        }
        REQUIRE(opened.value().compact(base));
    }
    auto const start = std::chrono::steady_clock::now();
    auto opened = store::open(settings, posix_file_operations());
    auto const took = std::chrono::steady_clock::now() - start;
    REQUIRE(opened.has_value());
    CHECK(opened.value().take_contents() == expected);
    MESSAGE(
        "opened in "
        << std::chrono::duration_cast<std::chrono::microseconds>(took).count()
        << " us");
    CHECK(took < std::chrono::seconds{1});
    std::filesystem::remove_all(path);
}

} // namespace basilreach::storage::test
