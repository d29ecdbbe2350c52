#include "control_fleet.hpp"

#include "console.hpp"

#include <algorithm>
#include <ctime>
#include <filesystem>
#include <utility>

#include <arpa/inet.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <pthread.h>
#include <sys/socket.h>

namespace basilreach::measure
{

namespace
{

// Time without a grant after which a daemon tries another control host, as in
// the daemon's control thread.
constexpr duration leader_timeout = std::chrono::milliseconds(900);

// Returns the bytes sent and received on all sockets of this process whose peer
// has one of the ports.
double socket_bytes(std::vector<std::uint16_t> const& ports)
{
    double sum = 0;
    std::error_code ec;
    for (auto const& it :
         std::filesystem::directory_iterator("/proc/self/fd", ec))
    {
        auto const fd = std::atoi(it.path().filename().c_str());
        sockaddr_in peer{};
        socklen_t size = sizeof(peer);
        if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0 ||
            peer.sin_family != AF_INET ||
            std::find(ports.begin(), ports.end(), ntohs(peer.sin_port)) ==
                ports.end())
            continue;
        tcp_info info{};
        size = sizeof(info);
        if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0)
            sum += static_cast<double>(info.tcpi_bytes_acked) +
                   static_cast<double>(info.tcpi_bytes_received);
    }
    return sum;
}

} // namespace

control_fleet::control_fleet(deployment const& hosts, std::size_t daemons)
    : hosts_(hosts), rows_(daemons), has_lease_(daemons), is_isolated_(daemons),
      revisions_(daemons)
{
    auto const settings = hosts.entry_settings("daemon");
    for (auto const& it : settings.control_hosts)
        names_.push_back(daemon::make_host_name(it));
    thread_ = std::thread([this] { run(); });
}

control_fleet::~control_fleet()
{
    stop_requested_ = true;
    loop_.wake();
    thread_.join();
}

void control_fleet::open(std::size_t n)
{
    auto& it = rows_[n];
    auto const now = daemon::read_clock();
    it.lease.reset();
    it.links.reset();
    it.context.settings = hosts_.entry_settings("daemon-" + std::to_string(n));
    daemon::choose_protocol(it.context);
    it.links = std::make_unique<daemon::link_table>(
        loop_, [this, n](daemon::link_id /*from*/, messages::message const& m)
        { receive(n, m); });
    // The lease client waits for one traffic thread and posts to none.
    it.context.threads = {nullptr};
    it.lease = std::make_unique<daemon::lease_client>(
        it.context, [this, n](messages::message const& m) { send(n, m); }, now);
    it.context.threads.clear();
    it.presumed_leader = n % names_.size();
    it.presumed_since = now;
    it.adopted = 0;
    changed_.insert(n);
}

void control_fleet::send(std::size_t n, messages::message const& it)
{
    auto& row = rows_[n];
    if (!is_isolated_[n])
        row.links->send(names_[row.presumed_leader], it);
}

void control_fleet::receive(std::size_t n, messages::message const& it)
{
    if (is_isolated_[n])
        return;
    auto& row = rows_[n];
    if (auto const* grant = std::get_if<control::grant_lease>(&it))
    {
        row.lease->receive(*grant);
        // The leader sends a grant with zero duration to a daemon that is not
        // registered or has an old state.
        if (grant->lease.count() > 0)
            has_lease_[n] = true;
    }
    else if (auto const* update = std::get_if<control::state_update>(&it))
        row.lease->receive(*update);
    else if (auto const* other = std::get_if<messages::not_leader>(&it))
    {
        consensus::host_name const leader(other->leader.str());
        auto const found = std::find(names_.begin(), names_.end(), leader);
        if (found != names_.end())
            row.presumed_leader =
                static_cast<std::size_t>(found - names_.begin());
        row.presumed_since = daemon::read_clock();
        row.lease->leader_changed();
    }
    changed_.insert(n);
}

void control_fleet::tick(std::size_t n, instant now)
{
    auto& it = rows_[n];
    if (now >=
        std::max(it.lease->last_grant(), it.presumed_since) + leader_timeout)
    {
        it.presumed_since = now;
        it.presumed_leader = (it.presumed_leader + 1) % names_.size();
    }
    it.lease->tick(now);
    auto const revision = it.lease->state().revision();
    if (std::exchange(it.adopted, revision) != revision)
    {
        it.lease->receive(daemon::view_adopted{0, revision});
        it.lease->tick(now);
        revisions_[n] = revision;
    }
    it.links->flush();
    it.links->remove_closed();
    deadlines_.set(n, it.lease->next_deadline());
}

void control_fleet::run()
{
    for (std::size_t n = 0; n != rows_.size(); ++n)
        open(n);
    while (!stop_requested_)
    {
        if (restart_requested_.exchange(false))
            for (std::size_t n = 0; n != rows_.size(); ++n)
                open(n);
        auto const now = daemon::read_clock();
        while (auto const n = deadlines_.pop_due(now))
            changed_.insert(*n);
        for (auto const n : std::exchange(changed_, {}))
            tick(n, now);
        loop_.run_once(changed_.empty() ? deadlines_.next() : instant::min());
    }
    rows_.clear();
}

std::size_t control_fleet::count_leased() const
{
    std::size_t out = 0;
    for (std::size_t n = 0; n != has_lease_.size(); ++n)
        out += has_lease_[n] || is_isolated_[n] ? 1 : 0;
    return out;
}

bool control_fleet::wait_for_leases() const
{
    return wait_until([this] { return count_leased() == has_lease_.size(); },
                      std::chrono::seconds(30), std::chrono::milliseconds(1));
}

bool control_fleet::wait_for_stable_state() const
{
    std::uint64_t last = 0;
    auto since = std::chrono::steady_clock::now();
    return wait_until(
        [&]
        {
            auto const now = std::chrono::steady_clock::now();
            std::uint64_t least = revisions_[0];
            std::uint64_t most = least;
            for (auto const& it : revisions_)
            {
                least = std::min(least, it.load());
                most = std::max(most, it.load());
            }
            if (least != most || least == 0 || most != last)
                since = now;
            last = most;
            return now - since > std::chrono::seconds(1);
        },
        std::chrono::seconds(30), std::chrono::milliseconds(20));
}

std::uint64_t control_fleet::revision() const
{
    return *std::min_element(revisions_.begin(), revisions_.end());
}

void control_fleet::restart()
{
    for (auto& it : has_lease_)
        it = false;
    for (auto& it : revisions_)
        it = 0;
    restart_requested_ = true;
    loop_.wake();
}

void control_fleet::set_isolated(std::size_t daemon, bool is_isolated)
{
    has_lease_[daemon] = false;
    is_isolated_[daemon] = is_isolated;
}

fleet_usage control_fleet::usage() const
{
    fleet_usage out;
    clockid_t clock = 0;
    timespec time{};
    if (pthread_getcpuclockid(const_cast<std::thread&>(thread_).native_handle(),
                              &clock) == 0 &&
        clock_gettime(clock, &time) == 0)
        out.cpu = static_cast<double>(time.tv_sec) +
                  static_cast<double>(time.tv_nsec) / 1e9;
    out.bytes = socket_bytes(hosts_.control_ports());
    return out;
}

} // namespace basilreach::measure
