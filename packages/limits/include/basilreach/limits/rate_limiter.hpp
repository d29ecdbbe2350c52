#ifndef BASILREACH_LIMITS_RATE_LIMITER_HPP
#define BASILREACH_LIMITS_RATE_LIMITER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/base/table.hpp>
#include <basilreach/limits/contact_messages.hpp>
#include <basilreach/limits/token_messages.hpp>

namespace basilreach::limits
{

struct rate_limiter_settings
{
    // Minimum time between two requests for a workspace.
    duration request_interval = std::chrono::milliseconds(1);
    // Time after which an unanswered request is sent again for the first time.
    // It doubles with each further request up to the maximum: on a link that is
    // full, each request would delay the answer to the others.
    duration retry_interval = std::chrono::milliseconds(20);
    duration max_retry_interval = std::chrono::seconds(1);
    // Maximum time until the use of tokens is reported.
    duration report_interval = std::chrono::milliseconds(100);
    // Time between two requests for a workspace without traffic.
    duration idle_interval = std::chrono::milliseconds(350);
    // The reserve covers the expected demand of this time.
    duration reserve_time = std::chrono::milliseconds(400);
    // Minimum reserve, in tokens, of a workspace that was used within
    // recent_time. Its next statement then waits neither for a round trip nor
    // for the first grants of a new leader.
    std::int64_t min_reserve = 0;
    duration recent_time = std::chrono::seconds(10);
    // Interval of the contact reports of a holder without floors, with which it
    // learns which workspaces the allocator wants reported. Zero for no such
    // reports.
    duration contact_interval{};
    // Whether requests that are due soon are sent together with one that is
    // due, so that one message carries several.
    bool batch_reports = false;

    friend auto operator<=>(rate_limiter_settings const&,
                            rate_limiter_settings const&) = default;
};

// Local rate limiter of a daemon or traffic thread, which enforces the rate of
// each workspace together with the token_allocator. It consumes only unexpired
// tokens that the allocator granted, requests more when few are left for the
// measured demand, and returns surplus ones. Without grants it falls back to a
// floor, a small bucket of its own.
class rate_limiter
{
public:
    rate_limiter(rate_limiter_settings settings,
                 daemon_name holder,
                 std::uint64_t incarnation);

    // Adds or removes a workspace. Its first request is sent at the given time,
    // or as soon as a statement waits or the allocator asks for it.
    void add_workspace(workspace_name const& workspace,
                       instant now,
                       instant first_report_at = {});
    void remove_workspace(workspace_name const& workspace);

    // Sets when the first contact report is sent, if the settings have an
    // interval for contact reports.
    void set_first_contact(instant it);

    // Consumes tokens; returns false and consumes none if too few are left.
    bool try_consume(workspace_name const& workspace,
                     std::int64_t tokens,
                     instant now);

    // Puts back tokens that try_consume took at the same time for a statement
    // that was then not sent. tick must not run in between.
    void refund(workspace_name const& workspace, std::int64_t tokens);

    // Sets the number of tokens that statements wait for. The next requests
    // state it to the allocator.
    void set_waiting(workspace_name const& workspace,
                     std::int64_t tokens,
                     instant now);

    // Adds the tokens of a grant; a stale grant is ignored.
    void receive(token_grant const& grant, instant now);

    // Applies a contact grant; a stale one is ignored.
    void receive(contact_grant const& grant, instant now);

    // States that requests now go to another allocator, or over another
    // connection. All that it needs to know is sent soon.
    void change_allocator(instant now);

    // Removes up to this many unconsumed tokens, to be passed on to the
    // allocator of the daemon's threads, and returns how many.
    std::int64_t
    delegate(workspace_name const& workspace, std::int64_t tokens, instant now);

    // Puts back delegated tokens and states how many are still delegated. The
    // others have been consumed.
    void reconcile(workspace_name const& workspace,
                   std::int64_t taken_back,
                   std::int64_t still_delegated,
                   instant now);

    // Returns the whole tokens that can be consumed now.
    [[nodiscard]] std::int64_t available(workspace_name const& workspace,
                                         instant now);

