#ifndef BASILREACH_PROCESS_DEPLOYMENT_WIRE_CLIENT_HPP
#define BASILREACH_PROCESS_DEPLOYMENT_WIRE_CLIENT_HPP

#include <cstdint>
#include <string>

namespace basilreach::measure
{

// The address on loopback and the credentials with which a client connects.
struct wire_target
{
    std::uint16_t port = 0;
    std::string database;
    std::string password;
    std::string user = "basilreach";
};

// A blocking client of the PostgreSQL protocol. It keeps no buffers between
// statements, so that thousands of clients need little memory and generating
// the load costs little CPU time.
class wire_client
{
public:
    wire_client() = default;
    ~wire_client();
    wire_client(wire_client const&) = delete;
    wire_client& operator=(wire_client const&) = delete;

    // Connects and authenticates; returns whether that succeeded.
    [[nodiscard]] bool open(wire_target const& target);

    // Runs one statement; returns whether it succeeded.
    [[nodiscard]] bool run(std::string const& statement);

    // The connection's descriptor, or -1 before open().
    [[nodiscard]] int descriptor() const
    {
        return socket_;
    }

private:
    [[nodiscard]] bool send(std::string const& bytes) const;
    // Reads up to ReadyForQuery, and sends the password when the server asks
    // for it. Returns false after an error.
    [[nodiscard]] bool read_answer();

    int socket_ = -1;
    std::string password_;
};

} // namespace basilreach::measure

#endif
