#ifndef BASILREACH_CONSENSUS_PEER_MESSAGE_HPP
#define BASILREACH_CONSENSUS_PEER_MESSAGE_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <basilreach/consensus/log_entry.hpp>
#include <basilreach/consensus/membership.hpp>

namespace basilreach::consensus
{

// Asks whether the receiver would grant its vote; changes no host's term.
struct pre_vote_request
{
    std::uint64_t proposed_term = 0;
    std::uint64_t last_index = 0;
    std::uint64_t last_term = 0;

    friend auto operator<=>(pre_vote_request const&,
                            pre_vote_request const&) = default;
};

struct pre_vote_reply
{
    std::uint64_t proposed_term = 0;
    bool granted = false;

    friend auto operator<=>(pre_vote_reply const&,
                            pre_vote_reply const&) = default;
};

// Requests the vote in the term of the message.
struct vote_request
{
    std::uint64_t last_index = 0;
    std::uint64_t last_term = 0;

    friend auto operator<=>(vote_request const&, vote_request const&) = default;
};

struct vote_reply
{
    bool granted = false;

    friend auto operator<=>(vote_reply const&, vote_reply const&) = default;
};

// Log entries that follow the one at previous_index. Without entries it is a
// heartbeat.
struct append_request
{
    std::uint64_t previous_index = 0;
    std::uint64_t previous_term = 0;
    std::uint64_t commit_index = 0;
    // Number of the leader's heartbeat round; the reply repeats it.
    std::uint64_t round = 0;
    std::vector<log_entry> entries;

    friend auto operator<=>(append_request const&,
                            append_request const&) = default;
};

struct append_reply
{
    bool accepted = false;
    // When accepted, the last index known to match the leader's log; otherwise
    // the last index at which the logs may still match.
    std::uint64_t index = 0;
    std::uint64_t round = 0;

    friend auto operator<=>(append_reply const&, append_reply const&) = default;
};

// A part of a snapshot's state, from a byte offset on.
struct snapshot_chunk
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    membership members;
    std::uint64_t total_bytes = 0;
    std::uint64_t offset = 0;
    std::string bytes;
    std::uint64_t round = 0;

    friend auto operator<=>(snapshot_chunk const&,
                            snapshot_chunk const&) = default;
};

struct snapshot_reply
{
    std::uint64_t index = 0;
    // The offset of the next byte that the receiver needs.
    std::uint64_t next_offset = 0;
    // Whether the receiver has all state up to index.
    bool complete = false;
    std::uint64_t round = 0;

    friend auto operator<=>(snapshot_reply const&,
                            snapshot_reply const&) = default;
};

using peer_message_body = std::variant<pre_vote_request,
                                       pre_vote_reply,
                                       vote_request,
                                       vote_reply,
                                       append_request,
                                       append_reply,
                                       snapshot_chunk,
                                       snapshot_reply>;

// A message between two control hosts, with the sender's term.
struct peer_message
{
    host_name from;
    host_name to;
    std::uint64_t term = 0;
    peer_message_body body;

    friend auto operator<=>(peer_message const&, peer_message const&) = default;
};

} // namespace basilreach::consensus

#endif
