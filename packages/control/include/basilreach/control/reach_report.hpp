#ifndef BASILREACH_CONTROL_REACH_REPORT_HPP
#define BASILREACH_CONTROL_REACH_REPORT_HPP

#include <basilreach/base/name.hpp>

namespace basilreach::control
{

// A daemon has had no answer from a server for a while, or has one again. While
// the server stays silent the report is repeated.
struct reach_report
{
    daemon_name daemon;
    server_name server;
    bool is_reachable = false;

    friend bool operator==(reach_report const&, reach_report const&) = default;
};

} // namespace basilreach::control

#endif
