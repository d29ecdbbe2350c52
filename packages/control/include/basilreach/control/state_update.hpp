#ifndef BASILREACH_CONTROL_STATE_UPDATE_HPP
#define BASILREACH_CONTROL_STATE_UPDATE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include <basilreach/control/control_parts.hpp>
#include <basilreach/rules/text_delta.hpp>

namespace basilreach::control
{

// A version of the rules as the difference from another one.
struct rules_update
{
    std::uint64_t version = 0;
    change_id id;
    // The version that the delta refers to; 0 for the empty text.
    std::uint64_t base_version = 0;
    rules::text_delta delta;

    friend bool operator==(rules_update const&, rules_update const&) = default;
};

// What a daemon needs to bring its copy of the control state to a revision: the
// rows that have changed since its own revision, whatever the number of
// commands. Of the registered daemons it has those with an address; the history
// stays at the control hosts.
struct state_update
{
    // The revision that the rows have changed since; 0 for the whole state.
    std::uint64_t after = 0;
    std::uint64_t revision = 0;
    // Absent if the rules have not changed.
    std::optional<rules_update> rules;
    // Keys withdrawn since.
    std::set<key_digest> withdrawn;
    std::map<server_name, server_entry> servers;
    std::map<group_name, group_entry> groups;
    std::map<data_centre_name, data_centre_entry> data_centres;
    // Daemons that have an address, or had one until a change or removal.
    std::map<daemon_name, daemon_entry> daemons;
    // Whether the copy must forget daemons that are not listed.
    bool has_all_daemons = false;

    friend bool operator==(state_update const&, state_update const&) = default;
};

} // namespace basilreach::control

#endif
