#include <basilreach/storage/identity.hpp>

#include <doctest/doctest.h>

#include "memory_disk.hpp"

namespace basilreach::storage::test
{

// Guards against a host that restarts under another name although it has kept
// its disk.
TEST_CASE("a returned name survives a power loss after any change to the disk")
{
    for (std::size_t n = 0;; ++n)
    {
        CAPTURE(n);
        memory_disk disk;
        disk.changes_left = n / 2;
        auto const first = load_identity(disk.operations(), "d", "a=1");
        bool const has_crashed = !first.has_value();
        disk.lose_power(0, n % 2 == 1);
        auto const again = load_identity(disk.operations(), "d", "b=1");
        REQUIRE(again.has_value());
        if (!has_crashed)
        {
            CHECK(first.value() == "a=1");
            CHECK(again.value() == "a=1");
            break;
        }
        CHECK((again.value() == "a=1" || again.value() == "b=1"));
        CHECK(load_identity(disk.operations(), "d", "c=1").value() ==
              again.value());
    }
}

} // namespace basilreach::storage::test
