#include <basilreach/daemon/client_resources.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include <easylogging++.h>
#include <malloc.h>
#include <sys/resource.h>

namespace basilreach::daemon
{

namespace
{

// The reserve of descriptors: a part of them, and at least as many as a host
// with a few groups of servers needs.
constexpr std::size_t reserve_part = 8;
constexpr std::size_t min_reserve = 64;

// A budget holds two messages of the maximum size, so that a client within the
// limits is served while others send, too.
constexpr std::size_t messages_per_budget = 2;

// From this fraction of its budget on, a thread holds connections.
constexpr std::size_t hold_numerator = 3;
constexpr std::size_t hold_denominator = 4;

constexpr duration hold_timeout = std::chrono::seconds(10);

constexpr duration log_window = std::chrono::seconds(1);
constexpr std::size_t lines_per_window = 10;

// Freed buffers of this size are returned to the system. Small freed buffers
// would otherwise stay with the process for as long as a newer one follows them
// in memory.
constexpr std::size_t returned_bytes = std::size_t{4} << 20U;

// Indexed by resources::close_reason.
constexpr std::array reason_names = {"startup_timeout", "hold_timeout",
                                     "memory"};
static_assert(reason_names.size() == resources::close_reasons);

} // namespace

std::size_t max_client_connections(std::size_t descriptors)
{
    auto const reserve = std::max(min_reserve, descriptors / reserve_part);
    return descriptors > reserve ? descriptors - reserve : 1;
}

std::size_t descriptor_limit()
{
    rlimit it{};
    getrlimit(RLIMIT_NOFILE, &it);
    return it.rlim_cur;
}

resources::budget_settings
make_budget_settings(settings::daemon_settings const& settings)
{
    auto const& limits = settings.limits;
    std::size_t const part = limits.client_buffer_bytes /
                             std::max<std::size_t>(1, settings.traffic_threads);
    auto const bytes =
        std::max<std::size_t>(part, messages_per_budget * limits.message_bytes);
    return {bytes / hold_denominator * hold_numerator, bytes,
            settings.durations.startup_timeout, hold_timeout};
}

client_resources::client_resources(settings::daemon_settings const& settings,
                                   connection_count& connections)
    : budget_(make_budget_settings(settings)), connections_(connections),
      max_connections_(max_client_connections(descriptor_limit()))
{
}

client_resources::~client_resources()
{
    connections_ -= clients_.size();
}

void client_resources::add(client_connection& client)
{
    client.set_number(++last_number_);
    clients_.emplace(last_number_, &client);
    ++connections_;
}

void client_resources::add_startup(client_connection& client, instant now)
{
    add(client);
    budget_.begin_startup(client.number(), now);
}

void client_resources::add_session(client_connection& client)
{
    add(client);
    record(client);
}

void client_resources::remove(client_connection& client)
{
    if (clients_.erase(client.number()) == 0)
        return;
    budget_.remove(client.number());
    --connections_;
}

void client_resources::record(client_connection& client)
{
    if (clients_.contains(client.number()))
        budget_.record(client.number(), client.buffered_bytes());
}

void client_resources::tick(instant now)
{
    peak_bytes_ = std::max(peak_bytes_, budget_.counts().bytes);
    auto const decision = budget_.tick(now);
    auto const find = [this](resources::connection_number number)
    {
        auto const it = clients_.find(number);
        return it == clients_.end() ? nullptr : it->second;
    };
    for (auto const& it : decision.close)
    {
        log(it, now);
        if (auto* client = find(it.connection))
            client->close_at_once();
    }
    for (auto const it : decision.hold)
        if (auto* client = find(it))
            client->hold_reading(true);
    for (auto const it : decision.resume)
        if (auto* client = find(it))
            client->hold_reading(false);
}

void client_resources::log(resources::closure const& it, instant now)
{
    if (now >= log_window_end_)
    {
        log_window_end_ = now + log_window;
        lines_left_ = lines_per_window;
    }
    if (lines_left_ == 0)
    {
        ++lines_left_out_;
        return;
    }
    --lines_left_;
    LOG(WARNING) << "event=client_closed reason="
                 << reason_names[static_cast<std::size_t>(it.reason)]
                 << " bytes=" << it.bytes
                 << " left_out=" << std::exchange(lines_left_out_, 0);
}

void client_resources::release_memory()
{
    auto const bytes = budget_.counts().bytes;
    if (peak_bytes_ < bytes + returned_bytes)
        return;
    peak_bytes_ = bytes;
    malloc_trim(0);
}

} // namespace basilreach::daemon
