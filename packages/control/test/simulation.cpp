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

void simulation::elect(int per_mille)
{
    // A new leader holds nothing but the replicated log.
    control_state rebuilt(parse_rules);
    for (std::size_t n = 0; n != log_.size(); ++n)
        rebuilt.apply(n + 1, log_[n]);
    watch.state(rebuilt.revision(), rebuilt.digest());
    host = rebuilt;
    answers_.clear();
    ++elections;
    leader_per_mille_ = per_mille;
    lead.emplace(host, leader_settings{}, local(now, per_mille));
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
        elect(0);
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

std::string simulation::submit(command it)
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
    if (what == "in_force")
        seen = lead && lead->revision_in_force() == host.revision() ? "all"
                                                                    : "older";
    if (what == "version")
        seen = std::to_string(host.parts().rules_version);
    if (what == "daemons")
        seen = std::to_string(host.parts().daemons.size());
    std::string wanted;
    for (std::size_t n = 1; n != words.size(); ++n)
        wanted += (n == 1 ? "" : " ") + words[n];
    return seen == wanted ? "" : what + " is " + seen + ", not " + wanted;
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
        auto const seen = submit({std::move(id), "trace", std::move(body)});
        auto const wanted = arg(outcome).empty() ? "accepted" : arg(outcome);
        return seen == wanted ? "" : seen + ", not " + wanted;
    };
    server_name const server{arg(0)};
    daemon_name const daemon{arg(0)};

    std::map<std::string_view, std::function<std::string()>> const verbs{
        {"leader",
         [&]
         {
             elect(arg(0).empty() ? 0 : number<int>(arg(0)));
             return "";
         }},
        // A leader, two daemons and three servers.
        {"start",
         [&]
         {
             elect(0);
             for (char const* event : {"daemon d1", "daemon d2", "server s1 1",
                                       "server s2 1", "server s3 1"})
                 run(words.at(0) + ' ' + event);
             return "";
         }},
        {"crash",
         [&]
         {
             crash_ = crash_point{arg(0) == "after", arg(1)};
             return "";
         }},
        {"daemon",
         [&]
         {
             int const rate = arg(1).empty() ? 0 : number<int>(arg(1));
             lease_holder holder(daemon, data_centre_name{"a"}, ++incarnations_,
                                 2, {}, local(now, rate));
             control_state const empty(parse_rules);
             daemons_.insert_or_assign(daemon,
                                       sim_daemon{empty, empty, holder, rate});
             return "";
         }},
        {"stop",
         [&]
         {
             daemons_.at(daemon).holder.receive(stop_requested{});
             return "";
         }},
        {"remove_daemon",
         [&]
         {
             return answered(remove_daemon{daemon}, 1);
         }},
        {"set",
         [&]
         {
             bool const on = arg(2) == "on";
             if (auto const it = servers_.find(server); it != servers_.end())
                 (arg(1) == "cut" ? it->second.is_cut : it->second.is_mute) =
                     on;
             if (auto const it = daemons_.find(daemon); it != daemons_.end())
                 (arg(1) == "cut"    ? it->second.is_cut
                  : arg(1) == "deaf" ? it->second.is_deaf
                                     : it->second.is_stuck) = on;
             return "";
         }},
        {"server",
         [&]
         {
             servers_.try_emplace(server);
             return answered(
                 announce_server{server, the_group, data_centre_name{"a"},
                                 "127.0.0.1:1", number<std::uint64_t>(arg(1))},
                 2);
         }},
        {"leaving",
         [&]
         {
             return answered(
                 announce_leaving{server, number<std::uint64_t>(arg(1))}, 2);
         }},
        {"remove",
         [&]
         {
             return answered(
                 remove_server{server, number<std::uint64_t>(arg(1))}, 2);
         }},
        {"verdict",
         [&]
         {
             return answered(
                 report_verdict{server, number<std::uint64_t>(arg(2)),
                                arg(1) == "up" ? verdict::up : verdict::down},
                 3);
         }},
        {"position",
         [&]
         {
             servers_.at(server).position = {number<std::uint64_t>(arg(1)),
                                             number<std::uint64_t>(arg(2))};
             return "";
         }},
        {"ack",
         [&]
         {
             auto const seen =
                 try_ack(daemons_.at(daemon), number<std::uint64_t>(arg(1)));
             return seen == arg(2) ? "" : seen + ", not " + arg(2);
         }},
        {"rules",
         [&]
         {
             std::string text;
             for (std::size_t n = 3; n < args.size(); ++n)
                 text += args[n] + ' ';
             return answered(apply_rules{number<std::uint64_t>(arg(1)), text},
                             2, change_id{arg(0)});
         }},
        {"withdraw",
         [&]
         {
             return answered(
                 withdraw_key{digest_of(number<std::uint8_t>(arg(0)))}, 1);
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
