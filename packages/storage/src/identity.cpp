#include <basilreach/storage/identity.hpp>

#include <algorithm>

namespace basilreach::storage
{

namespace
{

constexpr char identity_name[] = "identity";
constexpr char unfinished_name[] = "identity.unfinished";

storage_error to_storage_error(file_error error, char const* file)
{
    return {storage_errc::io_error, file, 0, error.number};
}

storage_result<void> write_and_sync(file_operations const& files,
                                    std::string const& path,
                                    std::string const& text)
{
    auto const handle = files.open(path);
    if (!handle)
        return to_storage_error(handle.error(), unfinished_name);
    auto const write = [&]() -> storage_result<void>
    {
        if (auto const it = files.truncate(handle.value(), 0); !it)
            return to_storage_error(it.error(), unfinished_name);
        for (std::size_t n = 0; n != text.size();)
        {
            auto const written = files.write(handle.value(), n,
                                             std::string_view(text).substr(n));
            if (!written)
                return to_storage_error(written.error(), unfinished_name);
            n += written.value();
        }
        if (auto const it = files.sync(handle.value()); !it)
            return to_storage_error(it.error(), unfinished_name);
        return success();
    };
    auto done = write();
    files.close(handle.value());
    return done;
}

} // namespace

storage_result<std::string> load_identity(file_operations const& files,
                                          std::string const& directory,
                                          std::string const& new_name)
{
    auto const path = [&directory](char const* name)
    {
        return directory + '/' + name;
    };
    auto const names = files.list(directory);
    if (!names)
        return to_storage_error(names.error(), identity_name);
    if (std::find(names.value().begin(), names.value().end(), identity_name) !=
        names.value().end())
    {
        auto text = files.read(path(identity_name));
        if (!text)
            return to_storage_error(text.error(), identity_name);
        return std::move(text.value());
    }
    BOOST_OUTCOME_TRY(write_and_sync(files, path(unfinished_name), new_name));
    if (auto const it =
            files.rename(path(unfinished_name), path(identity_name));
        !it)
        return to_storage_error(it.error(), identity_name);
    if (auto const it = files.sync_directory(directory); !it)
        return to_storage_error(it.error(), identity_name);
    return new_name;
}

} // namespace basilreach::storage
