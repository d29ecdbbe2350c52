#ifndef BASILREACH_DAEMON_TEST_DEPLOYMENT_HPP
#define BASILREACH_DAEMON_TEST_DEPLOYMENT_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <libpq-fe.h>

#include <daemon_process.hpp>

#include <basilreach/stand_in/server_loop.hpp>

namespace basilreach::daemon
{

using client_ptr = std::unique_ptr<PGconn, decltype(&PQfinish)>;
using answer_ptr = std::unique_ptr<PGresult, decltype(&PQclear)>;

constexpr char client_key[] = "caller-key-of-the-test";
constexpr char other_key[] = "another-key-of-the-test";
constexpr char operator_key[] = "operator-key-of-the-test";

// Returns all values joined by blanks, a command tag or an SQLSTATE.
std::string outcome(PGresult const* it);
std::string run(client_ptr const& c, std::string const& text);

// Runs every text and returns the last outcome.
std::string run_all(client_ptr const& c, std::vector<std::string> const& texts);

// Waits for the answer to PQsendQuery and takes it.
std::string finish(client_ptr const& c);

std::string select_value(std::string const& key);
std::string insert(std::string const& key);
std::string increment(std::string const& key);

// A simulated database group that runs in a thread.
class group_process
{
public:
    group_process(std::string const& name,
                  std::vector<std::string> const& consoles);
    ~group_process();
    group_process(group_process const&) = delete;
    group_process& operator=(group_process const&) = delete;

    // Runs a statement of the control database.
    std::string control(std::string const& text);

private:
    std::unique_ptr<stand_in::server_loop> loop_;
    std::thread thread_;
    client_ptr control_{nullptr, PQfinish};
};

// Three data centres with one daemon each and two database groups whose
// servers are spread over them.
class deployment
{
public:
    deployment();
    ~deployment();
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    [[nodiscard]] static std::string ip_of(std::size_t n);
    [[nodiscard]] client_ptr connect(std::size_t n,
                                     std::string const& database,
                                     std::string const& key = client_key,
                                     std::string const& options = {}) const;
    [[nodiscard]] client_ptr console(std::size_t n) const;

    // Returns one property of SHOW STATUS at a daemon, or its error.
    [[nodiscard]] std::string status(std::size_t n,
                                     std::string const& subject,
                                     std::string const& name,
                                     std::string const& property) const;

    // Waits until the group is serving at another primary; returns its name.
    std::string wait_for_primary(std::size_t n,
                                 std::string const& group,
                                 std::string const& other = {}) const;

    // Reports a server down or up.
    std::string verdict(std::size_t n,
                        std::string const& server,
                        std::string const& verdict);

    void start(std::size_t n);

    [[nodiscard]] std::filesystem::path const& directory() const
    {
        return directory_;
    }

    std::array<std::unique_ptr<daemon_process>, 3> daemons;
    std::unique_ptr<group_process> cases;
    std::unique_ptr<group_process> ledger;

private:
    [[nodiscard]] settings::daemon_settings settings_of(std::size_t n) const;

    std::filesystem::path directory_;
    int last_sequence_ = 0;
};

} // namespace basilreach::daemon

#endif
