#ifndef BASILREACH_CONTROL_TEST_CHECKER_HPP
#define BASILREACH_CONTROL_TEST_CHECKER_HPP

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <basilreach/base/log_position.hpp>
#include <basilreach/base/name.hpp>

namespace basilreach::control::test
{

// Checks the events of a simulation against the invariants and collects the
// violations.
class checker
{
public:
    void record_primary(group_name const& group,
                        std::uint64_t term,
                        server_name const& server);
    void record_chosen(group_name const& group,
                       std::uint64_t term,
                       log_position position);
    void record_acknowledged(group_name const& group, log_position position);
    void record_state(std::uint64_t revision, std::uint64_t digest);
    // Checks that a daemon with a valid lease does not serve a state older than
    // the revision in force.
    void check_lease(daemon_name const& daemon,
                     std::uint64_t served,
                     std::uint64_t in_force);

    [[nodiscard]] bool is_primary(group_name const& group,
                                  std::uint64_t term,
                                  server_name const& server) const;

    std::vector<std::string> violations;

private:
    std::map<std::pair<group_name, std::uint64_t>, server_name> primaries_;
    std::map<group_name, log_position> acknowledged_;
    std::map<group_name, std::pair<std::uint64_t, log_position>> chosen_;
    std::map<std::uint64_t, std::uint64_t> digests_;
};

} // namespace basilreach::control::test

#endif
