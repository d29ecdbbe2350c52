#include <basilreach/storage/file_operations.hpp>

#include <array>
#include <cerrno>
#include <filesystem>
#include <system_error>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace basilreach::storage
{

namespace
{

file_result<void> check(int status)
{
    if (status != 0)
        return file_error{errno};
    return success();
}

// Repeats a system call as long as a signal interrupts it.
template <class Function>
auto retry(Function f)
{
    auto it = f();
    while (it < 0 && errno == EINTR)
        it = f();
    return it;
}

file_result<int> open_file(std::string const& path, int flags)
{
    int const handle =
        retry([&] { return ::open(path.c_str(), flags | O_CLOEXEC, 0600); });
    if (handle < 0)
        return file_error{errno};
    return handle;
}

file_result<int> open_to_write(std::string const& path)
{
    return open_file(path, O_RDWR | O_CREAT);
}

file_result<void> sync_directory(std::string const& path)
{
    BOOST_OUTCOME_TRY(handle, open_file(path, O_RDONLY | O_DIRECTORY));
    auto const status = check(::fsync(handle));
    ::close(handle);
    return status;
}

file_result<std::vector<std::string>> list(std::string const& path)
{
    namespace fs = std::filesystem;
    std::error_code ec;
    if (fs::create_directories(path, ec))
    {
        // Makes the creation of the directory durable.
        auto const parent = fs::absolute(path, ec).parent_path();
        BOOST_OUTCOME_TRY(sync_directory(parent.string()));
    }
    std::vector<std::string> names;
    for (fs::directory_iterator it{path, ec}, end; !ec && it != end;
         it.increment(ec))
        names.push_back(it->path().filename().string());
    if (ec)
        return file_error{ec.value()};
    return names;
}

file_result<int> lock(std::string const& path)
{
    BOOST_OUTCOME_TRY(handle, open_to_write(path));
    if (::flock(handle, LOCK_EX | LOCK_NB) == 0)
        return handle;
    int const number = errno;
    ::close(handle);
    return file_error{number};
}

file_result<std::string> read(std::string const& path)
{
    BOOST_OUTCOME_TRY(handle, open_file(path, O_RDONLY));
    std::string content;
    std::array<char, 65536> buf{};
    ssize_t n = 0;
    while ((n = retry([&] { return ::read(handle, buf.data(), buf.size()); })) >
           0)
        content.append(buf.data(), static_cast<std::size_t>(n));
    int const number = errno;
    ::close(handle);
    if (n < 0)
        return file_error{number};
    return content;
}

file_result<std::size_t>
write(int handle, std::uint64_t offset, std::string_view data)
{
    auto const n = retry(
        [&]
        {
            return ::pwrite(handle, data.data(), data.size(),
                            static_cast<off_t>(offset));
        });
    if (n < 0)
        return file_error{errno};
    return static_cast<std::size_t>(n);
}

} // namespace

file_operations posix_file_operations()
{
    file_operations it;
    it.list = list;
    it.lock = lock;
    it.read = read;
    it.open = open_to_write;
    it.write = write;
    it.truncate = [](int handle, std::uint64_t size)
    {
        return check(::ftruncate(handle, static_cast<off_t>(size)));
    };
    it.sync = [](int handle)
    {
        return check(::fsync(handle));
    };
    it.close = [](int handle)
    {
        ::close(handle);
    };
    it.rename = [](std::string const& from, std::string const& to)
    {
        return check(::rename(from.c_str(), to.c_str()));
    };
    it.remove = [](std::string const& path)
    {
        return check(::unlink(path.c_str()));
    };
    it.sync_directory = sync_directory;
    return it;
}

} // namespace basilreach::storage
