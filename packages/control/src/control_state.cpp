#include <basilreach/control/control_state.hpp>

#include <algorithm>
#include <utility>

#include "canonical_hash.hpp"

namespace basilreach::control
{

namespace
{

using detail::canonical_hash;

void add_to(canonical_hash& h, apply_rules const& it)
{
    h.add(it.base_version).add(it.text);
}

void add_to(canonical_hash& h, withdraw_key const& it)
{
    h.add(it.digest);
}

void add_to(canonical_hash& h, register_daemon const& it)
{
    h.add(it.daemon).add(it.data_centre);
    // Keeps the hash of a registration that was recorded without an address.
    if (!it.address.empty())
        h.add(it.address);
}

void add_to(canonical_hash& h, remove_daemon const& it)
{
    h.add(it.daemon);
}

void add_to(canonical_hash& h, forget_daemon const& it)
{
    h.add(it.daemon);
}

void add_to(canonical_hash& h, announce_server const& it)
{
    h.add(it.server).add(it.group).add(it.data_centre).add(it.address);
    h.add(it.sequence).add(it.incarnation).add(it.role).add(it.is_leaving);
}

void add_to(canonical_hash& h, announce_leaving const& it)
{
    h.add(it.server).add(it.sequence).add(it.incarnation);
}

void add_to(canonical_hash& h, remove_server const& it)
{
    h.add(it.server).add(it.sequence).add(it.incarnation);
}

void add_to(canonical_hash& h, report_verdict const& it)
{
    h.add(it.server).add(it.sequence).add(it.value);
}

void add_to(canonical_hash& h, begin_fencing const& it)
{
    h.add(it.group).add(it.term);
}

void add_to(canonical_hash& h, choose_primary const& it)
{
    h.add(it.group).add(it.term).add(it.server);
}

void add_to(canonical_hash& h, confirm_primary const& it)
{
    h.add(it.group).add(it.term).add(it.server);
}

void add_to(canonical_hash& h, offer_rules const& it)
{
    h.add(it.version).add(it.text);
}

void add_to(canonical_hash& h, set_data_centre_service const& it)
{
    h.add(it.data_centre).add(it.in_service);
}

void add_to(canonical_hash& h, accepted const& it)
{
    h.add(it.revision).add(it.version);
}

void add_to(canonical_hash& h, conflict const& it)
{
    h.add(it.version).add(it.winner);
}

void add_to(canonical_hash& h, superseded const& it)
{
    h.add(it.current);
}

void add_to(canonical_hash& h, refused const& it)
{
    h.add(it.reason).add(it.details.size());
    for (auto const& line : it.details)
        h.add(line);
}

void add_to(canonical_hash& h, daemon_entry const& it)
{
    h.add(it.data_centre).add(it.is_removed).add(it.address);
}

void add_to(canonical_hash& h, server_entry const& it)
{
    h.add(it.group).add(it.data_centre).add(it.address).add(it.sequence);
    h.add(it.is_leaving).add(it.is_removed);
    h.add(it.health).add(it.verdict_sequence);
    h.add(it.incarnation).add(it.role);
}

void add_to(canonical_hash& h, group_entry const& it)
{
    h.add(it.term).add(it.phase).add(it.primary.has_value());
    h.add(it.primary.value_or(server_name{})).add(it.fenced_at);
}

void add_to(canonical_hash& h, data_centre_entry const& it)
{
    h.add(it.in_service);
}

template <class... Ts>
void add_to(canonical_hash& h, std::variant<Ts...> const& it)
{
    h.add(it.index());
    std::visit([&h](auto const& value) { add_to(h, value); }, it);
}

void add_to(canonical_hash& h, history_entry const& it)
{
    h.add(it.revision).add(it.id).add(it.author).add(it.content_hash);
    h.add(it.made_version);
    add_to(h, it.answer);
}

template <class Key, class Value>
void add_to(canonical_hash& h, std::map<Key, Value> const& entries)
{
    h.add(entries.size());
    for (auto const& [key, value] : entries)
    {
        h.add(key);
        add_to(h, value);
    }
}

std::uint64_t content_hash(command_body const& it)
{
    canonical_hash h;
    add_to(h, it);
    return h.value();
}

std::string to_hex(key_digest const& it)
{
    constexpr char const* digits = "0123456789abcdef";
    std::string text;
    for (auto const byte : it)
    {
        text += digits[byte / 16];
        text += digits[byte % 16];
    }
    return text;
}

// Returns whether an announcement is not newer than the server's last one.
template <class Body>
bool is_outdated(Body const& body, server_entry const& known)
{
    return std::pair(body.incarnation, body.sequence) <=
           std::pair(known.incarnation, known.sequence);
}

refused refuse(refusal_reason reason)
{
    return {reason, {}};
}

template <class Map, class Key>
auto find_in(Map& entries, Key const& key)
{
    auto const it = entries.find(key);
    return it == entries.end() ? nullptr : &it->second;
}

} // namespace

// In the order of the alternatives of command_body.
control_state::handler const control_state::handlers[] = {
    &control_state::apply_rules_change,
    &control_state::apply_withdrawal,
    &control_state::apply_registration,
    &control_state::apply_daemon_removal,
    &control_state::apply_forget_daemon,
    &control_state::apply_announcement,
    &control_state::apply_leaving,
    &control_state::apply_server_removal,
    &control_state::apply_verdict,
    &control_state::apply_fencing,
    &control_state::apply_choice,
    &control_state::apply_confirmation,
    &control_state::apply_offer,
    &control_state::apply_data_centre_service};

control_state::control_state(rules_parser parser)
    : parser_(std::move(parser)),
      rules_(std::make_shared<rules::rule_set const>())
{
    static_assert(std::size(handlers) == std::variant_size_v<command_body>);
}

result<control_state, rules_errors> control_state::restore(control_parts parts,
                                                           rules_parser parser)
{
    control_state state(std::move(parser));
    if (parts.rules_version != 0)
    {
        auto parsed = state.parser_(parts.rules_text);
        if (!parsed)
            return parsed.error();
        rules::rule_set granted = std::move(parsed).value();
        for (auto const& digest : parts.withdrawn)
            granted.keys.erase(digest);
        state.rules_ =
            std::make_shared<rules::rule_set const>(std::move(granted));
    }
    state.parts_ = std::move(parts);
    for (std::size_t n = 0; n != state.parts_.history.size(); ++n)
        state.index_entry(n);
    auto const revision = state.parts_.revision;
    for (auto const& [server, entry] : state.parts_.servers)
    {
        state.changed_servers_.record(server, revision);
        if (!entry.is_removed)
            state.servers_by_group_[entry.group].insert(server);
    }
    for (auto const& [group, entry] : state.parts_.groups)
        state.changed_groups_.record(group, revision);
    for (auto const& digest : state.parts_.withdrawn)
        state.withdrawn_keys_.record(digest, revision);
    for (auto const& [data_centre, entry] : state.parts_.data_centres)
        state.changed_data_centres_.record(data_centre, revision);
    for (auto const& [daemon, entry] : state.parts_.daemons)
        if (!entry.address.empty())
            state.changed_members_.record(daemon, revision);
    state.restored_revision_ = revision;
    return state;
}

command_answer control_state::apply(std::uint64_t index, command const& it)
{
    if (index <= parts_.revision)
        return refuse(refusal_reason::index_applied);
    parts_.revision = index;
    std::uint64_t const hash = content_hash(it.body);
    if (auto const number = history_by_id_.find(it.id);
        number != history_by_id_.end())
    {
        auto const& first =
            parts_.history[number->second - first_history_number_];
        if (first.content_hash != hash)
            return refuse(refusal_reason::id_reused);
        return repeated{first.answer};
    }
    std::uint64_t const version = parts_.rules_version;
    first_answer answer = (this->*handlers[it.body.index()])(it);
    record_change(it.body);
    if (!it.id.empty())
        record({index, it.id, it.author, hash, answer,
                parts_.rules_version != version});
    return std::visit(
        [](auto& value) -> command_answer { return std::move(value); }, answer);
}

// A command that was refused may be recorded too: its rows are then sent once
// more than necessary.
void control_state::record_change(command_body const& it)
{
    auto const revision = parts_.revision;
    std::visit(
        [this, revision](auto const& body)
        {
            if constexpr (requires { body.server; })
                if (auto const* const entry = find(body.server))
                {
                    changed_servers_.record(body.server, revision);
                    changed_groups_.record(entry->group, revision);
                }
            if constexpr (requires { body.group; })
                if (find(body.group) != nullptr)
                    changed_groups_.record(body.group, revision);
            if constexpr (requires { body.digest; })
                withdrawn_keys_.record(body.digest, revision);
            if constexpr (requires { body.in_service; })
                if (parts_.data_centres.contains(body.data_centre))
                    changed_data_centres_.record(body.data_centre, revision);
        },
        it);
}

state_update control_state::changes_after(std::uint64_t revision,
                                          std::uint64_t base_version,
                                          std::string_view base_text) const
{
    state_update out;
    out.after = revision;
    out.revision = parts_.revision;
    if (parts_.rules_version != base_version)
        out.rules = {parts_.rules_version, parts_.rules_id,
                     base_text.empty() ? 0 : base_version,
                     rules::make_text_delta(base_text, parts_.rules_text)};
    for (auto const& it : withdrawn_keys_.changed_after(revision))
        out.withdrawn.insert(it);
    for (auto const& it : changed_servers_.changed_after(revision))
        out.servers.emplace(it, parts_.servers.at(it));
    for (auto const& it : changed_groups_.changed_after(revision))
        out.groups.emplace(it, parts_.groups.at(it));
    for (auto const& it : changed_data_centres_.changed_after(revision))
        out.data_centres.emplace(it, parts_.data_centres.at(it));
    for (auto const& it : changed_members_.changed_after(revision))
    {
        auto const* const entry = find(it);
        out.daemons.emplace(it,
                            entry == nullptr ? daemon_entry{{}, true} : *entry);
    }
    out.has_all_daemons = revision == 0 || revision < restored_revision_;
    return out;
}

std::optional<std::string> control_state::text_of(rules_update const& it) const
{
    if (it.base_version == 0)
        return rules::apply_text_delta({}, it.delta);
    if (it.base_version != parts_.rules_version)
        return std::nullopt;
    return rules::apply_text_delta(parts_.rules_text, it.delta);
}

bool control_state::merge(state_update const& it)
{
    if (it.after > parts_.revision || it.revision <= parts_.revision)
        return false;
    auto const text = it.rules ? text_of(*it.rules) : parts_.rules_text;
    if (!text)
        return false;
    std::optional<rules::rule_set> granted;
    if (it.rules)
    {
        auto parsed = parser_(*text);
        if (!parsed)
            return false;
        granted = std::move(parsed).value();
        parts_.rules_version = it.rules->version;
        parts_.rules_id = it.rules->id;
    }
    parts_.revision = it.revision;
    parts_.withdrawn.insert(it.withdrawn.begin(), it.withdrawn.end());
    if (!granted && !it.withdrawn.empty())
        granted = *rules_;
    if (granted)
    {
        for (auto const& digest : parts_.withdrawn)
            granted->keys.erase(digest);
        replace_rules(std::move(*granted), *text);
    }
    for (auto const& [server, entry] : it.servers)
    {
        if (auto const* const known = find(server))
            servers_by_group_[known->group].erase(server);
        parts_.servers.insert_or_assign(server, entry);
        if (!entry.is_removed)
            servers_by_group_[entry.group].insert(server);
        changed_servers_.record(server, it.revision);
    }
    for (auto const& [group, entry] : it.groups)
    {
        parts_.groups.insert_or_assign(group, entry);
        changed_groups_.record(group, it.revision);
    }
    merge_daemons(it);
    for (auto const& digest : it.withdrawn)
        withdrawn_keys_.record(digest, it.revision);
    for (auto const& [data_centre, entry] : it.data_centres)
    {
        parts_.data_centres.insert_or_assign(data_centre, entry);
        changed_data_centres_.record(data_centre, it.revision);
    }
    return true;
}

void control_state::merge_daemons(state_update const& it)
{
    if (it.has_all_daemons)
        parts_.daemons.clear();
    for (auto const& [daemon, entry] : it.daemons)
    {
        parts_.daemons.erase(daemon);
        if (!entry.is_removed && !entry.address.empty())
            parts_.daemons.emplace(daemon, entry);
        changed_members_.record(daemon, it.revision);
    }
}

daemon_entry const* control_state::find(daemon_name const& it) const
{
    return find_in(parts_.daemons, it);
}

bool control_state::is_server_checked(group_name const& it) const
{
    auto const limit = rules_->server_limits.find(it);
    return limit != rules_->server_limits.end() &&
           limit->second.checked_by == rules::position_check::server;
}

std::uint32_t control_state::sync_replicas(group_name const& it) const
{
    return is_server_checked(it) ? rules_->server_limits.at(it).sync_replicas
                                 : 0;
}

server_entry const* control_state::find(server_name const& it) const
{
    return find_in(parts_.servers, it);
}

group_entry const* control_state::find(group_name const& it) const
{
    return find_in(parts_.groups, it);
}

std::set<server_name> const&
control_state::servers_of(group_name const& it) const
{
    static std::set<server_name> const empty;
    auto const* servers = find_in(servers_by_group_, it);
    return servers == nullptr ? empty : *servers;
}

bool control_state::is_in_service(data_centre_name const& it) const
{
    auto const* const entry = find_in(parts_.data_centres, it);
    return entry == nullptr || entry->in_service;
}

std::size_t control_state::count_out_of_service() const
{
    return static_cast<std::size_t>(
        std::count_if(parts_.data_centres.begin(), parts_.data_centres.end(),
                      [](auto const& it) { return !it.second.in_service; }));
}

bool control_state::is_leaving(server_entry const& it) const
{
    return it.is_leaving || !is_in_service(it.data_centre);
}

bool control_state::is_eligible_primary(server_entry const& it) const
{
    return !it.is_removed && it.health != verdict::down && !is_leaving(it);
}

bool control_state::is_out_of_service(group_name const& it) const
{
    bool has_stopped = false;
    for (auto const& name : servers_of(it))
    {
        auto const& server = parts_.servers.at(name);
        if (is_eligible_primary(server))
            return false;
        has_stopped = has_stopped || (!server.is_leaving &&
                                      !is_in_service(server.data_centre));
    }
    return has_stopped;
}

std::uint64_t control_state::digest() const
{
    canonical_hash h;
    h.add(parts_.revision).add(parts_.rules_version).add(parts_.rules_id);
    h.add(parts_.rules_text).add(parts_.withdrawn.size());
    for (auto const& digest : parts_.withdrawn)
        h.add(digest);
    add_to(h, parts_.daemons);
    add_to(h, parts_.servers);
    add_to(h, parts_.groups);
    h.add(parts_.history.size());
    for (auto const& entry : parts_.history)
        add_to(h, entry);
    // Without such rows the digest is that of earlier versions.
    if (!parts_.data_centres.empty())
        add_to(h, parts_.data_centres);
    return h.value();
}

first_answer control_state::apply_rules_change(command const& it)
{
    auto const& change = std::get<apply_rules>(it.body);
    if (it.id.empty())
        return refuse(refusal_reason::id_missing);
    if (change.base_version > parts_.rules_version)
        return refuse(refusal_reason::unknown_version);
    if (change.base_version < parts_.rules_version)
        return conflict_with(change.base_version);
    auto parsed = parser_(change.text);
    if (!parsed)
        return refused{refusal_reason::invalid_rules, parsed.error().lines};
    refused withdrawn{refusal_reason::withdrawn_key, {}};
    for (auto const& [digest, workspace] : parsed.value().keys)
        if (parts_.withdrawn.contains(digest))
            withdrawn.details.push_back(to_hex(digest));
    if (!withdrawn.details.empty())
        return withdrawn;
    replace_rules(std::move(parsed).value(), change.text);
    parts_.rules_id = it.id;
    ++parts_.rules_version;
    return accept();
}

first_answer control_state::apply_offer(command const& it)
{
    auto const& offer = std::get<offer_rules>(it.body);
    auto parsed = parser_(offer.text);
    if (!parsed)
        return refused{refusal_reason::invalid_rules, parsed.error().lines};
    if (offer.version <= parts_.rules_version)
        return superseded{parts_.rules_version};
    for (auto const& digest : parts_.withdrawn)
        parsed.value().keys.erase(digest);
    replace_rules(std::move(parsed).value(), offer.text);
    parts_.rules_id = it.id;
    parts_.rules_version = offer.version;
    return accept();
}

void control_state::replace_rules(rules::rule_set parsed,
                                  std::string const& text)
{
    rules_ = std::make_shared<rules::rule_set const>(std::move(parsed));
    parts_.rules_text = text;
}

first_answer control_state::apply_withdrawal(command const& it)
{
    auto const& digest = std::get<withdraw_key>(it.body).digest;
    parts_.withdrawn.insert(digest);
    if (rules_->keys.contains(digest))
    {
        rules::rule_set granted = *rules_;
        granted.keys.erase(digest);
        rules_ = std::make_shared<rules::rule_set const>(std::move(granted));
    }
    return accept();
}

first_answer control_state::apply_registration(command const& it)
{
    auto const& body = std::get<register_daemon>(it.body);
    auto& entry = parts_.daemons[body.daemon];
    if (!entry.address.empty() || !body.address.empty())
        changed_members_.record(body.daemon, parts_.revision);
    entry = {body.data_centre, false, body.address};
    return accept();
}

first_answer control_state::apply_daemon_removal(command const& it)
{
    auto const& body = std::get<remove_daemon>(it.body);
    auto* const entry = find_in(parts_.daemons, body.daemon);
    if (entry == nullptr)
        return refuse(refusal_reason::unknown_daemon);
    entry->is_removed = true;
    if (!entry->address.empty())
        changed_members_.record(body.daemon, parts_.revision);
    return accept();
}

first_answer control_state::apply_forget_daemon(command const& it)
{
    auto const& body = std::get<forget_daemon>(it.body);
    auto const* const entry = find(body.daemon);
    if (entry == nullptr)
        return refuse(refusal_reason::unknown_daemon);
    if (!entry->is_removed)
        return refuse(refusal_reason::daemon_not_removed);
    parts_.daemons.erase(body.daemon);
    return accept();
}

first_answer control_state::apply_announcement(command const& it)
{
    auto const& body = std::get<announce_server>(it.body);
    auto* const known = find_in(parts_.servers, body.server);
    if (known != nullptr)
    {
        if (is_outdated(body, *known))
            return superseded{known->sequence};
        if (!known->is_removed && known->group != body.group)
            return refuse(refusal_reason::server_in_other_group);
    }
    auto& entry = parts_.servers[body.server];
    // A verdict on an earlier incarnation does not apply to this one.
    if (entry.incarnation != body.incarnation)
        entry.health = verdict::none;
    entry.group = body.group;
    entry.data_centre = body.data_centre;
    entry.address = body.address;
    entry.sequence = body.sequence;
    entry.incarnation = body.incarnation;
    entry.is_leaving = body.is_leaving;
    entry.is_removed = false;
    parts_.groups.try_emplace(body.group);
    servers_by_group_[body.group].insert(body.server);
    update_primary(body.server, body.role);
    return accept();
}

// Records the role that a server reports. A server that newly reports itself as
// the primary is made the primary of its group without a further check, because
// a primary of a later term would report itself too. A primary that reports
// another role leaves its group without a primary.
void control_state::update_primary(server_name const& server, server_role role)
{
    auto& entry = parts_.servers.at(server);
    auto& group = parts_.groups.at(entry.group);
    auto const before = std::exchange(entry.role, role);
    if (role == server_role::primary && before != role)
    {
        bool const is_candidate =
            group.phase == group_phase::choosing && group.primary == server;
        if (!is_candidate && group.primary != server)
            ++group.term;
        group.primary = server;
        group.phase = group_phase::serving;
    }
    else if (before == server_role::primary && role != before &&
             group.phase == group_phase::serving && group.primary == server)
        group.primary.reset();
}

first_answer control_state::apply_leaving(command const& it)
{
    auto const& body = std::get<announce_leaving>(it.body);
    auto* const entry = find_group_member(body.server);
    if (entry == nullptr)
        return refuse(refusal_reason::unknown_server);
    if (is_outdated(body, *entry))
        return superseded{entry->sequence};
    entry->sequence = body.sequence;
    entry->incarnation = body.incarnation;
    entry->is_leaving = true;
    return accept();
}

first_answer control_state::apply_server_removal(command const& it)
{
    auto const& body = std::get<remove_server>(it.body);
    auto* const entry = find_group_member(body.server);
    if (entry == nullptr)
        return refuse(refusal_reason::unknown_server);
    if (is_outdated(body, *entry))
        return superseded{entry->sequence};
    auto& group = parts_.groups.at(entry->group);
    if (is_server_checked(entry->group))
    {
        // A removed primary leaves its group without one until a server reports
        // itself as the new primary.
        if (group.primary == body.server)
        {
            group.primary.reset();
            group.phase = group_phase::serving;
        }
        entry->sequence = body.sequence;
        entry->incarnation = body.incarnation;
        entry->role = server_role::unknown;
        entry->is_removed = true;
        servers_by_group_[entry->group].erase(body.server);
        return accept();
    }
    if (!entry->is_leaving)
        return refuse(refusal_reason::server_not_leaving);
    if (group.phase != group_phase::serving || group.primary == body.server)
        return refuse(refusal_reason::server_in_use);
    entry->sequence = body.sequence;
    entry->is_removed = true;
    servers_by_group_[entry->group].erase(body.server);
    return accept();
}

first_answer control_state::apply_verdict(command const& it)
{
    auto const& body = std::get<report_verdict>(it.body);
    auto* const entry = find_group_member(body.server);
    if (entry == nullptr)
        return refuse(refusal_reason::unknown_server);
    if (body.value == verdict::none)
        return refuse(refusal_reason::invalid_verdict);
    if (entry->health != verdict::none &&
        body.sequence <= entry->verdict_sequence)
        return superseded{entry->verdict_sequence};
    entry->verdict_sequence = body.sequence;
    entry->health = body.value;
    return accept();
}

first_answer control_state::apply_fencing(command const& it)
{
    auto const& body = std::get<begin_fencing>(it.body);
    auto* const entry = find_in(parts_.groups, body.group);
    if (entry == nullptr)
        return refuse(refusal_reason::unknown_group);
    if (body.term < entry->term)
        return superseded{entry->term};
    if (body.term > entry->term || entry->phase == group_phase::choosing)
        return refuse(refusal_reason::wrong_phase);
    if (entry->phase == group_phase::serving)
    {
        entry->phase = group_phase::fencing;
        entry->fenced_at = parts_.revision;
    }
    return accept();
}

first_answer control_state::apply_choice(command const& it)
{
    auto const& body = std::get<choose_primary>(it.body);
    auto* const entry = find_in(parts_.groups, body.group);
    if (entry == nullptr)
        return refuse(refusal_reason::unknown_group);
    if (entry->phase == group_phase::choosing && body.term == entry->term &&
        body.server == entry->primary)
        return accept();
    if (body.term <= entry->term)
        return superseded{entry->term};
    // Servers that check terms need no fencing before a new primary is chosen.
    if (entry->phase == group_phase::serving && !is_server_checked(body.group))
        return refuse(refusal_reason::wrong_phase);
    auto const* const server = find_group_member(body.server);
    if (server == nullptr || server->group != body.group)
        return refuse(refusal_reason::unknown_server);
    if (server->health == verdict::down)
        return refuse(refusal_reason::server_down);
    if (is_leaving(*server))
        return refuse(refusal_reason::server_leaving);
    entry->term = body.term;
    entry->primary = body.server;
    entry->phase = group_phase::choosing;
    return accept();
}

first_answer control_state::apply_confirmation(command const& it)
{
    auto const& body = std::get<confirm_primary>(it.body);
    auto* const entry = find_in(parts_.groups, body.group);
    if (entry == nullptr)
        return refuse(refusal_reason::unknown_group);
    if (body.term < entry->term)
        return superseded{entry->term};
    if (body.term > entry->term || body.server != entry->primary ||
        entry->phase == group_phase::fencing)
        return refuse(refusal_reason::wrong_phase);
    entry->phase = group_phase::serving;
    return accept();
}

// Each command has one answer, whatever the state is, so that a repeated
// command gets the answer of the first one.
first_answer control_state::apply_data_centre_service(command const& it)
{
    auto const& body = std::get<set_data_centre_service>(it.body);
    if (!body.in_service)
        parts_.data_centres[body.data_centre].in_service = false;
    else if (auto* const entry = find_in(parts_.data_centres, body.data_centre))
        entry->in_service = true;
    return accept();
}

first_answer control_state::accept() const
{
    return accepted{parts_.revision, parts_.rules_version};
}

first_answer control_state::conflict_with(std::uint64_t base) const
{
    auto const it = history_by_version_.find(base + 1);
    // The winning change may have been dropped from the history.
    if (it == history_by_version_.end())
        return conflict{parts_.rules_version, parts_.rules_id};
    return conflict{base + 1,
                    parts_.history[it->second - first_history_number_].id};
}

server_entry* control_state::find_group_member(server_name const& it)
{
    auto* const entry = find_in(parts_.servers, it);
    return entry == nullptr || entry->is_removed ? nullptr : entry;
}

void control_state::record(history_entry entry)
{
    parts_.history.push_back(std::move(entry));
    index_entry(first_history_number_ + parts_.history.size() - 1);
    if (parts_.history.size() <= history_limit)
        return;
    auto const& oldest = parts_.history.front();
    history_by_id_.erase(oldest.id);
    if (oldest.made_version)
        history_by_version_.erase(std::get<accepted>(oldest.answer).version);
    parts_.history.pop_front();
    ++first_history_number_;
}

void control_state::index_entry(std::uint64_t number)
{
    auto const& entry = parts_.history[number - first_history_number_];
    history_by_id_[entry.id] = number;
    if (entry.made_version)
        history_by_version_[std::get<accepted>(entry.answer).version] = number;
}

} // namespace basilreach::control
