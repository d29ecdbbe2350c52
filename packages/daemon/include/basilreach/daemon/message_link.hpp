#ifndef BASILREACH_DAEMON_MESSAGE_LINK_HPP
#define BASILREACH_DAEMON_MESSAGE_LINK_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include <basilreach/base/instant.hpp>
#include <basilreach/daemon/event_loop.hpp>
#include <basilreach/messages/frame.hpp>
#include <basilreach/messages/message.hpp>

namespace basilreach::daemon
{

// Why a link ended.
enum class link_end : std::uint8_t
{
    closed_here,
    invalid_address,
    cannot_connect,
    closed_by_peer,
    receive_failed,
    send_failed,
    malformed_message
};

// Returns the name of a reason for the log.
[[nodiscard]] char const* to_string(link_end it);

// Traffic of a link since it was opened.
struct link_counts
{
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    // Messages that were not queued because too many bytes were waiting.
    std::uint64_t messages_dropped = 0;
    std::uint64_t bytes_queued = 0;
    // How long bytes have been waiting to be sent without a break.
    duration backlog{};

    friend bool operator==(link_counts const&, link_counts const&) = default;
};

struct link_observer
{
    std::function<void()> opened;
    std::function<void(messages::message)> received;
    // The connection has ended. The owner destroys the link later, as handlers
    // of the link are still on the stack.
    std::function<void()> closed;
};

// A TCP connection between two daemons that carries framed messages.
class message_link : public ACE_Event_Handler
{
public:
    message_link(event_loop& loop, link_observer observer);
    ~message_link() override;
    message_link(message_link const&) = delete;
    message_link& operator=(message_link const&) = delete;

    // Takes over an accepted connection.
    void accept(ACE_SOCK_Stream const& stream);

    // Connects to IP:PORT. Calls `opened` on success and `closed` on failure.
    void connect(std::string const& address);

    // Queues a message, which flush() writes. It is dropped when the link has
    // ended or too many bytes are queued: every sender repeats what it still
    // needs.
    void send(messages::message const& it);

    // The same with a message that is encoded as a frame.
    void send_frame(std::string_view frame);

    // Writes what is queued, as far as the connection takes it. The rest is
    // written as soon as the connection takes more.
    void flush();

    void close();

    [[nodiscard]] bool is_open() const
    {
        return is_open_;
    }

    [[nodiscard]] link_counts counts() const;

    // When the last part of a message arrived that is not complete; nothing if
    // there is none.
    [[nodiscard]] std::optional<instant> partial_message_at() const;

    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override;

private:
    void finish_connecting();
    void read_frames();
    void write();
    void fail(link_end reason);
    void log_end(link_end reason) const;

    event_loop& loop_;
    link_observer observer_;
    ACE_SOCK_Stream stream_;
    messages::frame_reader reader_;
    std::string out_;
    // IP:PORT of the other end, for the log.
    std::string peer_;
    link_counts counts_;
    instant opened_at_;
    instant received_at_;
    // When bytes began to wait, if any do.
    instant backlog_since_;
    bool is_registered_ = false;
    bool is_open_ = false;
    bool is_write_registered_ = false;
};

} // namespace basilreach::daemon

#endif
