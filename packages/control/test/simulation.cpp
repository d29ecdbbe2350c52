#include "simulation.hpp"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace basilreach::control::test
{

namespace
{

constexpr milliseconds step_length{5};
// Between the crash of a leader and the election of the next one.
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

template <class T>
T number(std::string const& text)
{
    return static_cast<T>(std::stoll(text));
}

std::string rest_of(std::vector<std::string> const& words, std::size_t first)
{
    std::string text;
    for (std::size_t n = first; n < words.size(); ++n)
        text += (n == first ? "" : " ") + words[n];
    return text;
}

std::string differs(std::string const& seen, std::string const& wanted)
{
    return seen == wanted ? "" : seen + ", not " + wanted;
}

announce_server server_at(server_name const& server, std::uint64_t sequence)
{
    return {server, the_group, data_centre_name{"a"}, "127.0.0.1:1", sequence};
}

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
            rules.keys[digest_of(number<std::uint8_t>(word))] =
                workspace_name{"w"};
    }
    return rules;
}

simulation::simulation() : host(parse_rules)
{
}

instant simulation::local(instant time, int per_mille)
{
    return time + time.time_since_epoch() * per_mille / 1000;
}

std::string simulation::elect(std::string const& per_mille)
{
    // A new leader holds nothing but the replicated log.
    control_state rebuilt(parse_rules);
    for (std::size_t n = 0; n != log_.size(); ++n)
        rebuilt.apply(n + 1, log_[n]);
    watch.state(rebuilt.revision(), rebuilt.digest());
    host = rebuilt;
    answers_.clear();
    ++elections;
    leader_per_mille_ = per_mille.empty() ? 0 : number<int>(per_mille);
    lead.emplace(host, leader_settings{}, local(now, leader_per_mille_));
    return "";
}

void simulation::commit(command const& it)
{
    log_.push_back(it);
    auto answer = host.apply(log_.size(), it);
    watch.state(host.revision(), host.digest());
    if (auto const* const body = std::get_if<choose_primary>(&it.body);
        body != nullptr && std::holds_alternative<accepted>(answer))
        watch.chosen(body->group, body->term, servers_[body->server].position);
    if (lead)
        lead->receive(committed{log_.size(), it, std::move(answer)});
}

void simulation::step()
{
    now += step_length;
    if (election_ && now >= *election_)
    {
        election_.reset();
        elect("");
    }
    for (auto const& it : std::exchange(pending_, {}))
        commit(it);
    for (auto const& [time, answer] : std::exchange(answers_, {}))
        if (lead)
            lead->receive(answer);
    for (auto& [name, it] : daemons_)
        step_daemon(name, it);
    instant const leader_now = local(now, leader_per_mille_);
    if (lead && leader_now >= lead->next_deadline())
        for (auto const& it : lead->tick(leader_now))
            if (lead)
                deliver(it);
    for (auto& [name, it] : daemons_)
        if (lead && local(now, it.per_mille) < it.holder.valid_until())
            watch.lease(name, it.served.revision(), lead->revision_in_force());
}

void simulation::step_daemon(daemon_name const& name, sim_daemon& it)
{
    if (lead && !it.is_cut && !it.is_deaf)
    {
        while (it.applied.revision() < host.revision())
            it.applied.apply(it.applied.revision() + 1,
                             log_[it.applied.revision()]);
        it.holder.receive(state_offered{it.applied.revision()});
    }
    instant const daemon_now = local(now, it.per_mille);
    if (daemon_now < it.holder.next_deadline())
        return;
    for (auto const& output : it.holder.tick(daemon_now))
    {
        if (std::holds_alternative<adopt_state>(output) && !it.is_stuck)
            adopt(it);
        if (!lead || it.is_cut)
            continue;
        if (auto const* const renewal = std::get_if<lease_renewal>(&output))
            lead->receive(*renewal);
        if (auto const* const back = std::get_if<lease_returned>(&output))
            lead->receive(*back);
    }
    watch.state(it.applied.revision(), it.applied.digest());
    (void)name;
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
        it.holder.receive(adopted{thread, it.served.revision()});
}

void simulation::deliver(leader_output const& it)
{
    bool const is_crash = crash_ && crash_->kind == kind_of(it);
    if (!is_crash || crash_->is_after)
        effect(it);
    if (!is_crash)
        return;
    crash_.reset();
    lead.reset();
    election_ = now + election_time;
}

