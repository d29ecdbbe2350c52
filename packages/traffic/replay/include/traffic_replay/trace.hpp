#ifndef BASILREACH_TRAFFIC_REPLAY_TRACE_HPP
#define BASILREACH_TRAFFIC_REPLAY_TRACE_HPP

#include <istream>
#include <string>
#include <vector>

namespace basilreach::traffic::replay
{

// Runs a trace and returns the differences from its expected outcomes, with
// line numbers. The format is described in docs/routing.md.
[[nodiscard]] std::vector<std::string> run_trace(std::istream& in);

} // namespace basilreach::traffic::replay

#endif
