#ifndef BASILREACH_STORAGE_FILE_OPERATIONS_HPP
#define BASILREACH_STORAGE_FILE_OPERATIONS_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <basilreach/base/result.hpp>

namespace basilreach::storage
{

// The failure of a file operation.
struct file_error
{
    // The errno value.
    int number = 0;

    friend auto operator<=>(file_error const&, file_error const&) = default;
};

template <class T>
using file_result = result<T, file_error>;

// The file operations that the store uses. Tests replace them to simulate a
// crash, a short write or a full disk. The store closes each handle exactly
// once.
struct file_operations
{
    // Returns the names of the files in a directory, which is created when
    // absent.
    std::function<file_result<std::vector<std::string>>(std::string const&)>
        list;
    // Takes an exclusive lock on a file, which is created when absent, until
    // the handle is closed; fails with EWOULDBLOCK when another process holds
    // the lock.
    std::function<file_result<int>(std::string const&)> lock;
    // Returns the whole content of a file.
    std::function<file_result<std::string>(std::string const&)> read;
    // Opens a file for writing and creates it when absent.
    std::function<file_result<int>(std::string const&)> open;
    // Writes at an offset and returns how many bytes were written.
    std::function<file_result<std::size_t>(
        int, std::uint64_t, std::string_view)>
        write;
    // Truncates an open file to a length.
    std::function<file_result<void>(int, std::uint64_t)> truncate;
    std::function<file_result<void>(int)> sync;
    std::function<void(int)> close;
    std::function<file_result<void>(std::string const&, std::string const&)>
        rename;
    std::function<file_result<void>(std::string const&)> remove;
    std::function<file_result<void>(std::string const&)> sync_directory;
};

// Returns the operations on the real file system.
file_operations posix_file_operations();

} // namespace basilreach::storage

#endif
