#ifndef BASILREACH_REVIEW_COMMON_SCENARIO_HPP
#define BASILREACH_REVIEW_COMMON_SCENARIO_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "client.hpp"
#include "database_group.hpp"
#include "deployment.hpp"
#include "record.hpp"

namespace review
{

// The exit status of a case.
enum class verdict
{
    held = 0,
    broken = 1,
    cannot_run = 2
};

// A small deployment with its database groups and the provider that carries out
// promotions.
class scenario
{
public:
    scenario(std::string work_directory,
             std::size_t entry_machines,
             std::vector<group_settings> groups,
             record& log);
    ~scenario();
    scenario(scenario const&) = delete;
    scenario& operator=(scenario const&) = delete;

    // Starts all and waits until a write succeeds on the database through each
    // entry machine.
    bool start(json const& desired_state, std::vector<std::string> databases);

    std::unique_ptr<client_session> open_session(std::string const& name,
                                                 std::size_t entry,
                                                 std::string const& database);

    // Called as the provider accepts an order, before it carries it out.
    std::function<void(std::string const& service, std::string const& id)>
        on_order;

    std::vector<std::unique_ptr<database_group>> groups;
    std::unique_ptr<deployment> machines;

private:
    void serve_provider(int handle);

    record& log_;
    std::unique_ptr<listener> provider_;
};

// The desired state with these routes and one tenant whose key is
// key_of_tenant.
json make_route(std::string const& database,
                std::string const& type,
                std::string const& service);
json make_desired_state(int version,
                        json const& routes,
                        std::vector<std::string> const& services,
                        int sync_replicas = 0);
inline constexpr char key_of_tenant[] = "u6wsjnbanfqasnmgkcuy";

// Runs a case: opens the record in the folder, passes a work directory and
// whether the disruption takes place, and returns the exit status. A case that
// takes too long ends with the status cannot_run.
int run_case(int argc,
             char** argv,
             std::function<verdict(std::string const& work_directory,
                                   bool has_trouble,
                                   record& log)> const& body);

} // namespace review

#endif
