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

// The errors in the text of a rules file, one line for each.
struct rules_errors
{
    std::vector<std::string> lines;

    friend bool operator==(rules_errors const&, rules_errors const&) = default;
};

// Parses the text of a rules file. The result must depend on the text only;
// otherwise the replicated states would differ.
using rules_parser =
    std::function<result<rules::rule_set, rules_errors>(std::string_view)>;

struct daemon_entry
{
    data_centre_name data_centre;
    // Set by remove_daemon: the daemon's lease is no longer renewed.
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
    // The server is no longer in the group. The entry is kept for its
    // sequences, against late announcements.
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
    // The term has ended: daemons stop relaying results of it.
    fencing,
    // A server has been chosen and has not yet accepted its term.
    choosing
};

struct group_entry
{
    // Term of the primary, or of the candidate while choosing.
    std::uint64_t term = 0;
    group_phase phase = group_phase::serving;
    // While serving the primary, while fencing the last primary, while choosing
    // the candidate. Absent before the first one; in a server-checked group
    // also after the primary reported another role or was removed.
    std::optional<server_name> primary;
    // Revision of the begin_fencing that last started the phase fencing.
    std::uint64_t fenced_at = 0;

    friend bool operator==(group_entry const&, group_entry const&) = default;
};

// A command that had an id, and the answer to it.
struct history_entry
{
    std::uint64_t revision = 0;
    change_id id;
    std::string author;
    // Distinguishes a resent command from a different one with the same id.
    std::uint64_t content_hash = 0;
    first_answer answer;
    // Whether the command created a new version of the rules.
    bool made_version = false;

    friend bool operator==(history_entry const&,
                           history_entry const&) = default;
};

// Number of history entries that are kept: about one day at 19,000 changes a
// day. Older ones can be dropped: a change of the rules that is sent again
// later conflicts by its base version, and other commands may be applied again.
inline constexpr std::size_t history_limit = 20'000;

// The control state without the parsed rules, which result from the text. This
// value is encoded as the snapshot.
struct control_parts
{
    std::uint64_t revision = 0;
    std::uint64_t rules_version = 0;
    // Id of the change that created the version.
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

// The replicated control state, a deterministic state machine. Control hosts
// and daemons that apply the same commands at the same log indices have equal
// states. A copy serves as a snapshot.
class control_state
{
public:
    explicit control_state(rules_parser parser);

    // Restores a state from a snapshot. Fails if the rules text does not parse.
    static result<control_state, rules_errors> restore(control_parts parts,
                                                       rules_parser parser);

    // Applies the command of the log entry at an index and returns the answer.
    // The index becomes the revision whatever the answer is. An index that is
    // not greater than the revision is refused and changes nothing.
    command_answer apply(std::uint64_t index, command const& it);

    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return parts_.revision;
    }

    [[nodiscard]] control_parts const& parts() const noexcept
    {
        return parts_;
    }

    // The rules in effect, without the withdrawn keys; never null.
    [[nodiscard]] std::shared_ptr<rules::rule_set const> const&
    rules() const noexcept
    {
        return rules_;
    }

    // Whether the group is server-checked: its servers check positions and
    // terms and report which of them is the primary.
    [[nodiscard]] bool is_server_checked(group_name const& it) const;

    // Return the entry, or null if the name is unknown.
    [[nodiscard]] daemon_entry const* find(daemon_name const& it) const;
    [[nodiscard]] server_entry const* find(server_name const& it) const;
    [[nodiscard]] group_entry const* find(group_name const& it) const;

    // The servers in the group, sorted by name.
    [[nodiscard]] std::set<server_name> const&
    servers_of(group_name const& it) const;

    // Returns a hash of the contents in a canonical order. It is equal for
    // equal states on every machine.
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
    // Indices into parts_, rebuilt by restore(). History entries are numbered
    // from the first one that this object recorded or restored, so that the
    // numbers stay valid when the oldest entry is dropped.
    std::map<change_id, std::uint64_t> history_by_id_;
    std::map<std::uint64_t, std::uint64_t> history_by_version_;
    std::uint64_t first_history_number_ = 0;
    std::map<group_name, std::set<server_name>> servers_by_group_;
};

} // namespace basilreach::control

#endif
