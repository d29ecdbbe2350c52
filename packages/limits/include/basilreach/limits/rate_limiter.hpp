#ifndef BASILREACH_LIMITS_RATE_LIMITER_HPP
#define BASILREACH_LIMITS_RATE_LIMITER_HPP

#include <cstdint>
#include <map>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/base/instant.hpp>
#include <basilreach/base/name.hpp>
#include <basilreach/base/table.hpp>
#include <basilreach/limits/token_messages.hpp>

namespace basilreach::limits
{

struct rate_limiter_settings
{
    // Least time between two requests of a workspace.
    duration request_interval = std::chrono::milliseconds(1);
    // Time after which an unanswered request is sent again.
    duration retry_interval = std::chrono::milliseconds(20);
    // Longest time until a use of tokens is reported.
    duration report_interval = std::chrono::milliseconds(100);
    // Time between two requests of a workspace without traffic.
    duration idle_interval = std::chrono::milliseconds(350);
    // The reserve covers the use of this time.
    duration reserve_time = std::chrono::milliseconds(400);
    // Tokens kept for a workspace that was used within recent_time, so that its
    // next statement needs no round trip and none waits for the first grants
    // of a new leader.
    std::int64_t min_reserve = 0;
    duration recent_time = std::chrono::seconds(10);
    // Whether reports that are due soon go with one that is due, so that one
    // message carries many.
    bool batch_reports = false;

    friend auto operator<=>(rate_limiter_settings const&,
                            rate_limiter_settings const&) = default;
};

// Spending side of the rate escrow. It spends only unexpired tokens, asks when
// few are left for the demand seen and returns those beyond it.
class rate_limiter
{
public:
    rate_limiter(rate_limiter_settings settings,
                 daemon_name holder,
                 std::uint64_t incarnation);

    // Adds or removes a workspace.
    void add_workspace(workspace_name const& workspace, instant now);
    void remove_workspace(workspace_name const& workspace);

    // Spends tokens; returns false and spends none when too few are left.
    bool try_consume(workspace_name const& workspace,
                     std::int64_t tokens,
                     instant now);

    // Takes back what spend gave out at the same time for a statement that was
    // then not sent. No report may lie in between.
    void refund(workspace_name const& workspace, std::int64_t tokens);

    // Sets the tokens that requests wait for. The next tick asks for them.
    void set_waiting(workspace_name const& workspace,
                     std::int64_t tokens,
                     instant now);

    // Takes a grant; a stale one is ignored.
    void receive(token_grant const& grant, instant now);

    // Lends unspent tokens to the next level, returns how many.
    std::int64_t
    lend(workspace_name const& workspace, std::int64_t tokens, instant now);

    // Takes back tokens that were lent, and states how many are still there.
    // Those that are missing have been spent.
    void settle(workspace_name const& workspace,
                std::int64_t taken_back,
                std::int64_t still_lent,
                instant now);

    // Returns the whole tokens that can be spent now.
    [[nodiscard]] std::int64_t available(workspace_name const& workspace,
                                         instant now);

    // Returns when the tokens of a workspace expire.
    [[nodiscard]] instant expiry(workspace_name const& workspace) const;

    // Runs the systems and returns the requests to send.
    std::vector<token_request> tick(instant now);

    // Returns when tick has something to do next.
    [[nodiscard]] instant next_deadline() const;

private:
    struct purse
    {
        workspace_name workspace;
        // Nanotokens.
        std::int64_t left = 0;
        // Tokens.
        std::int64_t lent = 0;
        std::int64_t returned = 0;
        std::int64_t waiting = 0;
        instant expiry;
        grant_id heard;
        instant heard_sent;
        rate_floor floor;
        // When the floor stops resting, and up to when it was refilled.
        instant rest_until = never;
        instant refilled;
        std::uint64_t sequence = 0;
        instant sent;
        bool answered = true;
        // Demand has changed or tokens were used since the last request.
        bool asking = false;
        bool used = false;
        // Tokens a second, averaged over demand_time.
        double demand = 0;
        instant demand_at;
    };

    purse* find(workspace_name const& workspace);
    [[nodiscard]] purse const* find(workspace_name const& workspace) const;
    static void refresh(purse& it, instant now);
    void use(purse& it, std::int64_t tokens, instant now);
    [[nodiscard]] std::int64_t target(purse const& it, instant now) const;
    [[nodiscard]] instant send_time(purse const& it) const;
    [[nodiscard]] static bool is_urgent(purse const& it);
    [[nodiscard]] bool is_due_soon(purse const& it, instant now) const;
    void schedule(row_id id, purse const& it);
    token_request make_request(purse& it, instant now) const;

    rate_limiter_settings settings_;
    daemon_name holder_;
    std::uint64_t incarnation_;
    table<purse> purses_;
    std::map<workspace_name, row_id> by_name_;
    deadline_queue<row_id> due_;
    // When requests were last sent.
    instant sent_;
};

} // namespace basilreach::limits

#endif
