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

// The failure of a file operation, as an errno value.
struct file_error
{
    int number = 0;

    friend auto operator<=>(file_error const&, file_error const&) = default;
};

template <class T>
using file_result = result<T, file_error>;

// The operations that the store performs on files, so that tests can put a
// crash, a short write or a full disk in the place of any of them. A handle is
// closed by the store exactly once.
struct file_operations
{
    // The names of the files in a directory, which is created when absent.
    std::function<file_result<std::vector<std::string>>(std::string const&)>
        list;
    // Locks a file against other processes until the handle is closed; fails
    // with EWOULDBLOCK when another process holds it.
    std::function<file_result<int>(std::string const&)> lock;
    // The whole content of a file.
    std::function<file_result<std::string>(std::string const&)> read;
    // Opens a file for writing and creates it when absent.
    std::function<file_result<int>(std::string const&)> open;
    // Writes at an offset and returns how many bytes were written.
    std::function<file_result<std::size_t>(
        int, std::uint64_t, std::string_view)>
        write;
    // Cuts an open file to a length.
    std::function<file_result<void>(int, std::uint64_t)> truncate;
    std::function<file_result<void>(int)> sync;
    std::function<void(int)> close;
    std::function<file_result<void>(std::string const&, std::string const&)>
        rename;
    std::function<file_result<void>(std::string const&)> remove;
    std::function<file_result<void>(std::string const&)> sync_directory;
};

// The operations of the operating system.
file_operations posix_file_operations();

} // namespace basilreach::storage

#endif
