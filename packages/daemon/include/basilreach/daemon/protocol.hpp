#ifndef BASILREACH_DAEMON_PROTOCOL_HPP
#define BASILREACH_DAEMON_PROTOCOL_HPP

#include <memory>

#include <ace/SOCK_Stream.h>

#include <basilreach/daemon/client_connection.hpp>
#include <basilreach/daemon/line_codec.hpp>
#include <basilreach/daemon/server_connection.hpp>
#include <basilreach/settings/daemon_settings.hpp>

namespace basilreach::daemon
{

// Creates the client and server connections of one protocol. The traffic
// threads use only the interfaces of these connections.
class protocol
{
public:
    virtual ~protocol() = default;

    [[nodiscard]] virtual std::unique_ptr<client_connection>
    make_client_connection(ACE_SOCK_Stream const& stream) const = 0;

    [[nodiscard]] virtual std::unique_ptr<server_connection>
    make_server_connection(event_loop& loop,
                           server_observer observer) const = 0;
};

// The PostgreSQL protocol: implemented here towards clients, by libpq towards
// servers. The arguments must outlive the protocol.
[[nodiscard]] std::unique_ptr<protocol>
make_postgresql_protocol(settings::daemon_settings const& settings,
                         settings::backend_credential const& credential);

// A line protocol towards clients and servers. The codec must outlive the
// protocol.
[[nodiscard]] std::unique_ptr<protocol>
make_line_protocol(line_codec const& codec);

} // namespace basilreach::daemon

#endif
