#ifndef BASILREACH_DAEMON_THREAD_MESSAGES_HPP
#define BASILREACH_DAEMON_THREAD_MESSAGES_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <basilreach/limits/token_messages.hpp>
#include <basilreach/messages/message.hpp>
#include <basilreach/resources/resource_budget.hpp>
#include <basilreach/telemetry/latency_histogram.hpp>
#include <basilreach/traffic/action.hpp>
#include <basilreach/traffic/engine_settings.hpp>
#include <basilreach/traffic/event.hpp>

namespace basilreach::daemon
{

class client_connection;

// Metrics of one traffic thread: totals since the start and current numbers.
struct traffic_metrics
{
    traffic::engine_counts counts;
    std::size_t clients = 0;
    telemetry::latency_histogram reads;
    telemetry::latency_histogram writes;
    // Time from sending a statement to a holder until its answer.
    telemetry::latency_histogram forwarded;
    resources::budget_counts buffers;

    friend bool operator==(traffic_metrics const&,
                           traffic_metrics const&) = default;
};

// ---- From traffic threads to the control thread ----

struct view_adopted
{
    std::size_t thread = 0;
    std::uint64_t revision = 0;

    friend bool operator==(view_adopted const&, view_adopted const&) = default;
};

struct console_request
{
    std::size_t thread = 0;
    std::uint64_t session = 0;
    std::string text;

    friend bool operator==(console_request const&,
                           console_request const&) = default;
};

struct metrics_published
{
    std::size_t thread = 0;
    traffic_metrics metrics;

    friend bool operator==(metrics_published const&,
                           metrics_published const&) = default;
};

// The thread has no clients left after drain_requested.
struct thread_drained
{
    std::size_t thread = 0;

    friend bool operator==(thread_drained const&,
                           thread_drained const&) = default;
};

// Asks for a planned stop of the daemon.
struct stop_requested
{
    friend bool operator==(stop_requested const&,
                           stop_requested const&) = default;
};

// Asks to read the settings file again.
struct reload_requested
{
    friend bool operator==(reload_requested const&,
                           reload_requested const&) = default;
};

using control_message = std::variant<view_adopted,
                                     traffic::term_ended,
                                     limits::token_request,
                                     traffic::connections_used,
                                     traffic::server_reachability,
                                     console_request,
                                     metrics_published,
                                     thread_drained,
                                     stop_requested,
                                     reload_requested>;

// ---- To traffic threads ----

// A client whose route is served by the receiving thread.
struct client_handed_over
{
    std::unique_ptr<client_connection> client;
};

struct console_reply
{
    std::uint64_t session = 0;
    messages::admin_reply reply;

    friend bool operator==(console_reply const&,
                           console_reply const&) = default;
};

// Asks the thread to close its listener and to drain its sessions as far as the
// stage says.
struct drain_requested
{
    traffic::drain_stage stage = traffic::drain_stage::sessions;

    friend bool operator==(drain_requested const&,
                           drain_requested const&) = default;
};

// Asks the thread to end at once.
struct thread_stop
{
    friend bool operator==(thread_stop const&, thread_stop const&) = default;
};

using traffic_message = std::variant<traffic::event,
                                     client_handed_over,
                                     console_reply,
                                     drain_requested,
                                     thread_stop>;

} // namespace basilreach::daemon

#endif
