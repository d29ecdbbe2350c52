#ifndef BASILREACH_CONSENSUS_LOG_ENTRY_HPP
#define BASILREACH_CONSENSUS_LOG_ENTRY_HPP

#include <compare>
#include <cstdint>
#include <string>

#include <basilreach/base/name.hpp>

namespace basilreach::consensus
{

// Names a control host. A name is never reused for another host, or for the
// same host after it lost its data directory: two votes could be cast under one
// name in one term.
using host_name = name<struct control_host_tag>;

// The payload of a log entry. This package interprets only the payloads of
// membership changes.
using entry_payload = std::string;

// The kind of a log entry. The values are stored on disk and must not change.
enum class entry_kind : std::uint8_t
{
    // Appended by a new leader so that it can commit in its own term.
    no_op = 0,
    // A command for the replicated state; the payload is its encoding.
    command = 1,
    // Membership changes; the payload is the name of the host.
    add_learner = 2,
    promote_learner = 3,
    remove_host = 4
};

// One entry of the replicated log. Indices start at 1, the index of
// first_snapshot(), so that the first entry in a log has index 2.
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
