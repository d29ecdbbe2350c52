// A model in virtual time of what statements wait for before they run: rate
// tokens, connections and slots of servers. It compares daemons that each run
// the statements of their clients with daemons that send them to holders. Load
// and servers are those of deployment F in docs/overload-and-placement.md.
#include "figure.hpp"
#include "subcommands.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <basilreach/base/instant.hpp>
#include <basilreach/dispatch/placement.hpp>

#include <simulation.hpp>

namespace basilreach::measure
{

namespace
{

using limits::replay::random_source;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr unsigned data_centres = 3;
constexpr unsigned groups = 8;
constexpr unsigned workspaces = 79;
constexpr std::size_t connection_limit = 56;
constexpr unsigned slots = 4;
constexpr duration opening = milliseconds(12);
constexpr duration between_data_centres = microseconds(500);
constexpr duration deadline = milliseconds(600);
constexpr duration run_length = std::chrono::seconds(30);
// Statements before this time fill the pools and are not counted.
constexpr duration warm_up = std::chrono::seconds(5);
// A statement with its answer, and a request for a token with the grant.
constexpr double statement_bytes = 1000;
constexpr double token_bytes = 250;
// The leader is in the first data centre.
constexpr unsigned leader_place = 0;

struct route
{
    double rate;
    duration work;
    bool reads_at_primary;
    double writes;
};

constexpr std::array<route, 3> routes{{
    {145, milliseconds(3), true, 0.20},
    {253, milliseconds(15), false, 0},
    {680, milliseconds(9), false, 0.12},
}};

struct connection
{
    unsigned host;
    unsigned workspace;
    instant free_at;
};

struct server
{
    std::vector<connection> connections;
    std::array<instant, slots> slot_free_at{};

    // Occupies the first free slot from `start` on. Returns when it began.
    instant occupy(instant start, duration length)
    {
        auto& slot =
            *std::min_element(slot_free_at.begin(), slot_free_at.end());
        auto const begin = std::max(start, slot);
        slot = begin + length;
        return begin;
    }
};

// The tokens that a host keeps of a workspace, without asking the leader.
struct reserve
{
    double tokens = 0;
    instant filled;
};

struct totals
{
    double statements = 0;
    double opened = 0;
    double token_waits = 0;
    double refused = 0;
    double bytes = 0;
    std::vector<duration> waits;
};

unsigned place_of(unsigned host)
{
    return host % data_centres;
}

duration latency(unsigned from, unsigned to)
{
    return from == to ? duration{} : between_data_centres;
}

class model
{
public:
    model(unsigned hosts, bool has_holders, std::uint64_t seed)
        : hosts_(hosts), has_holders_(has_holders), random_(seed),
          servers_(std::size_t{groups} * data_centres)
    {
        double weights = 0;
        for (unsigned n = 0; n != workspaces; ++n)
            weights += weight_of(n);
        for (unsigned n = 0; n != workspaces; ++n)
            bursts_.push_back(1 + total_rate() * weight_of(n) / weights);
        for (unsigned n = 0; n != hosts; ++n)
            members_["h" + std::to_string(n)] = n;
        place_keys();
    }

    totals run()
    {
        for (instant now{}; now < instant{run_length};
             now += random_.exponential(total_rate()))
            arrive(now);
        return std::move(totals_);
    }

private:
    // A few workspaces are large.
    static double weight_of(unsigned workspace)
    {
        return 1.0 / (1 + workspace);
    }

    static double total_rate()
    {
        double rate = 0;
        for (auto const& it : routes)
            rate += it.rate;
        return rate;
    }

    // Computes the holders of all keys, and how many hosts hold tokens of each
    // workspace.
    void place_keys()
    {
        dispatch::member_map members;
        for (auto const& [name, n] : members_)
            members[daemon_name(name)] = {
                data_centre_name(std::to_string(place_of(n))), ""};
        std::set<group_name> names;
        for (unsigned n = 0; n != groups; ++n)
            names.insert(group_name(std::to_string(n)));
        for (unsigned n = 0; n != workspaces; ++n)
        {
            workspace_name const name("w" + std::to_string(n));
            auto const burst = static_cast<std::uint64_t>(bursts_[n]);
            token_hosts_.push_back(
                has_holders_
                    ? dispatch::first_holders(members, name, burst, names)
                          .size()
                    : hosts_);
            for (auto const& group : names)
                for (unsigned place = 0; place != data_centres; ++place)
                    holders_.push_back(
                        holder_of(members,
                                  dispatch::make_placement_key(
                                      name, group, burst, groups, data_centres),
                                  place));
        }
    }

    unsigned holder_of(dispatch::member_map const& members,
                       dispatch::placement_key const& key,
                       unsigned place)
    {
        auto const ranks = dispatch::rank_holders(
            members, key, data_centre_name(std::to_string(place)));
        return members_.at(ranks.front().str());
    }

    std::size_t pick(std::vector<double> const& weights)
    {
        double sum = 0;
        for (auto const it : weights)
            sum += it;
        auto rest = random_.unit() * sum;
        for (std::size_t n = 0; n + 1 != weights.size(); ++n)
            if ((rest -= weights[n]) < 0)
                return n;
        return weights.size() - 1;
    }

