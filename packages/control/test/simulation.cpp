#include "simulation.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <sstream>
#include <type_traits>
#include <utility>

namespace basilreach::control::test
{

namespace
{

constexpr milliseconds step_length{5};
// Time between the crash of a leader and the election of the next one.
constexpr milliseconds election_time{1500};
group_name const the_group{"g"};

std::string kind_of(leader_output const& it)
{
    constexpr std::array outputs{"propose", "grant",    "ask_positions",
                                 "promote", "in_force", "decision"};
    constexpr std::array commands{"rules",         "withdraw", "register",
                                  "remove_daemon", "forget",   "server",
                                  "leaving",       "remove",   "verdict",
                                  "begin_fencing", "choose",   "confirm"};
    if (auto const* const proposal = std::get_if<propose>(&it))
        return commands.at(proposal->entry.body.index());
    return outputs.at(it.index());
}

std::string text_of(command_answer const& it)
{
    constexpr std::array names{"accepted", "conflict", "superseded", "refused",
                               "repeated"};
    return names.at(it.index());
}

using arguments = std::vector<std::string>;

// Parses a word of a trace. An absent word gives zero or an empty value.
template <class T>
T parse(std::string const& word)
{
    if constexpr (std::is_same_v<T, verdict>)
        return word == "up" ? verdict::up : verdict::down;
    else if constexpr (std::is_same_v<T, bool>)
        return word == "on" || word == "after";
    else if constexpr (std::is_integral_v<T>)
        return word.empty() ? T{} : static_cast<T>(std::stoll(word));
    else if constexpr (std::is_same_v<T, key_digest>)
        return digest_of(parse<std::uint8_t>(word));
    else
        return T{word};
}

std::string word_or_empty(arguments const& words, std::size_t n)
{
    return n < words.size() ? words[n] : std::string{};
}

std::string rest_of(std::vector<std::string> const& words, std::size_t first)
{
    std::string text;
    for (std::size_t n = first; n < words.size(); ++n)
        text += (n == first ? "" : " ") + words[n];
    return text;
}

std::string difference(std::string const& actual, std::string const& expected)
{
    return actual == expected ? "" : actual + ", not " + expected;
}

// Calls a member function with the words of the event as arguments.
template <class R, class... Ts, std::size_t... N>
R call_with(simulation& s,
            R (simulation::*member)(Ts...),
            arguments const& words,
            std::index_sequence<N...>)
{
    return (s.*member)(parse<std::decay_t<Ts>>(word_or_empty(words, N))...);
}

template <class... Ts>
std::string
call(simulation& s, void (simulation::*member)(Ts...), arguments const& words)
{
    call_with(s, member, words, std::index_sequence_for<Ts...>{});
    return "";
}

template <class... Ts>
std::string call(simulation& s,
                 std::string (simulation::*member)(Ts...),
                 arguments const& words)
{
    return call_with(s, member, words, std::index_sequence_for<Ts...>{});
}

template <auto Member>
std::string event(simulation& s, arguments const& words)
{
    return call(s, Member, words);
}

// Commits a command with the words of the event as fields.
template <class Body, class... Fields>
std::string commit_event(simulation& s, arguments const& words)
{
    std::size_t n = 0;
    // List initialization evaluates the words from left to right.
    Body body{parse<Fields>(word_or_empty(words, n++))...};
    return s.submit({{}, "trace", std::move(body)}, word_or_empty(words, n));
}

struct event_row
{
    std::string_view verb;
    std::string (*run)(simulation&, arguments const&);
};

constexpr event_row events[] = {
    {"start", event<&simulation::start>},
    {"leader", event<&simulation::elect>},
    {"crash", event<&simulation::plan_crash>},
    {"daemon", event<&simulation::start_daemon>},
    {"stop", event<&simulation::stop_daemon>},
    {"set", event<&simulation::set_fault>},
    {"position", event<&simulation::set_position>},
    {"write", event<&simulation::write_to>},
    {"ack", event<&simulation::acknowledge>},
    {"server", event<&simulation::announce>},
    {"remove_daemon", commit_event<remove_daemon, daemon_name>},
    {"leaving", commit_event<announce_leaving, server_name, std::uint64_t>},
    {"remove", commit_event<remove_server, server_name, std::uint64_t>},
    {"withdraw", commit_event<withdraw_key, key_digest>},
};

} // namespace

key_digest digest_of(std::uint8_t byte)
{
    key_digest digest;
    digest.fill(byte);
    return digest;
}

result<rules::rule_set, rules_errors> parse_rules(std::string_view text)
{
    rules::rule_set rules;
    std::istringstream words{std::string(text)};
    for (std::string word; words >> word;)
    {
        if (word == "bad")
            return rules_errors{{"1:1 unknown rule 'bad'"}};
        if (word == "key" && words >> word)
            rules.keys[digest_of(parse<std::uint8_t>(word))] =
                workspace_name{"w"};
    }
    return rules;
}

simulation::simulation() : leader_state(parse_rules)
{
}

instant simulation::local_time(instant time, int per_mille)
{
    return time + time.time_since_epoch() * per_mille / 1000;
}

void simulation::elect(int per_mille)
{
    // A new leader starts from the replicated log alone.
    control_state rebuilt(parse_rules);
    for (std::size_t n = 0; n != log_.size(); ++n)
        rebuilt.apply(n + 1, log_[n]);
    invariants.record_state(rebuilt.revision(), rebuilt.digest());
    leader_state = rebuilt;
    answers_.clear();
    ++elections;
    leader_per_mille_ = per_mille;
    current_leader.emplace(leader_state, leader_settings{},
                           local_time(now, per_mille));
}

command_answer simulation::commit(command const& it)
{
    log_.push_back(it);
    auto answer = leader_state.apply(log_.size(), it);
    invariants.record_state(leader_state.revision(), leader_state.digest());
    if (auto const* const body = std::get_if<choose_primary>(&it.body);
        body != nullptr && std::holds_alternative<accepted>(answer))
        invariants.record_chosen(body->group, body->term,
                                 servers_[body->server]);
    if (current_leader)
        current_leader->receive(committed{log_.size(), it, answer});
    return answer;
}

void simulation::step()
{
    now += step_length;
    if (election_ && now >= *election_)
    {
        election_.reset();
        elect(0);
    }
    for (auto const& it : std::exchange(pending_, {}))
        commit(it);
    for (auto const& answer : std::exchange(answers_, {}))
        if (current_leader)
            current_leader->receive(answer);
    for (auto& [name, it] : daemons_)
        step_daemon(name, it);
    instant const leader_now = local_time(now, leader_per_mille_);
    if (current_leader && leader_now >= current_leader->next_deadline())
        for (auto const& it : current_leader->tick(leader_now))
            if (current_leader)
                deliver(it);
    for (auto& [name, it] : daemons_)
        if (current_leader &&
            local_time(now, it.per_mille) < it.holder.valid_until())
            invariants.check_lease(name, it.served.revision(),
                                   current_leader->revision_in_force());
}

void simulation::step_daemon(daemon_name const& name, sim_daemon& it)
{
    bool const is_cut = has_fault(name, "cut");
    if (current_leader && !is_cut && !has_fault(name, "deaf"))
    {
        while (it.applied.revision() < leader_state.revision())
            it.applied.apply(it.applied.revision() + 1,
                             log_[it.applied.revision()]);
        it.holder.receive(state_offered{it.applied.revision()});
    }
    instant const daemon_now = local_time(now, it.per_mille);
    if (daemon_now < it.holder.next_deadline())
        return;
    for (auto const& output : it.holder.tick(daemon_now))
    {
        if (std::holds_alternative<adopt_state>(output) &&
            !has_fault(name, "stuck"))
            adopt(it);
        if (!current_leader || is_cut)
            continue;
        if (auto const* const renewal = std::get_if<lease_renewal>(&output))
            current_leader->receive(*renewal);
        if (auto const* const returned = std::get_if<lease_returned>(&output))
            current_leader->receive(*returned);
    }
    invariants.record_state(it.applied.revision(), it.applied.digest());
}

void simulation::adopt(sim_daemon& it)
{
    it.served = it.applied;
    auto const* const group = it.served.find(the_group);
    if (group != nullptr && group->phase != group_phase::serving)
        it.holder.receive(write_acknowledged{the_group, it.acknowledged});
    else
        it.holder.receive(group_serving{the_group});
    for (std::size_t thread = 0; thread != 2; ++thread)
        it.holder.receive(state_adopted{thread, it.served.revision()});
}

void simulation::deliver(leader_output const& it)
{
    bool const is_crash = crash_ && crash_->second == kind_of(it);
    if (!is_crash || crash_->first)
        apply_output(it);
    if (!is_crash)
        return;
    crash_.reset();
    current_leader.reset();
    election_ = now + election_time;
}

void simulation::apply_output(leader_output const& it)
{
    if (auto const* const proposal = std::get_if<propose>(&it))
        pending_.push_back(proposal->entry);
    if (auto const* const grant = std::get_if<grant_lease>(&it);
        grant != nullptr && !has_fault(grant->daemon, "cut") &&
        !has_fault(grant->daemon, "deaf"))
        daemons_.at(grant->daemon).holder.receive(*grant);
    if (auto const* const query = std::get_if<query_positions>(&it))
        for (auto const& name : query->servers)
            if (auto const& position = servers_[name]; !has_fault(name, "cut"))
                answers_.emplace_back(position_reported{
                    name, query->round, position.term, position.offset});
    if (auto const* const order = std::get_if<promote>(&it);
        order != nullptr && !has_fault(order->server, "cut") &&
        !has_fault(order->server, "mute"))
    {
        auto& position = servers_[order->server];
        bool const ok = order->term >= position.term;
        if (ok)
        {
            position.term = order->term;
            invariants.record_primary(order->group, order->term, order->server);
        }
        answers_.emplace_back(
            promotion_answered{order->server, order->term, ok});
    }
    if (auto const* const decision = std::get_if<promotion_decision>(&it))
        decisions.push_back(*decision);
}

// Does what a daemon does before it relays the success of a write.
std::string simulation::acknowledge(daemon_name const& name,
                                    std::uint64_t offset,
                                    std::string const& expected)
{
    return difference(try_acknowledge(daemons_.at(name), offset), expected);
}

std::string simulation::try_acknowledge(sim_daemon& it, std::uint64_t offset)
{
    auto const* const group = it.served.find(the_group);
    if (local_time(now, it.per_mille) >= it.holder.valid_until())
        return "no_lease";
    if (group == nullptr || group->phase != group_phase::serving)
        return "fenced";
    log_position const position{group->term, offset};
    auto const reached = std::count_if(servers_.begin(), servers_.end(),
                                       [&position](auto const& server)
                                       { return server.second >= position; });
    if (static_cast<std::size_t>(reached) < servers_.size() / 2 + 1)
        return "no_majority";
    it.acknowledged = std::max(it.acknowledged, position);
    invariants.record_acknowledged(the_group, position);
    return "acknowledged";
}

void simulation::start()
{
    elect(0);
    for (char const* name : {"d1", "d2"})
        start_daemon(daemon_name{name}, 0);
    for (char const* name : {"s1", "s2", "s3"})
        announce(server_name{name}, 1, "");
}

void simulation::plan_crash(bool is_after, std::string const& kind)
{
    crash_ = {is_after, kind};
}

void simulation::start_daemon(daemon_name const& name, int per_mille)
{
    lease_holder const holder(name, data_centre_name{"a"}, ++incarnations_, 2,
                              {}, local_time(now, per_mille));
    control_state const empty(parse_rules);
    daemons_.insert_or_assign(name,
                              sim_daemon{empty, empty, holder, per_mille});
}

void simulation::stop_daemon(daemon_name const& name)
{
    daemons_.at(name).holder.receive(stop_requested{});
}

void simulation::set_fault(std::string const& target,
                           std::string const& fault,
                           bool on)
{
    if (on)
        faults_.insert({target, fault});
    else
        faults_.erase({target, fault});
}

void simulation::set_position(server_name const& name,
                              std::uint64_t term,
                              std::uint64_t offset)
{
    servers_.at(name) = {term, offset};
}

void simulation::write_to(server_name const& name)
{
    auto& position = servers_.at(name);
    if (!invariants.is_primary(the_group, position.term, name))
        return;
    position.offset = ++last_write_;
    for (auto& [other, it] : servers_)
        if (!has_fault(name, "cut") && !has_fault(other, "cut") &&
            it.term <= position.term &&
            (last_write_ + static_cast<unsigned char>(other.str().back())) %
                    3 !=
                0)
            it = position;
}

std::string simulation::announce(server_name const& name,
                                 std::uint64_t sequence,
                                 std::string const& expected)
{
    servers_.try_emplace(name);
    return submit({{},
                   "trace",
                   announce_server{name, the_group, data_centre_name{"a"},
                                   "127.0.0.1:1", sequence}},
                  expected);
}

std::string simulation::submit(command const& it, std::string const& expected)
{
    auto const answer = commit(it);
    return difference(text_of(answer),
                      expected.empty() ? "accepted" : expected);
}

void simulation::run_until(instant end)
{
    while (now < end)
        step();
}

std::string simulation::expect(std::vector<std::string> const& words)
{
    auto const& what = words.at(0);
    std::string actual = "none";
    if (what == "group")
    {
        auto const& group = *leader_state.find(the_group);
        constexpr std::array phases{"serving", "fencing", "choosing"};
        actual = phases.at(static_cast<std::size_t>(group.phase));
        actual += ' ' + group.primary.value_or(server_name{"none"}).str() +
                  ' ' + std::to_string(group.term);
    }
    if (what == "reason" && !decisions.empty())
        actual = to_string(decisions.back().reason);
    if (what == "logged")
        for (auto const& it : decisions)
            if (to_string(it.reason) == words.at(1))
                actual = words.at(1);
    if (what == "in_force")
        actual = current_leader && current_leader->revision_in_force() ==
                                       leader_state.revision()
                     ? "all"
                     : "older";
    if (what == "version")
        actual = std::to_string(leader_state.parts().rules_version);
    if (what == "daemons")
        actual = std::to_string(leader_state.parts().daemons.size());
    auto const error = difference(actual, rest_of(words, 1));
    return error.empty() ? "" : what + " is " + error;
}

std::string simulation::run(std::string const& line)
{
    std::istringstream stream(line.substr(0, line.find('#')));
    std::vector<std::string> const words{
        std::istream_iterator<std::string>(stream), {}};
    if (words.empty())
        return "";
    run_until(instant{milliseconds{parse<int>(words.at(0))}});
    arguments const args(words.begin() + 2, words.end());
    if (words.at(1) == "expect")
        return expect(args);
    // The words of these two events are not in the order of the fields.
    if (words.at(1) == "rules")
        return submit(
            {change_id{args.at(0)}, "trace",
             apply_rules{parse<std::uint64_t>(args.at(1)), rest_of(args, 3)}},
            args.at(2));
    if (words.at(1) == "verdict")
        return submit({{},
                       "trace",
                       report_verdict{server_name{args.at(0)},
                                      parse<std::uint64_t>(args.at(2)),
                                      parse<verdict>(args.at(1))}},
                      word_or_empty(args, 3));
    auto const* const found = std::find_if(std::begin(events), std::end(events),
                                           [&words](event_row const& row)
                                           { return row.verb == words[1]; });
    return found == std::end(events) ? "unknown event"
                                     : found->run(*this, args);
}

std::vector<std::string> simulation::run_all(std::string const& text)
{
    std::vector<std::string> errors;
    std::istringstream lines(text);
    int n = 0;
    for (std::string line; std::getline(lines, line);)
    {
        ++n;
        auto const error = run(line);
        if (!error.empty())
            errors.push_back("line " + std::to_string(n) + ": " + error);
    }
    for (auto const& it : invariants.violations)
        errors.push_back(it);
    return errors;
}

} // namespace basilreach::control::test
