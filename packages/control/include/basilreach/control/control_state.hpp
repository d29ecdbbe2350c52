#ifndef BASILREACH_CONTROL_CONTROL_STATE_HPP
#define BASILREACH_CONTROL_CONTROL_STATE_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <basilreach/base/result.hpp>
#include <basilreach/control/command.hpp>
#include <basilreach/control/command_answer.hpp>

namespace basilreach::control
{

// Why a text is no rules file: one line for each error.
struct rules_errors
{
    std::vector<std::string> lines;

    friend bool operator==(rules_errors const&, rules_errors const&) = default;
};

// Turns the text of a rules file into rules. The result must depend on the
// text only, or replicas differ.
using rules_parser =
    std::function<result<rules::rule_set, rules_errors>(std::string_view)>;

struct daemon_entry
{
    data_centre_name data_centre;
    // Set by remove_daemon: the lease is no longer renewed.
    bool is_removed = false;

    friend bool operator==(daemon_entry const&, daemon_entry const&) = default;
};

struct server_entry
{
    group_name group;
    data_centre_name data_centre;
    std::string address;
    // Sequence of the last announcement.
    std::uint64_t sequence = 0;
    bool is_leaving = false;
    // No longer counted in the group; kept for its sequences.
    bool is_removed = false;
    verdict health = verdict::none;
    std::uint64_t verdict_sequence = 0;
    std::uint64_t incarnation = 0;
    server_role role = server_role::unknown;

    friend bool operator==(server_entry const&, server_entry const&) = default;
};

enum class group_phase : std::uint8_t
{
    serving,
    // The term has ended; daemons stop relaying its results.
    fencing,
    // A server has been chosen and has not yet accepted its term.
    choosing
};

struct group_entry
{
    // Term of the primary, or of the candidate while choosing.
    std::uint64_t term = 0;
    group_phase phase = group_phase::serving;
    // The primary; while fencing the last one, while choosing the candidate.
    // Absent until the first one is chosen.
    std::optional<server_name> primary;
    // Revision of the last begin_fencing.
    std::uint64_t fenced_at = 0;

    friend bool operator==(group_entry const&, group_entry const&) = default;
};

// A command that carried an id, and the answer it got.
struct history_entry
{
    std::uint64_t revision = 0;
    change_id id;
    std::string author;
    // Tells a resent command from another one under the same id.
    std::uint64_t content_hash = 0;
    first_answer answer;
    // Whether the command made a new version of the rules.
    bool made_version = false;

    friend bool operator==(history_entry const&,
                           history_entry const&) = default;
};

// Entries of the history that are kept, about one day at 19,000 changes a
// day. Dropping older ones is safe: a later resend of a change of the rules
// conflicts by its base version, and the other commands may be repeated.
inline constexpr std::size_t history_limit = 20'000;

// Everything in the control state but the parsed rules, which follow from the
// text. A codec encodes this value as the snapshot.
struct control_parts
{
    std::uint64_t revision = 0;
    std::uint64_t rules_version = 0;
    // The change that made the version.
    change_id rules_id;
    std::string rules_text;
    std::set<key_digest> withdrawn;
    std::map<daemon_name, daemon_entry> daemons;
    std::map<server_name, server_entry> servers;
    std::map<group_name, group_entry> groups;
    // Oldest first.
    std::deque<history_entry> history;

    friend bool operator==(control_parts const&,
                           control_parts const&) = default;
};

// The replicated control state. Control hosts and daemons that apply the same
// commands under the same indices hold equal states. A copy is a snapshot.
class control_state
{
public:
    explicit control_state(rules_parser parser);

    // Rebuilds a state from a snapshot; fails when the text does not parse.
    static result<control_state, rules_errors> restore(control_parts parts,
                                                       rules_parser parser);

    // Applies the log entry with the given index and returns its answer. The
    // index becomes the revision whatever the answer is; an index that is not
    // above the revision is refused and changes nothing.
    command_answer apply(std::uint64_t index, command const& it);

    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return parts_.revision;
    }

    [[nodiscard]] control_parts const& parts() const noexcept
    {
        return parts_;
    }

    // The rules in effect, without withdrawn keys; never null.
    [[nodiscard]] std::shared_ptr<rules::rule_set const> const&
    rules() const noexcept
    {
        return rules_;
    }

    // Whether the group's servers check positions and terms and say which of
    // them is the primary.
    [[nodiscard]] bool is_server_checked(group_name const& it) const;

    // Returns the entry, or null when the name is unknown.
    [[nodiscard]] daemon_entry const* find(daemon_name const& it) const;
    [[nodiscard]] server_entry const* find(server_name const& it) const;
    [[nodiscard]] group_entry const* find(group_name const& it) const;

    // The servers that are counted in the group, in order of name.
    [[nodiscard]] std::set<server_name> const&
    servers_of(group_name const& it) const;

    // Hash of the contents in a canonical order; equal for equal states on
    // every host.
    [[nodiscard]] std::uint64_t digest() const;

    friend bool operator==(control_state const& a, control_state const& b)
    {
        return a.parts_ == b.parts_ && *a.rules_ == *b.rules_;
    }

private:
    using handler = first_answer (control_state::*)(command const&);

    static handler const handlers[];

    first_answer apply_rules_change(command const& it);
    first_answer apply_withdrawal(command const& it);
    first_answer apply_registration(command const& it);
    first_answer apply_daemon_removal(command const& it);
    first_answer apply_forget_daemon(command const& it);
    first_answer apply_announcement(command const& it);
    first_answer apply_leaving(command const& it);
    first_answer apply_server_removal(command const& it);
    first_answer apply_verdict(command const& it);
    first_answer apply_fencing(command const& it);
    first_answer apply_choice(command const& it);
    first_answer apply_confirmation(command const& it);
    first_answer apply_offer(command const& it);

    [[nodiscard]] first_answer accept() const;
    [[nodiscard]] first_answer conflict_with(std::uint64_t base) const;
    [[nodiscard]] server_entry* find_group_member(server_name const& it);
    void replace_rules(rules::rule_set parsed, std::string const& text);
    void update_primary(server_name const& server, server_role role);
    void record(history_entry entry);
    void index_entry(std::uint64_t number);

    control_parts parts_;
    rules_parser parser_;
    std::shared_ptr<rules::rule_set const> rules_;
    // Indices over parts_, rebuilt on restore. Entries of the history are
    // numbered from the first one ever kept, so that the numbers stay valid
    // when the oldest entry is dropped.
    std::map<change_id, std::uint64_t> history_by_id_;
    std::map<std::uint64_t, std::uint64_t> history_by_version_;
    std::uint64_t first_history_number_ = 0;
    std::map<group_name, std::set<server_name>> servers_by_group_;
};

} // namespace basilreach::control

#endif
