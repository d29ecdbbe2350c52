#ifndef BASILREACH_BASE_TABLE_HPP
#define BASILREACH_BASE_TABLE_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace basilreach
{

// Identifies a row of a table. The generation distinguishes a row from earlier
// rows with the same index, so that a late event for an erased row does not
// find its successor.
struct row_id
{
    std::uint32_t index = 0;
    std::uint32_t generation = 0;

    friend auto operator<=>(row_id const&, row_id const&) = default;
};

// A slot map: rows in contiguous storage, with identifiers that stay valid
// until the row is erased. Insert, erase and find take constant time.
template <class Row>
class table
{
public:
    // Adds a row and returns its identifier.
    row_id insert(Row row)
    {
        if (free_.empty())
        {
            slots_.push_back({std::move(row), 1});
            ++size_;
            return {static_cast<std::uint32_t>(slots_.size() - 1), 1};
        }
        std::uint32_t const index = free_.back();
        free_.pop_back();
        slots_[index].row = std::move(row);
        ++size_;
        return {index, slots_[index].generation};
    }

    // Erases a row. Returns whether it was in the table.
    bool erase(row_id id)
    {
        if (find(id) == nullptr)
            return false;
        slots_[id.index].row.reset();
        ++slots_[id.index].generation;
        free_.push_back(id.index);
        --size_;
        return true;
    }

    // Returns the row, or null if it has been erased. The pointer is valid
    // until the next insertion.
    [[nodiscard]] Row* find(row_id id)
    {
        if (id.index >= slots_.size())
            return nullptr;
        auto& it = slots_[id.index];
        return it.row && it.generation == id.generation ? &*it.row : nullptr;
    }

    [[nodiscard]] Row const* find(row_id id) const
    {
        return const_cast<table*>(this)->find(id);
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return size_;
    }

    [[nodiscard]] bool empty() const noexcept
    {
        return size_ == 0;
    }

    // Calls f(row_id, row) for each row in order of index. It visits the whole
    // table, so it is for rare events only and not for a tick.
    template <class Function>
    void for_each(Function f)
    {
        for (std::uint32_t n = 0; n != slots_.size(); ++n)
            if (slots_[n].row)
                f(row_id{n, slots_[n].generation}, *slots_[n].row);
    }

    template <class Function>
    void for_each(Function f) const
    {
        for (std::uint32_t n = 0; n != slots_.size(); ++n)
            if (slots_[n].row)
                f(row_id{n, slots_[n].generation}, *slots_[n].row);
    }

private:
    struct slot
    {
        std::optional<Row> row;
        std::uint32_t generation;
    };

    std::vector<slot> slots_;
    std::vector<std::uint32_t> free_;
    std::size_t size_ = 0;
};

} // namespace basilreach

template <>
struct std::hash<basilreach::row_id>
{
    std::size_t operator()(basilreach::row_id id) const noexcept
    {
        return std::hash<std::uint64_t>{}(
            (std::uint64_t{id.generation} << 32U) | id.index);
    }
};

#endif
