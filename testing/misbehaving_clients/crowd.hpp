#ifndef BASILREACH_MISBEHAVING_CLIENTS_CROWD_HPP
#define BASILREACH_MISBEHAVING_CLIENTS_CROWD_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "wire_client.hpp"

namespace basilreach::misbehaving_clients
{

// Clients that send what a test gives them and read nothing.
class crowd
{
public:
    // Connects clients that have authenticated.
    crowd(std::size_t n, measure::wire_target const& target);

    // Opens connections that only send these bytes at first.
    crowd(std::size_t n, std::uint16_t port, std::string const& bytes);

    ~crowd();
    crowd(crowd const&) = delete;
    crowd& operator=(crowd const&) = delete;

    // Sends the same bytes from each client, at most `piece` bytes in a call,
    // until all are sent, the connection has ended, or no client has been able
    // to send for a second.
    void send(std::string const& bytes, std::size_t piece) const;

    [[nodiscard]] std::size_t size() const
    {
        return descriptors_.size();
    }

private:
    std::vector<std::unique_ptr<measure::wire_client>> clients_;
    std::vector<int> descriptors_;
    // Those of descriptors_ that no wire_client closes.
    std::vector<int> owned_;
};

// Returns a message of the PostgreSQL protocol with this type and content.
[[nodiscard]] std::string make_message(char type, std::string const& content);

// Returns the length field of a message.
[[nodiscard]] std::string make_length(std::uint32_t n);

[[nodiscard]] std::string repeat(std::string const& text, std::size_t n);

} // namespace basilreach::misbehaving_clients

#endif