    void arrive(instant now)
    {
        auto const& way =
            routes[pick({routes[0].rate, routes[1].rate, routes[2].rate})];
        auto const workspace = static_cast<unsigned>(pick(bursts_));
        auto const group = static_cast<unsigned>(random_.below(groups));
        auto const host = static_cast<unsigned>(random_.below(hosts_));
        bool const at_primary =
            way.reads_at_primary || random_.unit() < way.writes;
        auto const place = at_primary ? group % data_centres : place_of(host);
        auto const runner =
            has_holders_
                ? holders_[(workspace * groups + group) * data_centres + place]
                : host;
        is_counted_ = now >= instant{warm_up};
        count(totals_.statements, 1);
        count_bytes(place_of(host), place, statement_bytes);
        auto const hop = latency(place_of(host), place_of(runner));
        auto const ready = take_token(runner, workspace, now + hop);
        run_at(servers_[group * data_centres + place], runner, workspace, now,
               ready, way.work);
    }

    void count(double& total, double n) const
    {
        if (is_counted_)
            total += n;
    }

    void count_bytes(unsigned from, unsigned to, double bytes)
    {
        if (from != to)
            count(totals_.bytes, bytes);
    }

    // Returns when the host has a token. A host keeps an equal part of half of
    // the burst and asks the leader for what it has used.
    instant take_token(unsigned host, unsigned workspace, instant now)
    {
        auto const part = bursts_[workspace] / 2 /
                          static_cast<double>(token_hosts_[workspace]);
        auto const round_trip =
            2 * latency(place_of(host), leader_place) + milliseconds(1);
        count_bytes(place_of(host), leader_place, token_bytes);
        auto& kept = reserves_[{host, workspace}];
        if (part >= 1 && now >= kept.filled)
            kept.tokens = part;
        if (kept.tokens < 1)
        {
            count(totals_.token_waits, 1);
            return now + round_trip;
        }
        if (kept.tokens == part)
            kept.filled = now + round_trip;
        kept.tokens -= 1;
        return now;
    }

    void run_at(server& at,
                unsigned host,
                unsigned workspace,
                instant arrived,
                instant ready,
                duration work)
    {
        auto* it = find_idle(at, host, workspace, ready);
        if (it == nullptr)
            it = open(at, host, workspace, ready);
        if (ready - arrived > deadline)
        {
            count(totals_.refused, 1);
            return;
        }
        auto const begin = at.occupy(std::max(ready, it->free_at), work);
        it->free_at = begin + work;
        if (begin - arrived > deadline)
            count(totals_.refused, 1);
        if (is_counted_)
            totals_.waits.push_back(begin - arrived);
    }

    static connection*
    find_idle(server& at, unsigned host, unsigned workspace, instant now)
    {
        for (auto& it : at.connections)
            if (it.host == host && it.workspace == workspace &&
                it.free_at <= now)
                return &it;
        return nullptr;
    }

    // Opens a connection, in place of the one that is unused for longest if the
    // server accepts no more: its share is moved by the leader.
    connection*
    open(server& at, unsigned host, unsigned workspace, instant& ready)
    {
        count(totals_.opened, 1);
        if (at.connections.size() < connection_limit)
            at.connections.push_back({host, workspace, {}});
        else
        {
            auto& oldest =
                *std::min_element(at.connections.begin(), at.connections.end(),
                                  [](auto const& left, auto const& right)
                                  { return left.free_at < right.free_at; });
            if (oldest.host != host)
                ready += 2 * between_data_centres + milliseconds(1);
            ready = std::max(ready, oldest.free_at);
            std::swap(oldest, at.connections.back());
            at.connections.back() = {host, workspace, {}};
        }
        ready = at.occupy(ready, opening) + opening;
        return &at.connections.back();
    }

    unsigned hosts_;
    bool has_holders_;
    random_source random_;
    std::vector<server> servers_;
    std::vector<double> bursts_;
    std::map<std::string, unsigned> members_;
    // Hosts that hold tokens of each workspace.
    std::vector<std::size_t> token_hosts_;
    // By workspace, group and data centre.
    std::vector<unsigned> holders_;
    std::map<std::pair<unsigned, unsigned>, reserve> reserves_;
    bool is_counted_ = false;
    totals totals_;
};

double milliseconds_at(std::vector<duration>& waits, double fraction)
{
    auto const at =
        waits.begin() + static_cast<std::ptrdiff_t>(
                            fraction * static_cast<double>(waits.size() - 1));
    std::nth_element(waits.begin(), at, waits.end());
    return std::chrono::duration<double, std::milli>(*at).count();
}

std::vector<double> figures_of(totals it)
{
    return {it.opened / it.statements,      it.token_waits / it.statements,
            milliseconds_at(it.waits, 0.5), milliseconds_at(it.waits, 0.99),
            it.refused / it.statements,     it.bytes / it.statements};
}

struct figure_name
{
    char const* name;
    char const* unit;
};

// In the order of figures_of().
constexpr std::array<figure_name, 6> names{{
    {"opened_per_statement", "1"},
    {"waiting_for_token", "1"},
    {"wait_p50", "ms"},
    {"wait_p99", "ms"},
    {"refused", "1"},
    {"bytes_between_data_centres", "B/statement"},
}};

} // namespace

int measure_dispatch(std::uint64_t seed)
{
    for (unsigned const hosts : {9U, 65U, 73U, 195U, 1000U, 4900U})
    {
        auto const local = figures_of(model(hosts, false, seed).run());
        auto const placed = figures_of(model(hosts, true, seed).run());
        for (std::size_t n = 0; n != names.size(); ++n)
            print_figure("dispatch." + std::string(names[n].name) + "." +
                             std::to_string(hosts),
                         placed[n], names[n].unit, local[n], seed);
    }
    return 0;
}

} // namespace basilreach::measure
