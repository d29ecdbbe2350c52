#include "allocation_probe.hpp"

#include <algorithm>
#include <cstdlib>
#include <new>

std::size_t basilreach::pgwire::test::largest_allocation = 0;

void* operator new(std::size_t size)
{
    auto& largest = basilreach::pgwire::test::largest_allocation;
    largest = std::max(largest, size);
    if (void* const memory = std::malloc(size))
        return memory;
    throw std::bad_alloc{};
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}
