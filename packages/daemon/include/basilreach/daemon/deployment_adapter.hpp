#ifndef BASILREACH_DAEMON_DEPLOYMENT_ADAPTER_HPP
#define BASILREACH_DAEMON_DEPLOYMENT_ADAPTER_HPP

#include <memory>

#include <basilreach/control/control_state.hpp>
#include <basilreach/daemon/control_api_codec.hpp>
#include <basilreach/daemon/line_codec.hpp>

namespace basilreach::daemon
{

// Adapts a daemon to a deployment that uses protocols and formats of its own.
struct deployment_adapter
{
    std::shared_ptr<line_codec const> codec;
    std::shared_ptr<control_api_codec const> calls;
    // Parses the deployment's rules format.
    control::rules_parser rules;
};

} // namespace basilreach::daemon

#endif
