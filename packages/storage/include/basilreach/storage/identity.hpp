#ifndef BASILREACH_STORAGE_IDENTITY_HPP
#define BASILREACH_STORAGE_IDENTITY_HPP

#include <string>

#include <basilreach/storage/file_operations.hpp>
#include <basilreach/storage/store.hpp>

namespace basilreach::storage
{

// Returns the host name stored in a data directory; stores `new_name` first if
// there is none. The name is synced before this returns. A host that has lost
// its disk can thus come back under another name, and its peers don't take it
// for the host that had the log.
[[nodiscard]] storage_result<std::string>
load_identity(file_operations const& files,
              std::string const& directory,
              std::string const& new_name);

} // namespace basilreach::storage

#endif
