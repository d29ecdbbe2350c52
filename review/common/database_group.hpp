#ifndef BASILREACH_REVIEW_COMMON_DATABASE_GROUP_HPP
#define BASILREACH_REVIEW_COMMON_DATABASE_GROUP_HPP

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net.hpp"
#include "record.hpp"

namespace review
{

struct group_settings
{
    std::string name;
    // The addresses of the servers; the first is the primary at first.
    std::vector<std::string> server_ips;
    std::vector<std::string> control_addresses;
    std::size_t sync_replicas = 0;
    std::size_t slots = 3;
    std::size_t queue = 24;
    std::size_t max_connections = 46;
    double work_ms = 6;
    double handshake_ms = 12;
    double lag_ms = 8;
    double promote_ms = 600;
    double heartbeat_ms = 1200;
};

// What the servers have seen of a client's statement.
struct statement_trace
{
    double begun_ms = 0;
    // Negative while the statement runs.
    double finished_ms = -1;
    std::string server;
    std::string text;
    // The number of the newest log entry that the server had at the start.
    std::uint64_t position = 0;
};

// A service of replicated database servers that speak the line protocol and
// report their state. Every commit that writes is one log entry. A replica
// receives an entry some milliseconds after the primary has written it, unless
// it is deaf. Reads at a replica see what it has received.
class database_group
{
public:
    database_group(group_settings settings, record& log);
    ~database_group();
    database_group(database_group const&) = delete;
    database_group& operator=(database_group const&) = delete;

    // Starts the status reports.
    void start_reports();

    // Carries out a promotion that was ordered, as the provider does; returns
    // the status of the answer. Takes promote_ms.
    int promote(std::string const& id, std::uint64_t fence);

    // A deaf replica receives nothing.
    void set_deaf(std::string const& id, bool is_deaf);

    // The server reports that it leaves. It serves on.
    void start_draining(std::string const& id);

    [[nodiscard]] std::string primary() const;
    [[nodiscard]] std::uint64_t length() const;
    [[nodiscard]] std::uint64_t received(std::string const& id) const;
    [[nodiscard]] std::string const& name() const
    {
        return settings_.name;
    }

    // Returns the numbers of the log entries that were written, by the id of
    // the client's statement that committed them. An entry that a promotion has
    // removed is missing.
    [[nodiscard]] std::map<std::string, std::uint64_t> commits() const;
    [[nodiscard]] std::map<std::string, statement_trace> statements() const;

    // Called at the moment in which a server becomes the primary, with the log
    // entries that are removed then.
    std::function<void(std::string const& id,
                       std::set<std::string> const& removed_commits)>
        on_promoted;

private:
    struct log_entry
    {
        std::string commit_id;
        std::vector<std::pair<std::string, std::string>> writes;
        double written_ms = 0;
    };

    struct server
    {
        std::string id;
        std::string zone;
        std::unique_ptr<listener> front;
        std::uint64_t received = 0;
        std::uint64_t sequence = 0;
        bool is_deaf = false;
        bool is_draining = false;
        bool must_report = false;
        std::size_t busy = 0;
        std::size_t waiting = 0;
        std::size_t connections = 0;
        std::string report_address;
        std::thread reporter;
    };

    struct session
    {
        std::map<std::string, std::string> values;
        std::map<std::string, bool> statements;
        bool in_transaction = false;
        bool is_read_only = false;
        bool has_failed = false;
        std::uint64_t term = 0;
        std::vector<std::pair<std::string, std::string>> writes;
    };

    void serve(std::size_t n, int handle);
    std::string run(std::size_t n,
                    session& s,
                    std::string const& id,
                    std::string text,
                    std::unique_lock<std::mutex>& lock);
    std::string run_statement(std::size_t n,
                              session& s,
                              std::string const& id,
                              std::string const& text,
                              std::unique_lock<std::mutex>& lock);
    std::string commit(std::size_t n,
                       session& s,
                       std::string const& id,
                       std::unique_lock<std::mutex>& lock);
    bool
    take_slot(server& it, double work_ms, std::unique_lock<std::mutex>& lock);
    [[nodiscard]] std::string read_item(server const& it,
                                        session const& s,
                                        std::string const& item) const;
    [[nodiscard]] std::string position(server const& it) const;
    [[nodiscard]] server const* find(std::string const& id) const;
    void replicate_loop();
    void report_loop(std::size_t n);

    group_settings settings_;
    record& log_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<log_entry> entries_;
    std::vector<std::unique_ptr<server>> servers_;
    std::size_t primary_ = 0;
    std::uint64_t term_ = 1;
    std::uint64_t fence_ = 0;
    double born_ms_ = 0;
    bool is_stopping_ = false;
    std::map<std::string, statement_trace> statements_;
    std::thread replicator_;
};

} // namespace review

#endif
