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
#include <basilreach/control/change_index.hpp>
#include <basilreach/control/command.hpp>
#include <basilreach/control/command_answer.hpp>
#include <basilreach/control/control_parts.hpp>
#include <basilreach/control/state_update.hpp>

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

    // Returns what a copy of this state at an earlier revision lacks. The rules
    // are given as the difference from base_text, which is the text of
    // base_version; without one as a whole. A state that was restored knows
    // only that all its rows are at most as old as its revision.
    [[nodiscard]] state_update changes_after(std::uint64_t revision,
                                             std::uint64_t base_version,
                                             std::string_view base_text) const;

    // Brings a copy of the state to the revision of the update. Changes nothing
    // and returns false if the update does not fit: it follows a later
    // revision than that of the copy, or other rules, or its rules cannot be
    // parsed.
    [[nodiscard]] bool merge(state_update const& it);

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

    // The replicas that must have received a commit before it is acknowledged,
    // in a server-checked group; 0 in others.
    [[nodiscard]] std::uint32_t sync_replicas(group_name const& it) const;

    // Return the entry, or null if the name is unknown.
    [[nodiscard]] daemon_entry const* find(daemon_name const& it) const;
    [[nodiscard]] server_entry const* find(server_name const& it) const;
    [[nodiscard]] group_entry const* find(group_name const& it) const;

    // The servers in the group, sorted by name.
    [[nodiscard]] std::set<server_name> const&
    servers_of(group_name const& it) const;

    // Whether the data centre is in service. An unknown one is.
    [[nodiscard]] bool is_in_service(data_centre_name const& it) const;

    [[nodiscard]] std::size_t count_out_of_service() const;

    // Whether the server receives no new work, because it is leaving or because
    // its data centre is out of service.
    [[nodiscard]] bool is_leaving(server_entry const& it) const;

    // Whether the server may become the primary of its group.
    [[nodiscard]] bool is_eligible_primary(server_entry const& it) const;

    // Whether the group can have no primary as long as a data centre is out of
    // service: a server there could be the primary, and no other server can.
    [[nodiscard]] bool is_out_of_service(group_name const& it) const;

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
    first_answer apply_data_centre_service(command const& it);

    [[nodiscard]] first_answer accept() const;
    [[nodiscard]] first_answer conflict_with(std::uint64_t base) const;
    [[nodiscard]] server_entry* find_group_member(server_name const& it);
    void record_change(command_body const& it);
    void merge_daemons(state_update const& it);
    [[nodiscard]] std::optional<std::string>
    text_of(rules_update const& it) const;
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
    change_index<server_name> changed_servers_;
    change_index<group_name> changed_groups_;
    change_index<key_digest> withdrawn_keys_;
    change_index<data_centre_name> changed_data_centres_;
    // Daemons that have or had an address.
    change_index<daemon_name> changed_members_;
    // Removals of daemons before this revision are not known.
    std::uint64_t restored_revision_ = 0;
};

} // namespace basilreach::control

#endif
