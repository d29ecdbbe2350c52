#ifndef BASILREACH_CONSENSUS_LOG_ENTRY_HPP
#define BASILREACH_CONSENSUS_LOG_ENTRY_HPP

#include <compare>
#include <cstdint>
#include <string>

#include <basilreach/base/name.hpp>

namespace basilreach::consensus
{

// A control host. A name is never given to another host or to the same host
// with an empty data directory: it could vote twice in one term.
using host_name = name<struct control_host_tag>;

// The bytes of one entry, opaque to this package.
using entry_payload = std::string;

// What an entry does. The values are stored on disk and must not change.
enum class entry_kind : std::uint8_t
{
    // Appended by a new leader so that it can commit in its own term.
    no_op = 0,
    // A command of the replicated state; the payload is its encoding.
    command = 1,
    // Membership changes; the payload is the name of the host.
    add_learner = 2,
    promote_learner = 3,
    remove_host = 4
};

// One entry of the replicated log. The first entry has index 1.
struct log_entry
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    entry_kind kind = entry_kind::no_op;
    entry_payload payload;

    friend auto operator<=>(log_entry const&, log_entry const&) = default;
};

} // namespace basilreach::consensus

#endif
