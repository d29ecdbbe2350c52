#ifndef BASILREACH_TELEMETRY_DECISION_LOG_HPP
#define BASILREACH_TELEMETRY_DECISION_LOG_HPP

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <basilreach/base/name.hpp>

namespace basilreach::telemetry
{

// One decision on the routing of a statement or on the promotion of a server.
// Fields that do not apply are empty or zero.
struct decision_record
{
    // "route", "wait", "relay", "refuse" or "place".
    char const* decision = "";
    char const* reason = "";
    std::uint64_t request = 0;
    std::uint64_t session = 0;
    session_name session_label;
    // The id that the client has given to the request.
    std::string request_label;
    workspace_name workspace;
    route_name route;
    group_name group;
    server_name server;
    // For a refusal: "not_run" or "unknown".
    char const* outcome = "";
    // For a refusal: its reason.
    char const* cause = "";
    // For a refusal: the class of the statement, and the time after which its
    // client was told to try again.
    std::optional<std::uint8_t> priority{};
    std::chrono::milliseconds retry_after{};
    // For a refused connection: the revision of the control state that decided.
    std::uint64_t revision = 0;

    friend bool operator==(decision_record const&,
                           decision_record const&) = default;
};

// Returns the record as "decision=... FIELD=VALUE ...", without empty fields.
[[nodiscard]] std::string to_line(decision_record const& it);

// Writes decision records to the log in a thread of its own, so that no request
// waits for the log. At most `limit` records are pending; further ones are
// dropped and counted.
class decision_log
{
public:
    explicit decision_log(std::size_t limit = 100'000);
    ~decision_log();
    decision_log(decision_log const&) = delete;
    decision_log& operator=(decision_log const&) = delete;

    // Queues records for the writer thread and leaves the vector empty.
    void write(std::vector<decision_record>& records);

    // Returns the number of records dropped so far.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    // The loop of the writer thread.
    void run();

    std::size_t limit_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<decision_record> pending_;
    std::uint64_t dropped_ = 0;
    bool stopping_ = false;
    std::thread writer_;
};

} // namespace basilreach::telemetry

#endif