void simulation::effect(leader_output const& it)
{
    if (auto const* const proposal = std::get_if<propose>(&it))
        pending_.push_back(proposal->entry);
    if (auto const* const grant = std::get_if<grant_lease>(&it))
    {
        auto& daemon = daemons_.at(grant->daemon);
        if (!daemon.is_cut && !daemon.is_deaf)
            daemon.holder.receive(*grant);
    }
    if (auto const* const query = std::get_if<ask_positions>(&it))
        for (auto const& name : query->servers)
            if (auto const& server = servers_[name]; !server.is_cut)
                answers_.emplace_back(
                    now,
                    position_reported{name, query->round, server.position.term,
                                      server.position.offset});
    if (auto const* const order = std::get_if<promote>(&it))
        if (auto& server = servers_[order->server];
            !server.is_cut && !server.is_mute)
        {
            bool const ok = order->term >= server.position.term;
            if (ok)
            {
                server.position.term = order->term;
                watch.primary(order->group, order->term, order->server);
            }
            answers_.emplace_back(
                now, promotion_answered{order->server, order->term, ok});
        }
    if (auto const* const decision = std::get_if<placement_decision>(&it))
        decisions.push_back(*decision);
    if (auto const* const change = std::get_if<change_in_force>(&it))
        in_force.emplace_back(now, *change);
}

// What an entry host does before it relays the success of a write.
std::string simulation::try_ack(sim_daemon& it, std::uint64_t offset)
{
    auto const* const group = it.served.find(the_group);
    if (local(now, it.per_mille) >= it.holder.valid_until())
        return "no_lease";
    if (group == nullptr || group->phase != group_phase::serving)
        return "fenced";
    log_position const position{group->term, offset};
    auto const reached =
        std::count_if(servers_.begin(), servers_.end(),
                      [&position](auto const& server)
                      { return server.second.position >= position; });
    if (static_cast<std::size_t>(reached) < servers_.size() / 2 + 1)
        return "no_majority";
    it.acknowledged = std::max(it.acknowledged, position);
    watch.acknowledged(the_group, position);
    return "acknowledged";
}

std::string simulation::start(std::string const& time)
{
    elect("");
    for (char const* event : {"daemon d1", "daemon d2", "server s1 1",
                              "server s2 1", "server s3 1"})
        run(std::string(time).append(" ").append(event));
    return "";
}

std::string simulation::plan_crash(bool is_after, std::string const& kind)
{
    crash_ = crash_point{is_after, kind};
    return "";
}

std::string simulation::start_daemon(daemon_name const& name,
                                     std::string const& per_mille)
{
    int const rate = per_mille.empty() ? 0 : number<int>(per_mille);
    lease_holder const holder(name, data_centre_name{"a"}, ++incarnations_, 2,
                              {}, local(now, rate));
    control_state const empty(parse_rules);
    daemons_.insert_or_assign(name, sim_daemon{empty, empty, holder, rate});
    return "";
}

std::string simulation::stop_daemon(daemon_name const& name)
{
    daemons_.at(name).holder.receive(stop_requested{});
    return "";
}

std::string simulation::set_fault(std::string const& host_name,
                                  std::string const& fault,
                                  bool on)
{
    if (auto const it = servers_.find(server_name{host_name});
        it != servers_.end())
        (fault == "cut" ? it->second.is_cut : it->second.is_mute) = on;
    if (auto const it = daemons_.find(daemon_name{host_name});
        it != daemons_.end())
    {
        auto& daemon = it->second;
        std::map<std::string, bool*> const faults{{"cut", &daemon.is_cut},
                                                  {"deaf", &daemon.is_deaf},
                                                  {"stuck", &daemon.is_stuck}};
        *faults.at(fault) = on;
    }
    return "";
}

std::string simulation::set_position(server_name const& name,
                                     log_position position)
{
    servers_.at(name).position = position;
    return "";
}

// A primary of any term takes the write. When it can be reached, the replicas
// that can be reached and know no later term follow it, or keep what they have
// when they lag.
std::string simulation::write_to(server_name const& name)
{
    auto const& primary = servers_.at(name);
    if (!watch.is_primary(the_group, primary.position.term, name))
        return "";
    servers_.at(name).position.offset = ++last_write_;
    for (auto& [other, it] : servers_)
        if (!primary.is_cut && !it.is_cut &&
            (last_write_ + other.str().back()) % 3 != 0 &&
            it.position.term <= primary.position.term)
            it.position = primary.position;
    return "";
}

