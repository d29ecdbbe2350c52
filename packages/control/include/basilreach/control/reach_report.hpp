#ifndef BASILREACH_CONTROL_REACH_REPORT_HPP
#define BASILREACH_CONTROL_REACH_REPORT_HPP

#include <basilreach/base/name.hpp>

namespace basilreach::control
{

// A daemon reports that a server has not answered it for a while, or answers
// again. While the server does not answer, the report is repeated.
struct reach_report
{
    daemon_name daemon;
    server_name server;
    bool is_reachable = false;

    friend bool operator==(reach_report const&, reach_report const&) = default;
};

} // namespace basilreach::control

#endif
