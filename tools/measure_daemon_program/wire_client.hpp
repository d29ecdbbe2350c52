#ifndef BASILREACH_MEASURE_WIRE_CLIENT_HPP
#define BASILREACH_MEASURE_WIRE_CLIENT_HPP

#include <cstdint>
#include <string>

namespace basilreach::measure
{

// Where a client connects to on loopback, and as whom.
struct wire_target
{
    std::uint16_t port = 0;
    std::string database;
    std::string password;
    std::string user = "basilreach";
};

// A blocking client of the PostgreSQL protocol without buffers of its own, so
// that thousands of them cost little and the generator of the load stays cheap.
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

private:
    [[nodiscard]] bool send(std::string const& bytes) const;
    // Reads up to the message that ends an answer.
    [[nodiscard]] bool read_answer();

    int socket_ = -1;
    std::string password_;
};

} // namespace basilreach::measure

#endif
