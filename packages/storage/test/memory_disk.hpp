#ifndef BASILREACH_STORAGE_TEST_MEMORY_DISK_HPP
#define BASILREACH_STORAGE_TEST_MEMORY_DISK_HPP

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <basilreach/storage/store.hpp>

namespace basilreach::storage::test
{

// An in-memory directory that tracks which changes have been synced, to
// simulate a power loss after any change.
class memory_disk
{
public:
    struct file
    {
        std::string content;
        std::string synced;
    };

    using directory = std::map<std::string, std::shared_ptr<file>>;

    file_operations operations()
    {
        file_operations it;
        it.list = [this](auto const&) -> file_result<std::vector<std::string>>
        {
            std::vector<std::string> found;
            for (auto const& [path, entry] : names)
                found.push_back(path.substr(path.find('/') + 1));
            return found;
        };
        it.lock = [](auto const&) -> file_result<int>
        {
            return 0;
        };
        it.read = [this](auto const& path) -> file_result<std::string>
        {
            if (!names.contains(path))
                return file_error{ENOENT};
            return names[path]->content;
        };
        it.open = [this](auto const& path) -> file_result<int>
        {
            if (!names.contains(path))
                names[path] = std::make_shared<file>();
            handles_.push_back(names[path]);
            return static_cast<int>(handles_.size() - 1);
        };
        it.write = [this](int handle, std::uint64_t offset,
                          std::string_view data) -> file_result<std::size_t>
        {
            auto const n = std::min({data.size(), max_write_bytes, free_bytes});
            if (n == 0)
                return file_error{ENOSPC};
            free_bytes -= n;
            auto& content = at(handle).content;
            content.resize(std::max(content.size(), offset + n));
            content.replace(offset, n, data.substr(0, n));
            BOOST_OUTCOME_TRY(count_change());
            return n;
        };
        it.truncate = [this](int handle, std::uint64_t size)
        {
            at(handle).content.resize(size);
            return count_change();
        };
        it.sync = [this](int handle) -> file_result<void>
        {
            if (sync_fails)
                return file_error{EIO};
            BOOST_OUTCOME_TRY(count_change());
            at(handle).synced = at(handle).content;
            return success();
        };
        it.close = [](int) {
        };
        it.rename = [this](auto const& from, auto const& to)
        {
            names[to] = names[from];
            names.erase(from);
            return count_change();
        };
        it.remove = [this](auto const& path)
        {
            names.erase(path);
            return count_change();
        };
        it.sync_directory = [this](auto const&) -> file_result<void>
        {
            BOOST_OUTCOME_TRY(count_change());
            durable_names = names;
            return success();
        };
        return it;
    }

    // Discards changes that were not synced, except those that may have reached
    // the disk early: up to kept_bytes appended to each file and, with
    // keeps_names, all creations, renames and removals of files.
    void lose_power(std::size_t kept_bytes, bool keeps_names)
    {
        if (!keeps_names)
            names = durable_names;
        for (auto const& [path, it] : names)
        {
            if (it->content.starts_with(it->synced))
                it->content.resize(std::min(it->content.size(),
                                            it->synced.size() + kept_bytes));
            else
                it->content = it->synced;
            it->synced = it->content;
        }
        changes_left = std::numeric_limits<std::size_t>::max();
        sync_fails = false;
    }

    // Returns a copy that shares no file with this one.
    [[nodiscard]] memory_disk copy() const
    {
        memory_disk it;
        for (auto const& [path, entry] : names)
            it.names[path] = std::make_shared<file>(*entry);
        it.durable_names = it.names;
        return it;
    }

    directory names;
    directory durable_names;
    // Number of changes that still succeed; every further one fails.
    std::size_t changes_left = std::numeric_limits<std::size_t>::max();
    std::size_t max_write_bytes = std::numeric_limits<std::size_t>::max();
    std::size_t free_bytes = std::numeric_limits<std::size_t>::max();
    bool sync_fails = false;

private:
    file& at(int handle)
    {
        return *handles_[static_cast<std::size_t>(handle)];
    }

    file_result<void> count_change()
    {
        if (changes_left == 0)
            return file_error{EIO};
        --changes_left;
        return success();
    }

    std::vector<std::shared_ptr<file>> handles_;
};

inline storage_result<store> open(memory_disk& disk)
{
    return store::open({"data", 400}, disk.operations());
}

// One call of the store and the contents that it may leave; a power loss can
// interrupt a write between its records.
struct store_call
{
    write_batch batch;
    std::optional<snapshot> compact;
    std::optional<snapshot> install;

    storage_result<void> run(store& it) const
    {
        return compact   ? it.compact(*compact)
               : install ? it.install(*install)
                         : it.write(batch);
    }

    // Returns the contents before the call and after each of its records.
    [[nodiscard]] std::vector<contents>
    intermediate_contents(contents now) const
    {
        std::vector<contents> found{now};
        auto const add = [&]
        {
            found.push_back(now);
        };
        if (compact || install)
        {
            now.base = compact ? compact : install;
            std::erase_if(now.entries, [&](record const& it)
                          { return install || it.index <= now.base->index; });
            add();
        }
        if (batch.hard)
        {
            now.hard = *batch.hard;
            add();
        }
        if (batch.truncate_from)
        {
            std::erase_if(now.entries, [&](record const& it)
                          { return it.index >= *batch.truncate_from; });
            add();
        }
        for (auto const& it : batch.append)
        {
            now.entries.push_back(it);
            add();
        }
        return found;
    }
};

// Returns calls of every kind, which fill several segments.
inline std::vector<store_call> sample_calls()
{
    std::vector<store_call> calls(1);
    calls[0].compact = snapshot{0, 0, {"a", "b", "c"}, {}, ""};
    auto const write = [&](std::optional<hard_state> const& hard,
                           std::optional<std::uint64_t> truncate,
                           std::uint64_t first, std::uint64_t last)
    {
        store_call it;
        it.batch = {hard, truncate, {}};
        for (auto n = first; n <= last; ++n)
            it.batch.append.push_back(
                {n, calls.size(), 1, std::string(n % 7, 'p')});
        calls.push_back(it);
    };
    write(hard_state{1, "a"}, {}, 1, 4);
    write({}, {}, 5, 6);
    write(hard_state{2, ""}, 4, 4, 9);
    write({}, {}, 10, 16);
    calls.emplace_back().compact = snapshot{12, 4, {"a"}, {"d"}, "state"};
    write({}, 15, 15, 15);
    write(hard_state{3, "b"}, {}, 16, 20);
    calls.emplace_back().install = snapshot{30, 9, {"a", "d"}, {}, "later"};
    write({}, {}, 31, 33);
    write({}, {}, 34, 40);
    return calls;
}

} // namespace basilreach::storage::test

#endif