    // Returns when the allocator expects to have a token for one more statement
    // of a workspace of which the rate is used up. Returns nothing if the rate
    // is not known to be used up: the allocator has tokens, recovers, or has
    // not been heard of lately.
    [[nodiscard]] std::optional<instant>
    next_token(workspace_name const& workspace, instant now) const;

    // Returns when the tokens of a workspace expire.
    [[nodiscard]] instant expiry(workspace_name const& workspace) const;

    // Processes what is due and returns the requests to send.
    std::vector<token_request> tick(instant now);

    // Returns the contact report to send, if one is due. To be called after
    // tick.
    [[nodiscard]] std::optional<contact_report> tick_contact(instant now);

    // Returns when tick or tick_contact has something to do next.
    [[nodiscard]] instant next_deadline() const;

    // Requests since the start that were sent before the last one for the same
    // workspace had been answered.
    [[nodiscard]] std::uint32_t repeats() const noexcept
    {
        return repeats_;
    }

private:
    struct local_bucket
    {
        workspace_name workspace;
        // Unconsumed tokens, in nanotokens.
        std::int64_t left = 0;
        // In tokens.
        std::int64_t delegated = 0;
        std::int64_t returned = 0;
        std::int64_t waiting = 0;
        // What the last request stated.
        std::int64_t reported_waiting = 0;
        instant expiry;
        // Whether `expiry` is that of tokens of the floor.
        bool is_floor_expiry = false;
        grant_id last_grant;
        instant last_grant_sent;
        rate_floor floor;
        // The floor is in use if it was refilled beyond the end of its
        // suspension.
        instant floor_suspended_until = never;
        instant floor_refilled_until;
        std::uint64_t sequence = 0;
        instant first_report_at;
        instant sent;
        // Time after which the request is sent again.
        duration retry{};
        // Whether a grant has answered the last request.
        bool answered = true;
        // Whether the next request is due after request_interval already.
        bool request_urgent = false;
        // Whether tokens were consumed, or more are waited for, since the last
        // request.
        bool use_unreported = false;
        // Tokens a second at `demand_at`, averaged over demand_window_s.
        double demand = 0;
        instant demand_at;
        // When the last grant arrived that stated that the rate is used up,
        // unless a later one stated otherwise, and what it stated.
        std::optional<instant> used_up_at;
        instant next_token;
    };

    local_bucket* find(workspace_name const& workspace);
    [[nodiscard]] local_bucket const*
    find(workspace_name const& workspace) const;
    static void refresh(local_bucket& it, instant now);
    void record_use(local_bucket& it, std::int64_t tokens, instant now);
    [[nodiscard]] std::int64_t target_reserve(local_bucket const& it,
                                              instant now) const;
    [[nodiscard]] instant send_time(local_bucket const& it) const;
    [[nodiscard]] static bool is_urgent(local_bucket const& it);
    [[nodiscard]] static bool has_nothing_to_report(local_bucket const& it);
    [[nodiscard]] instant next_contact() const;
    [[nodiscard]] bool is_current() const;
    void request_reports(contact_grant const& grant, instant now);
    [[nodiscard]] bool is_due_soon(local_bucket const& it, instant now) const;
    void schedule(row_id id, local_bucket const& it);
    token_request make_request(local_bucket& it, instant now);

    rate_limiter_settings settings_;
    daemon_name holder_;
    std::uint64_t incarnation_;
    table<local_bucket> buckets_;
    std::map<workspace_name, row_id> by_name_;
    deadline_queue<row_id> due_;
    instant last_batch_sent_;
    std::uint32_t repeats_ = 0;
    // Whether a workspace has a floor, which contact keeps suspended, or will
    // get one.
    bool has_floor_ = false;
    bool lacks_floors_ = false;
    // Whether the last contact report was answered. The allocator answers none
    // of a holder that is not registered yet.
    bool is_contact_answered_ = true;
    instant contact_sent_;
    instant first_contact_ = never;
    // Term and sending time of the last contact grant.
    std::pair<std::uint64_t, instant> last_contact_;
};

} // namespace basilreach::limits

#endif
