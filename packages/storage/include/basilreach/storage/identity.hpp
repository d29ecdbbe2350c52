#ifndef BASILREACH_STORAGE_IDENTITY_HPP
#define BASILREACH_STORAGE_IDENTITY_HPP

#include <string>

#include <basilreach/storage/file_operations.hpp>
#include <basilreach/storage/store.hpp>

namespace basilreach::storage
{

// Returns the name that a data directory was given when it was first used, and
// gives it `fresh` if it has none. The name is synced before this returns: a
// host that has lost its disk must not be taken for the one that it was.
[[nodiscard]] storage_result<std::string>
load_identity(file_operations const& files,
              std::string const& directory,
              std::string const& fresh);

} // namespace basilreach::storage

#endif