std::string simulation::submit(command const& it)
{
    auto answer = control_state(host).apply(host.revision() + 1, it);
    commit(it);
    return text_of(answer);
}

void simulation::run_until(instant end)
{
    while (now < end)
        step();
}

std::string simulation::expect(std::vector<std::string> const& words)
{
    auto const& what = words.at(0);
    std::string seen = "none";
    if (what == "group")
    {
        auto const& group = *host.find(the_group);
        constexpr std::array phases{"serving", "fencing", "choosing"};
        seen = phases.at(static_cast<std::size_t>(group.phase));
        seen += ' ' + group.primary.value_or(server_name{"none"}).str() + ' ' +
                std::to_string(group.term);
    }
    if (what == "reason" && !decisions.empty())
        seen = to_string(decisions.back().reason);
    if (what == "logged")
        for (auto const& it : decisions)
            if (to_string(it.reason) == words.at(1))
                seen = words.at(1);
    if (what == "in_force")
        seen = lead && lead->revision_in_force() == host.revision() ? "all"
                                                                    : "older";
    if (what == "version")
        seen = std::to_string(host.parts().rules_version);
    if (what == "daemons")
        seen = std::to_string(host.parts().daemons.size());
    auto const error = differs(seen, rest_of(words, 1));
    return error.empty() ? "" : what + " is " + error;
}

std::string simulation::run(std::string const& line)
{
    std::istringstream stream(line.substr(0, line.find('#')));
    std::vector<std::string> words;
    for (std::string word; stream >> word;)
        words.push_back(word);
    if (words.empty())
        return "";
    run_until(instant{milliseconds{number<int>(words.at(0))}});
    std::string const verb = words.at(1);
    std::vector<std::string> const args(words.begin() + 2, words.end());
    auto const arg = [&args](std::size_t n)
    {
        return n < args.size() ? args[n] : std::string{};
    };
    auto const answered =
        [&](command_body body, std::size_t outcome, change_id id = {})
    {
        return differs(submit({std::move(id), "trace", std::move(body)}),
                       arg(outcome).empty() ? "accepted" : arg(outcome));
    };
    server_name const server{arg(0)};
    daemon_name const daemon{arg(0)};

    auto const sequence = [&](std::size_t n)
    {
        return number<std::uint64_t>(arg(n));
    };
    auto const give = [&](auto const& it)
    {
        return answered(it, 1);
    };
    std::map<std::string_view, std::function<std::string()>> const verbs{
        {"start",
         [&]
         {
             return start(words.at(0));
         }},
        {"leader",
         [&]
         {
             return elect(arg(0));
         }},
        {"crash",
         [&]
         {
             return plan_crash(arg(0) == "after", arg(1));
         }},
        {"daemon",
         [&]
         {
             return start_daemon(daemon, arg(1));
         }},
        {"stop",
         [&]
         {
             return stop_daemon(daemon);
         }},
        {"remove_daemon",
         [&]
         {
             return give(remove_daemon{daemon});
         }},
        {"set",
         [&]
         {
             return set_fault(arg(0), arg(1), arg(2) == "on");
         }},
        {"server",
         [&]
         {
             return answered(server_at(server, sequence(1)), 2);
         }},
        {"leaving",
         [&]
         {
             return answered(announce_leaving{server, sequence(1)}, 2);
         }},
        {"remove",
         [&]
         {
             return answered(remove_server{server, sequence(1)}, 2);
         }},
        {"verdict",
         [&]
         {
             return answered(
                 report_verdict{server, sequence(2),
                                arg(1) == "up" ? verdict::up : verdict::down},
                 3);
         }},
        {"position",
         [&]
         {
             return set_position(server, {sequence(1), sequence(2)});
         }},
        {"write",
         [&]
         {
             return write_to(server);
         }},
        {"ack",
         [&]
         {
             return differs(try_ack(daemons_.at(daemon), sequence(1)), arg(2));
         }},
        {"rules",
         [&]
         {
             return answered(apply_rules{sequence(1), rest_of(args, 3)}, 2,
                             change_id{arg(0)});
         }},
        {"withdraw",
         [&]
         {
             return give(withdraw_key{digest_of(number<std::uint8_t>(arg(0)))});
         }},
        {"expect",
         [&]
         {
             return expect(args);
         }},
    };
    auto const found = verbs.find(verb);
    return found == verbs.end() ? "unknown event" : found->second();
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
    for (auto const& it : watch.violations)
        errors.push_back(it);
    return errors;
}

} // namespace basilreach::control::test
