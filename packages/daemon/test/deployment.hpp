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

constexpr char client_key[] = "client-key-of-the-test";
constexpr char other_key[] = "another-key-of-the-test";
constexpr char operator_key[] = "operator-key-of-the-test";

// Returns all values of a result set separated by spaces, the command tag of a
// statement without a result set, or the SQLSTATE of an error.
std::string outcome(PGresult const* it);
std::string run(client_ptr const& c, std::string const& text);

// Runs the statements one after another and returns the last one's outcome.
std::string run_all(client_ptr const& c, std::vector<std::string> const& texts);

// Waits until the statement of PQsendQuery is answered and returns its outcome.
std::string finish(client_ptr const& c);

std::string select_value(std::string const& key);
std::string insert(std::string const& key);
std::string increment(std::string const& key);

// A simulated database group, which runs in a thread of its own.
class simulated_group
{
public:
    simulated_group(std::string const& name,
                    std::vector<std::string> const& consoles);
    ~simulated_group();
    simulated_group(simulated_group const&) = delete;
    simulated_group& operator=(simulated_group const&) = delete;

    // Runs a command that controls the simulation, such as one that silences a
    // server.
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

    // Returns one property of SHOW STATUS at a daemon, or an empty string.
    [[nodiscard]] std::string status(std::size_t n,
                                     std::string const& subject,
                                     std::string const& name,
                                     std::string const& property) const;

    // Waits until the group is served by a primary other than `other`, and
    // returns the primary's name.
    std::string wait_for_primary(std::size_t n,
                                 std::string const& group,
                                 std::string const& other = {}) const;

    // Submits the verdict that a server is DOWN or UP, at a daemon's console.
    std::string verdict(std::size_t n,
                        std::string const& server,
                        std::string const& verdict);

    void start(std::size_t n);

    [[nodiscard]] std::filesystem::path const& directory() const
    {
        return directory_;
    }

    std::array<std::unique_ptr<daemon_process>, 3> daemons;
    std::unique_ptr<simulated_group> cases;
    std::unique_ptr<simulated_group> ledger;

private:
    [[nodiscard]] settings::daemon_settings settings_of(std::size_t n) const;

    std::filesystem::path directory_;
    int last_sequence_ = 0;
};

} // namespace basilreach::daemon

#endif
