// Maps the value types of messages, commands and snapshots to the object types
// that FlatBuffers generates ("wire types") and back. In each map_fields(), v
// is the value, w the wire object and d the direction, to_wire or from_wire.
// Where both directions map the same pairs of fields, one template lists the
// pairs once; otherwise there is one function for each direction.
#include <basilreach/messages/codec.hpp>

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <type_traits>
#include <utility>

#include <basilreach/messages/frame.hpp>

#include <messages_generated.h>

namespace basilreach::messages
{

namespace
{

using control::command;
using control::control_parts;

// Thrown by the conversions below. unpack() catches it and returns its reason.
struct decode_failure
{
    decode_error reason;
};

// ---- Conversions of single fields ----

template <class Tag>
void encode_field(name<Tag> const& from, std::string& out)
{
    out = from.str();
}

template <class Tag>
void decode_field(std::string const& in, name<Tag>& out)
{
    out = name<Tag>(in);
}

template <class Value, class Wire>
requires std::is_arithmetic_v<Value>
void encode_field(Value in, Wire& out)
{
    out = static_cast<Wire>(in);
}

template <class Value, class Wire>
requires std::is_arithmetic_v<Value>
void decode_field(Wire in, Value& out)
{
    out = static_cast<Value>(in);
}

template <class Value, class Wire>
requires std::is_enum_v<Value>
void encode_field(Value in, Wire& out)
{
    out = static_cast<Wire>(in);
}

template <class Value, class Wire>
requires std::is_enum_v<Value>
void decode_field(Wire in, Value& out)
{
    out = static_cast<Value>(in);
}

void encode_field(std::string const& in, std::string& out)
{
    out = in;
}

void decode_field(std::string const& in, std::string& out)
{
    out = in;
}

void encode_field(std::string const& in, std::vector<std::uint8_t>& out)
{
    out.assign(in.begin(), in.end());
}

void decode_field(std::vector<std::uint8_t> const& in, std::string& out)
{
    out.assign(in.begin(), in.end());
}

void encode_field(instant in, std::int64_t& out)
{
    out = in.time_since_epoch().count();
}

void decode_field(std::int64_t in, instant& out)
{
    out = instant(duration(in));
}

void encode_field(duration in, std::int64_t& out)
{
    out = in.count();
}

void decode_field(std::int64_t in, duration& out)
{
    out = duration(in);
}

template <class Tag>
void encode_field(std::vector<name<Tag>> const& in,
                  std::vector<std::string>& out)
{
    for (auto const& it : in)
        out.push_back(it.str());
}

template <class Tag>
void decode_field(std::vector<std::string> const& in,
                  std::vector<name<Tag>>& out)
{
    for (auto const& it : in)
        out.emplace_back(it);
}

void encode_field(rules::key_digest const& in, std::vector<std::uint8_t>& out)
{
    out.assign(in.begin(), in.end());
}

void decode_field(std::vector<std::uint8_t> const& in, rules::key_digest& out)
{
    if (in.size() != out.size())
        throw decode_failure{decode_error::bad_digest};
    std::copy(in.begin(), in.end(), out.begin());
}

void encode_field(rules::key_digest const& in,
                  std::unique_ptr<wire::bytesT>& out)
{
    out = std::make_unique<wire::bytesT>();
    encode_field(in, out->data);
}

void decode_field(std::unique_ptr<wire::bytesT> const& in,
                  rules::key_digest& out)
{
    decode_field(in->data, out);
}

template <class Struct>
void check_present(std::unique_ptr<Struct> const& in)
{
    if (!in)
        throw decode_failure{decode_error::malformed};
}

void encode_field(log_position in, std::unique_ptr<wire::position>& out)
{
    out = std::make_unique<wire::position>(in.term, in.offset);
}

void decode_field(std::unique_ptr<wire::position> const& in, log_position& out)
{
    check_present(in);
    out = {in->term(), in->offset()};
}

// An absent position has no struct.
void encode_field(std::optional<log_position> const& in,
                  std::unique_ptr<wire::position>& out)
{
    if (in)
        encode_field(*in, out);
}

void decode_field(std::unique_ptr<wire::position> const& in,
                  std::optional<log_position>& out)
{
    if (in)
        decode_field(in, out.emplace());
}

void encode_field(limits::grant_id in, std::unique_ptr<wire::grant_id>& out)
{
    out = std::make_unique<wire::grant_id>(in.term, in.number);
}

void decode_field(std::unique_ptr<wire::grant_id> const& in,
                  limits::grant_id& out)
{
    check_present(in);
    out = {in->term(), in->number()};
}

void encode_field(limits::rate_floor in, std::unique_ptr<wire::rate_floor>& out)
{
    out = std::make_unique<wire::rate_floor>(in.rate, in.burst);
}

void decode_field(std::unique_ptr<wire::rate_floor> const& in,
                  limits::rate_floor& out)
{
    check_present(in);
    out = {in->rate(), in->burst()};
}

// An absent server is encoded as an empty name.
void encode_field(std::optional<server_name> const& in, std::string& out)
{
    out = in ? in->str() : std::string();
}

void decode_field(std::string const& in, std::optional<server_name>& out)
{
    out = in.empty() ? std::nullopt : std::optional(server_name(in));
}

// ---- Directions ----

struct to_wire
{
    template <class Value, class Wire>
    void operator()(Value const& in, Wire& out) const
    {
        encode_field(in, out);
    }
};

struct from_wire
{
    template <class Value, class Wire>
    void operator()(Value& out, Wire const& in) const
    {
        decode_field(in, out);
    }
};

// ---- Fields of tables ----

template <class D, class V>
void map_fields(D d, V& v, wire::apply_rulesT& w)
{
    d(v.base_version, w.base_version);
    d(v.text, w.text);
}

template <class D, class V>
void map_fields(D d, V& v, wire::withdraw_keyT& w)
{
    d(v.digest, w.digest);
}

template <class D, class V>
void map_fields(D d, V& v, wire::register_daemonT& w)
{
    d(v.daemon, w.daemon);
    d(v.data_centre, w.data_centre);
    d(v.address, w.address);
}

template <class D, class V>
void map_fields(D d, V& v, wire::remove_daemonT& w)
{
    d(v.daemon, w.daemon);
}

template <class D, class V>
void map_fields(D d, V& v, wire::forget_daemonT& w)
{
    d(v.daemon, w.daemon);
}

template <class D, class V>
void map_fields(D d, V& v, wire::announce_serverT& w)
{
    d(v.server, w.server);
    d(v.group, w.group);
    d(v.data_centre, w.data_centre);
    d(v.address, w.address);
    d(v.sequence, w.sequence);
    d(v.incarnation, w.incarnation);
    d(v.role, w.role);
    d(v.is_leaving, w.is_leaving);
}

template <class D, class V>
void map_fields(D d, V& v, wire::announce_leavingT& w)
{
    d(v.server, w.server);
    d(v.sequence, w.sequence);
    d(v.incarnation, w.incarnation);
}

template <class D, class V>
void map_fields(D d, V& v, wire::remove_serverT& w)
{
    d(v.server, w.server);
    d(v.sequence, w.sequence);
    d(v.incarnation, w.incarnation);
}

template <class D, class V>
void map_fields(D d, V& v, wire::offer_rulesT& w)
{
    d(v.version, w.version);
    d(v.text, w.text);
}

template <class D, class V>
void map_fields(D d, V& v, wire::set_data_centre_serviceT& w)
{
    d(v.data_centre, w.data_centre);
    d(v.in_service, w.in_service);
}

template <class D, class V>
void map_fields(D d, V& v, wire::report_verdictT& w)
{
    d(v.server, w.server);
    d(v.sequence, w.sequence);
    d(v.value, w.value);
}

template <class D, class V>
void map_fields(D d, V& v, wire::begin_fencingT& w)
{
    d(v.group, w.group);
    d(v.term, w.term);
}

template <class D, class V>
void map_fields(D d, V& v, wire::choose_primaryT& w)
{
    d(v.group, w.group);
    d(v.term, w.term);
    d(v.server, w.server);
}

template <class D, class V>
void map_fields(D d, V& v, wire::confirm_primaryT& w)
{
    d(v.group, w.group);
    d(v.term, w.term);
    d(v.server, w.server);
}

template <class D, class V>
void map_fields(D d, V& v, wire::daemon_entryT& w)
{
    d(v.data_centre, w.data_centre);
    d(v.is_removed, w.is_removed);
    d(v.address, w.address);
}

template <class D, class V>
void map_fields(D d, V& v, wire::server_entryT& w)
{
    d(v.group, w.group);
    d(v.data_centre, w.data_centre);
    d(v.address, w.address);
    d(v.sequence, w.sequence);
    d(v.is_leaving, w.is_leaving);
    d(v.is_removed, w.is_removed);
    d(v.health, w.health);
    d(v.verdict_sequence, w.verdict_sequence);
    d(v.incarnation, w.incarnation);
    d(v.role, w.role);
}

template <class D, class V>
void map_fields(D d, V& v, wire::group_entryT& w)
{
    d(v.term, w.term);
    d(v.phase, w.phase);
    d(v.primary, w.primary);
    d(v.fenced_at, w.fenced_at);
}

template <class D, class V>
void map_fields(D d, V& v, wire::data_centre_entryT& w)
{
    d(v.in_service, w.in_service);
}

template <class D, class V>
void map_fields(D d, V& v, wire::join_requestT& w)
{
    d(v.host, w.host);
    d(v.is_forwarded, w.is_forwarded);
}

template <class D, class V>
void map_fields(D d, V& v, wire::reach_reportT& w)
{
    d(v.daemon, w.daemon);
    d(v.server, w.server);
    d(v.is_reachable, w.is_reachable);
}

template <class D, class V>
void map_fields(D d, V& v, wire::lease_returnedT& w)
{
    d(v.daemon, w.daemon);
    d(v.incarnation, w.incarnation);
}

template <class D, class V>
void map_fields(D d, V& v, wire::grant_leaseT& w)
{
    d(v.daemon, w.daemon);
    d(v.incarnation, w.incarnation);
    d(v.echo, w.echo);
    d(v.lease, w.lease);
    d(v.revision, w.revision);
}

template <class D, class V>
void map_fields(D d, V& v, wire::subscribeT& w)
{
    d(v.daemon, w.daemon);
    d(v.revision, w.revision);
    d(v.rules_version, w.rules_version);
    d(v.updates_handled, w.updates_handled);
}

template <class D, class V>
void map_fields(D d, V& v, wire::text_editT& w)
{
    d(v.offset, w.offset);
    d(v.length, w.length);
    d(v.inserted, w.inserted);
}

template <class D, class V>
void map_fields(D d, V& v, wire::not_leaderT& w)
{
    d(v.leader, w.leader);
}

template <class D, class V>
void map_fields(D d, V& v, wire::admin_requestT& w)
{
    d(v.id, w.id);
    d(v.text, w.text);
}

template <class D, class V>
void map_fields(D d, V& v, wire::token_requestT& w)
{
    d(v.workspace, w.workspace);
    d(v.sequence, w.sequence);
    d(v.last_grant, w.heard);
    d(v.last_grant_sent, w.heard_sent);
    d(v.left, w.left);
    d(v.returned, w.returned);
    d(v.waiting, w.waiting);
    d(v.reserve, w.reserve);
    d(v.floor, w.floor);
}

template <class D, class V>
void map_fields(D d, V& v, wire::token_grantT& w)
{
    d(v.workspace, w.workspace);
    d(v.id, w.id);
    d(v.echo, w.echo);
    d(v.lifetime, w.lifetime);
    d(v.tokens, w.tokens);
    d(v.floor, w.floor);
    d(v.floor_suspension, w.floor_rest);
    d(v.is_used_up, w.is_used_up);
    d(v.next_token, w.next_token);
}

template <class D, class V>
void map_fields(D d, V& v, wire::share_requestT& w)
{
    d(v.server, w.server);
    d(v.sequence, w.sequence);
    d(v.started, w.started);
    d(v.last_grant, w.heard);
    d(v.share, w.share);
    d(v.open, w.open);
    d(v.wanted, w.wanted);
}

template <class D, class V>
void map_fields(D d, V& v, wire::share_grantT& w)
{
    d(v.server, w.server);
    d(v.id, w.id);
    d(v.echo, w.echo);
    d(v.lifetime, w.lifetime);
    d(v.share, w.share);
    d(v.base, w.base);
}

template <class D, class V>
void map_fields(D d, V& v, wire::log_entryT& w)
{
    d(v.index, w.index);
    d(v.term, w.term);
    d(v.kind, w.kind);
    d(v.payload, w.payload);
}

template <class D, class V>
void map_fields(D d, V& v, wire::pre_vote_requestT& w)
{
    d(v.proposed_term, w.proposed_term);
    d(v.last_index, w.last_index);
    d(v.last_term, w.last_term);
}

template <class D, class V>
void map_fields(D d, V& v, wire::pre_vote_replyT& w)
{
    d(v.proposed_term, w.proposed_term);
    d(v.granted, w.granted);
}

template <class D, class V>
void map_fields(D d, V& v, wire::vote_requestT& w)
{
    d(v.last_index, w.last_index);
    d(v.last_term, w.last_term);
}

template <class D, class V>
void map_fields(D d, V& v, wire::vote_replyT& w)
{
    d(v.granted, w.granted);
}

template <class D, class V>
void map_fields(D d, V& v, wire::append_replyT& w)
{
    d(v.accepted, w.accepted);
    d(v.index, w.index);
    d(v.round, w.round);
}

template <class D, class V>
void map_fields(D d, V& v, wire::snapshot_replyT& w)
{
    d(v.index, w.index);
    d(v.next_offset, w.next_offset);
    d(v.complete, w.complete);
    d(v.round, w.round);
}

// ---- Tables with lists ----

template <class Wire, class Value>
std::unique_ptr<Wire> encode_table(Value const& v);

template <class Value, class Wire>
Value decode_table(Wire const& w);

template <class Wire, class Values>
std::vector<std::unique_ptr<Wire>> encode_list(Values const& values)
{
    std::vector<std::unique_ptr<Wire>> out;
    out.reserve(values.size());
    for (auto const& it : values)
        out.push_back(encode_table<Wire>(it));
    return out;
}

template <class Value, class Wire>
std::vector<Value> decode_list(std::vector<std::unique_ptr<Wire>> const& list)
{
    std::vector<Value> out;
    out.reserve(list.size());
    for (auto const& it : list)
        out.push_back(decode_table<Value>(*it));
    return out;
}

template <class Tag>
std::vector<std::string> encode_names(std::vector<name<Tag>> const& names)
{
    std::vector<std::string> out;
    out.reserve(names.size());
    for (auto const& it : names)
        out.push_back(it.str());
    return out;
}

std::vector<consensus::host_name>
decode_host_names(std::vector<std::string> const& names)
{
    std::vector<consensus::host_name> out;
    out.reserve(names.size());
    for (auto const& it : names)
        out.emplace_back(it);
    return out;
}

void map_fields(to_wire d,
                control::lease_renewal const& v,
                wire::lease_renewalT& w)
{
    d(v.daemon, w.daemon);
    d(v.data_centre, w.data_centre);
    d(v.incarnation, w.incarnation);
    d(v.sent_at, w.sent_at);
    d(v.confirmed_revision, w.confirmed_revision);
    for (auto const& [group, position] : v.acknowledged)
    {
        auto it = std::make_unique<wire::acknowledged_positionT>();
        d(group, it->group);
        d(position, it->reached);
        w.acknowledged.push_back(std::move(it));
    }
    d(v.address, w.address);
}

void map_fields(from_wire d,
                control::lease_renewal& v,
                wire::lease_renewalT const& w)
{
    d(v.daemon, w.daemon);
    d(v.data_centre, w.data_centre);
    d(v.incarnation, w.incarnation);
    d(v.sent_at, w.sent_at);
    d(v.confirmed_revision, w.confirmed_revision);
    for (auto const& it : w.acknowledged)
    {
        log_position position;
        d(position, it->reached);
        v.acknowledged.emplace(group_name(it->group), position);
    }
    d(v.address, w.address);
}

void map_fields(to_wire /*d*/, admin_row const& v, wire::admin_rowT& w)
{
    w.values = v.values;
}

void map_fields(from_wire /*d*/, admin_row& v, wire::admin_rowT const& w)
{
    v.values = w.values;
}

// Maps the fields that a batch holds once for all its requests or grants.
template <class D, class V, class W>
void map_batch(D d, V& v, W& w)
{
    d(v.holder, w.holder);
    d(v.incarnation, w.incarnation);
    d(v.sent, w.sent);
}

template <class D, class V>
void map_fields(D d, V& v, wire::contact_reportT& w)
{
    d(v.term, w.term);
    d(v.heard, w.heard);
    d(v.is_current, w.is_current);
}

template <class D, class V>
void map_fields(D d, V& v, wire::contact_grantT& w)
{
    d(v.term, w.term);
    d(v.floor_suspension, w.floor_suspension);
    d(v.unreported, w.unreported);
    d(v.lacks_floors, w.lacks_floors);
}

template <class D, class V>
void map_fields(D d, V& v, wire::share_renewalT& w)
{
    d(v.term, w.term);
}

template <class D, class V>
void map_fields(D d, V& v, wire::share_renewal_grantT& w)
{
    d(v.term, w.term);
    d(v.echo, w.echo);
    d(v.lifetime, w.lifetime);
}

void map_fields(to_wire d, limit_requests const& v, wire::limit_requestsT& w)
{
    map_batch(d, v, w);
    d(v.repeated, w.repeated);
    d(v.number, w.number);
    w.tokens = encode_list<wire::token_requestT>(v.tokens);
    w.shares = encode_list<wire::share_requestT>(v.shares);
    if (v.contact)
        w.contact = encode_table<wire::contact_reportT>(*v.contact);
    if (v.renewal)
        w.renewal = encode_table<wire::share_renewalT>(*v.renewal);
}

void map_fields(from_wire d, limit_requests& v, wire::limit_requestsT const& w)
{
    map_batch(d, v, w);
    d(v.repeated, w.repeated);
    d(v.number, w.number);
    v.tokens = decode_list<limits::token_request>(w.tokens);
    v.shares = decode_list<limits::share_request>(w.shares);
    if (w.contact)
    {
        v.contact = decode_table<limits::contact_report>(*w.contact);
        copy_batch_fields(v, *v.contact);
    }
    if (w.renewal)
    {
        v.renewal = decode_table<limits::share_renewal>(*w.renewal);
        copy_batch_fields(v, *v.renewal);
    }
}

void map_fields(to_wire d, limit_grants const& v, wire::limit_grantsT& w)
{
    map_batch(d, v, w);
    d(v.answered, w.answered);
    w.tokens = encode_list<wire::token_grantT>(v.tokens);
    w.shares = encode_list<wire::share_grantT>(v.shares);
    if (v.contact)
        w.contact = encode_table<wire::contact_grantT>(*v.contact);
    if (v.renewal)
        w.renewal = encode_table<wire::share_renewal_grantT>(*v.renewal);
}

void map_fields(from_wire d, limit_grants& v, wire::limit_grantsT const& w)
{
    map_batch(d, v, w);
    d(v.answered, w.answered);
    v.tokens = decode_list<limits::token_grant>(w.tokens);
    v.shares = decode_list<limits::share_grant>(w.shares);
    if (w.contact)
    {
        v.contact = decode_table<limits::contact_grant>(*w.contact);
        copy_batch_fields(v, *v.contact);
    }
    if (w.renewal)
    {
        v.renewal = decode_table<limits::share_renewal_grant>(*w.renewal);
        copy_batch_fields(v, *v.renewal);
    }
}

void map_fields(to_wire d, admin_reply const& v, wire::admin_replyT& w)
{
    d(v.id, w.id);
    d(v.sqlstate, w.sqlstate);
    d(v.message, w.message);
    d(v.tag, w.tag);
    w.columns = v.columns;
    w.rows = encode_list<wire::admin_rowT>(v.rows);
}

void map_fields(from_wire d, admin_reply& v, wire::admin_replyT const& w)
{
    d(v.id, w.id);
    d(v.sqlstate, w.sqlstate);
    d(v.message, w.message);
    d(v.tag, w.tag);
    v.columns = w.columns;
    v.rows = decode_list<admin_row>(w.rows);
}

void map_fields(to_wire d,
                consensus::append_request const& v,
                wire::append_requestT& w)
{
    d(v.previous_index, w.previous_index);
    d(v.previous_term, w.previous_term);
    d(v.commit_index, w.commit_index);
    d(v.round, w.round);
    w.entries = encode_list<wire::log_entryT>(v.entries);
}

void map_fields(from_wire d,
                consensus::append_request& v,
                wire::append_requestT const& w)
{
    d(v.previous_index, w.previous_index);
    d(v.previous_term, w.previous_term);
    d(v.commit_index, w.commit_index);
    d(v.round, w.round);
    v.entries = decode_list<consensus::log_entry>(w.entries);
}

void map_fields(to_wire d,
                consensus::snapshot_chunk const& v,
                wire::snapshot_chunkT& w)
{
    d(v.index, w.index);
    d(v.term, w.term);
    w.voters = encode_names(v.members.voters);
    w.learners = encode_names(v.members.learners);
    d(v.total_bytes, w.total_bytes);
    d(v.offset, w.offset);
    d(v.bytes, w.data);
    d(v.round, w.round);
}

void map_fields(from_wire d,
                consensus::snapshot_chunk& v,
                wire::snapshot_chunkT const& w)
{
    d(v.index, w.index);
    d(v.term, w.term);
    v.members = {decode_host_names(w.voters), decode_host_names(w.learners)};
    d(v.total_bytes, w.total_bytes);
    d(v.offset, w.offset);
    d(v.bytes, w.data);
    d(v.round, w.round);
}

// ---- Statements that a daemon runs for another ----

template <class D, class V>
void map_fields(D d, V& v, wire::session_variableT& w)
{
    d(v.name, w.name);
    d(v.value, w.value);
}

template <class D, class V>
void map_fields(D d, V& v, wire::prepared_shapeT& w)
{
    d(v.writes, w.writes);
    d(v.shape, w.shape);
}

// Maps the fields of a statement that are encoded in the same way in both
// directions.
template <class D, class V, class W>
void map_statement(D d, V& v, W& w)
{
    d(v.session, w.session);
    d(v.request, w.request);
    d(v.revision, w.revision);
    d(v.route, w.route);
    d(v.group, w.group);
    d(v.workspace, w.workspace);
    d(v.position, w.reached);
    d(v.time_left, w.time_left);
    d(v.time_since_arrival, w.time_since_arrival);
    d(v.verb, w.verb);
    d(v.opening, w.opening);
    d(v.kind, w.kind);
    d(v.id, w.id);
    d(v.text, w.text);
    d(v.name, w.name);
    d(v.value, w.value);
}

void map_fields(to_wire d,
                forward_statement const& v,
                wire::forward_statementT& w)
{
    map_statement(d, v, w);
    if (v.key)
        d(*v.key, w.key);
    w.variables = encode_list<wire::session_variableT>(v.variables);
    if (v.shape)
        w.shape = encode_table<wire::prepared_shapeT>(*v.shape);
}

void map_fields(from_wire d,
                forward_statement& v,
                wire::forward_statementT const& w)
{
    map_statement(d, v, w);
    if (w.key)
        d(v.key.emplace(), w.key);
    v.variables = decode_list<session_variable>(w.variables);
    if (w.shape)
        v.shape = decode_table<forwarded_shape>(*w.shape);
}

template <class D, class V, class W>
void map_answer(D d, V& v, W& w)
{
    d(v.session, w.session);
    d(v.request, w.request);
    d(v.is_error, w.is_error);
    d(v.error, w.error);
    d(v.text, w.text);
    d(v.status, w.status);
    d(v.position, w.reached);
}

void map_fields(to_wire d, forward_answer const& v, wire::forward_answerT& w)
{
    map_answer(d, v, w);
    w.rows = v.rows;
}

void map_fields(from_wire d, forward_answer& v, wire::forward_answerT const& w)
{
    map_answer(d, v, w);
    v.rows = w.rows;
}

template <class D, class V>
void map_fields(D d, V& v, wire::forward_refusalT& w)
{
    d(v.session, w.session);
    d(v.request, w.request);
    d(v.outcome, w.outcome);
    d(v.reason, w.reason);
    d(v.ends_session, w.ends_session);
    d(v.retry_after, w.retry_after);
}

template <class D, class V>
void map_fields(D d, V& v, wire::forward_endT& w)
{
    d(v.session, w.session);
}

template <class D, class V>
void map_fields(D d, V& v, wire::forward_lostT& w)
{
    d(v.session, w.session);
}

template <class D, class V>
void map_fields(D d, V& v, wire::forward_probeT& w)
{
    d(v.number, w.number);
}

template <class D, class V>
void map_fields(D d, V& v, wire::forward_probe_answerT& w)
{
    d(v.number, w.number);
}

// ---- Unions ----

// Decodes alternative N of a variant from a union. The schema lists the types
// in the order of the variant, but the kind in the union is greater by one,
// because 0 is NONE.
template <class Variant, class WireTypes, std::size_t N>
Variant decode_alternative(void const* value)
{
    using wire_type = std::tuple_element_t<N, WireTypes>;
    return decode_table<std::variant_alternative_t<N, Variant>>(
        *static_cast<wire_type const*>(value));
}

template <class Variant, class WireTypes, std::size_t... N>
Variant decode_union(std::size_t kind,
                     void const* value,
                     std::index_sequence<N...> /*unused*/)
{
    using decoder = Variant (*)(void const*);
    static constexpr std::array<decoder, sizeof...(N)> decoders = {
        &decode_alternative<Variant, WireTypes, N>...};
    if (kind == 0 || kind > decoders.size() || value == nullptr)
        throw decode_failure{decode_error::unknown_kind};
    return decoders[kind - 1](value);
}

template <class Variant, class WireTypes, class Union>
Variant decode_union(Union const& u)
{
    static_assert(std::variant_size_v<Variant> == std::tuple_size_v<WireTypes>);
    return decode_union<Variant, WireTypes>(
        static_cast<std::size_t>(u.type), u.value,
        std::make_index_sequence<std::variant_size_v<Variant>>{});
}

template <class Variant, class WireTypes, class Union, std::size_t... N>
void encode_union(Variant const& v,
                  Union& u,
                  std::index_sequence<N...> /*unused*/)
{
    using encoder = void (*)(Variant const&, Union&);
    static constexpr std::array<encoder, sizeof...(N)> encoders = {
        [](Variant const& from, Union& into)
        {
            into.Set(
                std::move(*encode_table<std::tuple_element_t<N, WireTypes>>(
                    std::get<N>(from))));
        }...};
    encoders[v.index()](v, u);
}

template <class Variant, class WireTypes, class Union>
void encode_union(Variant const& v, Union& u)
{
    encode_union<Variant, WireTypes>(
        v, u, std::make_index_sequence<std::variant_size_v<Variant>>{});
}

using command_wire_types = std::tuple<wire::apply_rulesT,
                                      wire::withdraw_keyT,
                                      wire::register_daemonT,
                                      wire::remove_daemonT,
                                      wire::forget_daemonT,
                                      wire::announce_serverT,
                                      wire::announce_leavingT,
                                      wire::remove_serverT,
                                      wire::report_verdictT,
                                      wire::begin_fencingT,
                                      wire::choose_primaryT,
                                      wire::confirm_primaryT,
                                      wire::offer_rulesT,
                                      wire::set_data_centre_serviceT>;

using peer_wire_types = std::tuple<wire::pre_vote_requestT,
                                   wire::pre_vote_replyT,
                                   wire::vote_requestT,
                                   wire::vote_replyT,
                                   wire::append_requestT,
                                   wire::append_replyT,
                                   wire::snapshot_chunkT,
                                   wire::snapshot_replyT>;

using message_wire_types = std::tuple<wire::lease_renewalT,
                                      wire::lease_returnedT,
                                      wire::grant_leaseT,
                                      wire::subscribeT,
                                      wire::state_updateT,
                                      wire::not_leaderT,
                                      wire::admin_requestT,
                                      wire::admin_replyT,
                                      wire::limit_requestsT,
                                      wire::limit_grantsT,
                                      wire::peer_messageT,
                                      wire::join_requestT,
                                      wire::reach_reportT,
                                      wire::forward_statementT,
                                      wire::forward_answerT,
                                      wire::forward_refusalT,
                                      wire::forward_endT,
                                      wire::forward_lostT,
                                      wire::forward_probeT,
                                      wire::forward_probe_answerT>;

void map_fields(to_wire d, command const& v, wire::commandT& w)
{
    d(v.id, w.id);
    d(v.author, w.author);
    encode_union<control::command_body, command_wire_types>(v.body, w.body);
}

void map_fields(from_wire d, command& v, wire::commandT const& w)
{
    d(v.id, w.id);
    d(v.author, w.author);
    v.body = decode_union<control::command_body, command_wire_types>(w.body);
}

void map_fields(to_wire d,
                consensus::peer_message const& v,
                wire::peer_messageT& w)
{
    d(v.from, w.from);
    d(v.to, w.to);
    d(v.term, w.term);
    encode_union<consensus::peer_message_body, peer_wire_types>(v.body, w.body);
}

void map_fields(from_wire d,
                consensus::peer_message& v,
                wire::peer_messageT const& w)
{
    d(v.from, w.from);
    d(v.to, w.to);
    d(v.term, w.term);
    v.body =
        decode_union<consensus::peer_message_body, peer_wire_types>(w.body);
}

// ---- Answers in the history ----

void encode_answer(control::accepted const& v, wire::answerT& w)
{
    w.revision = v.revision;
    w.version = v.version;
}

void encode_answer(control::conflict const& v, wire::answerT& w)
{
    w.version = v.version;
    w.winner = v.winner.str();
}

void encode_answer(control::superseded const& v, wire::answerT& w)
{
    w.revision = v.current;
}

void encode_answer(control::refused const& v, wire::answerT& w)
{
    w.reason = static_cast<std::uint8_t>(v.reason);
    w.details = v.details;
}

using answer_decoder = control::first_answer (*)(wire::answerT const&);

// Indexed by the kind, which is the index in the variant first_answer.
constexpr std::array<answer_decoder, 4> answer_decoders = {
    [](wire::answerT const& w) -> control::first_answer {
        return control::accepted{w.revision, w.version};
    },
    [](wire::answerT const& w) -> control::first_answer {
        return control::conflict{w.version, control::change_id(w.winner)};
    },
    [](wire::answerT const& w) -> control::first_answer
    { return control::superseded{w.revision}; },
    [](wire::answerT const& w) -> control::first_answer
    {
        return control::refused{static_cast<control::refusal_reason>(w.reason),
                                w.details};
    }};

void map_fields(to_wire d,
                control::history_entry const& v,
                wire::history_entryT& w)
{
    d(v.revision, w.revision);
    d(v.id, w.id);
    d(v.author, w.author);
    d(v.content_hash, w.content_hash);
    d(v.made_version, w.made_version);
    w.first = std::make_unique<wire::answerT>();
    w.first->kind = static_cast<std::uint8_t>(v.answer.index());
    std::visit([&w](auto const& it) { encode_answer(it, *w.first); }, v.answer);
}

void map_fields(from_wire d,
                control::history_entry& v,
                wire::history_entryT const& w)
{
    d(v.revision, w.revision);
    d(v.id, w.id);
    d(v.author, w.author);
    d(v.content_hash, w.content_hash);
    d(v.made_version, w.made_version);
    check_present(w.first);
    if (w.first->kind >= answer_decoders.size())
        throw decode_failure{decode_error::unknown_kind};
    v.answer = answer_decoders[w.first->kind](*w.first);
}

// ---- Snapshot ----

template <class Wire, class Map>
std::vector<std::unique_ptr<Wire>> encode_entries(Map const& entries)
{
    std::vector<std::unique_ptr<Wire>> out;
    for (auto const& [key, entry] : entries)
    {
        out.push_back(encode_table<Wire>(entry));
        out.back()->name = key.str();
    }
    return out;
}

template <class Map, class Wire>
void decode_entries(std::vector<std::unique_ptr<Wire>> const& list, Map& out)
{
    for (auto const& it : list)
        out.emplace(typename Map::key_type(it->name),
                    decode_table<typename Map::mapped_type>(*it));
}

template <class WireList>
void encode_digests(std::set<rules::key_digest> const& digests, WireList& out)
{
    for (auto const& it : digests)
        encode_field(it, out.emplace_back());
}

template <class WireList>
void decode_digests(WireList const& list, std::set<rules::key_digest>& out)
{
    for (auto const& it : list)
    {
        rules::key_digest digest{};
        decode_field(it, digest);
        out.insert(digest);
    }
}

void map_fields(to_wire d, control_parts const& v, wire::control_partsT& w)
{
    d(v.revision, w.revision);
    d(v.rules_version, w.rules_version);
    d(v.rules_id, w.rules_id);
    d(v.rules_text, w.rules_text);
    encode_digests(v.withdrawn, w.withdrawn);
    w.daemons = encode_entries<wire::daemon_entryT>(v.daemons);
    w.servers = encode_entries<wire::server_entryT>(v.servers);
    w.groups = encode_entries<wire::group_entryT>(v.groups);
    w.history = encode_list<wire::history_entryT>(v.history);
    w.data_centres = encode_entries<wire::data_centre_entryT>(v.data_centres);
}

void map_fields(from_wire d, control_parts& v, wire::control_partsT const& w)
{
    d(v.revision, w.revision);
    d(v.rules_version, w.rules_version);
    d(v.rules_id, w.rules_id);
    d(v.rules_text, w.rules_text);
    decode_digests(w.withdrawn, v.withdrawn);
    decode_entries(w.daemons, v.daemons);
    decode_entries(w.servers, v.servers);
    decode_entries(w.groups, v.groups);
    for (auto const& it : w.history)
        v.history.push_back(decode_table<control::history_entry>(*it));
    decode_entries(w.data_centres, v.data_centres);
}

void map_fields(to_wire d,
                control::rules_update const& v,
                wire::rules_updateT& w)
{
    d(v.version, w.version);
    d(v.id, w.id);
    d(v.base_version, w.base_version);
    w.edits = encode_list<wire::text_editT>(v.delta.edits);
}

void map_fields(from_wire d,
                control::rules_update& v,
                wire::rules_updateT const& w)
{
    d(v.version, w.version);
    d(v.id, w.id);
    d(v.base_version, w.base_version);
    v.delta.edits = decode_list<rules::text_edit>(w.edits);
}

void map_fields(to_wire d,
                control::state_update const& v,
                wire::state_updateT& w)
{
    d(v.after, w.after);
    d(v.revision, w.revision);
    if (v.rules)
        w.rules = encode_table<wire::rules_updateT>(*v.rules);
    encode_digests(v.withdrawn, w.withdrawn);
    w.servers = encode_entries<wire::server_entryT>(v.servers);
    w.groups = encode_entries<wire::group_entryT>(v.groups);
    w.data_centres = encode_entries<wire::data_centre_entryT>(v.data_centres);
    w.daemons = encode_entries<wire::daemon_entryT>(v.daemons);
    d(v.has_all_daemons, w.has_all_daemons);
}

void map_fields(from_wire d,
                control::state_update& v,
                wire::state_updateT const& w)
{
    d(v.after, w.after);
    d(v.revision, w.revision);
    if (w.rules)
        v.rules = decode_table<control::rules_update>(*w.rules);
    decode_digests(w.withdrawn, v.withdrawn);
    decode_entries(w.servers, v.servers);
    decode_entries(w.groups, v.groups);
    decode_entries(w.data_centres, v.data_centres);
    decode_entries(w.daemons, v.daemons);
    d(v.has_all_daemons, w.has_all_daemons);
}

template <class Wire, class Value>
std::unique_ptr<Wire> encode_table(Value const& v)
{
    auto w = std::make_unique<Wire>();
    map_fields(to_wire{}, v, *w);
    return w;
}

template <class Value, class Wire>
Value decode_table(Wire const& w)
{
    Value v;
    // The map_fields() templates serve both directions, so they take the wire
    // object by non-const reference. This direction does not change it.
    map_fields(from_wire{}, v, const_cast<Wire&>(w));
    return v;
}

// ---- Buffers ----

template <class Table, class Native>
std::string pack(Native const& native)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::Pack(builder, &native));
    return {reinterpret_cast<char const*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

template <class Table, class Value, class Decoder>
result<Value, decode_error> unpack(std::string_view bytes, Decoder decoder)
{
    // FlatBuffers needs an aligned buffer, and a view into a frame may be
    // unaligned.
    std::vector<std::uint8_t> aligned(bytes.begin(), bytes.end());
    flatbuffers::Verifier verifier(aligned.data(), aligned.size());
    if (!verifier.VerifyBuffer<Table>(nullptr))
        return decode_error::malformed;
    try
    {
        std::unique_ptr<typename Table::NativeTableType> native(
            flatbuffers::GetRoot<Table>(aligned.data())->UnPack());
        return decoder(*native);
    }
    catch (decode_failure const& it)
    {
        return it.reason;
    }
}

} // namespace

std::string encode(message const& it)
{
    wire::envelopeT envelope;
    encode_union<message, message_wire_types>(it, envelope.body);
    return pack<wire::envelope>(envelope);
}

std::string encode_frame(message const& it)
{
    std::string out;
    append_frame(out, encode(it));
    return out;
}

result<message, decode_error> decode(std::string_view bytes)
{
    return unpack<wire::envelope, message>(
        bytes, [](wire::envelopeT const& it)
        { return decode_union<message, message_wire_types>(it.body); });
}

std::string encode_command(control::command const& it)
{
    return pack<wire::command>(*encode_table<wire::commandT>(it));
}

result<control::command, decode_error> decode_command(std::string_view bytes)
{
    return unpack<wire::command, command>(
        bytes, &decode_table<command, wire::commandT>);
}

std::string encode_parts(control::control_parts const& it)
{
    return pack<wire::control_parts>(*encode_table<wire::control_partsT>(it));
}

result<control::control_parts, decode_error>
decode_parts(std::string_view bytes)
{
    return unpack<wire::control_parts, control_parts>(
        bytes, &decode_table<control_parts, wire::control_partsT>);
}

} // namespace basilreach::messages
