#ifndef BASILREACH_PGWIRE_TEST_ALLOCATION_PROBE_HPP
#define BASILREACH_PGWIRE_TEST_ALLOCATION_PROBE_HPP

#include <cstddef>

namespace basilreach::pgwire::test
{

// Size in bytes of the largest allocation since this variable was last set to
// zero.
extern std::size_t largest_allocation;

} // namespace basilreach::pgwire::test

#endif
