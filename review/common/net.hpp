#ifndef BASILREACH_REVIEW_COMMON_NET_HPP
#define BASILREACH_REVIEW_COMMON_NET_HPP

#include <atomic>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <mutex>

namespace review
{

// Milliseconds since the start of this program, by the monotonic clock.
double now_ms();
void sleep_ms(double it);

// A TCP connection over loopback with blocking calls.
class connection
{
public:
    // Takes over the handle of an accepted connection.
    explicit connection(int handle);
    // Connects to IP:PORT; is_open() is false if that fails.
    explicit connection(std::string const& address);
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    [[nodiscard]] bool is_open() const
    {
        return handle_ >= 0;
    }

    bool send(std::string const& bytes);

    // Returns a line without its CR LF, or nothing when the connection has
    // ended or the time is over.
    std::optional<std::string> read_line(double timeout_ms);

    // Returns n bytes, or fewer in the cases in which read_line returns
    // nothing.
    std::string read(std::size_t n, double timeout_ms);

    // Whether the peer has closed the connection.
    [[nodiscard]] bool has_ended() const
    {
        return has_ended_;
    }

    void close();

private:
    bool receive(double deadline);

    int handle_ = -1;
    bool has_ended_ = false;
    std::string in_;
};

// Accepts connections on an address and serves each in a thread of its own.
class listener
{
public:
    using handler = std::function<void(int handle)>;

    listener(std::string const& ip, int port, handler serve);
    ~listener();
    listener(listener const&) = delete;
    listener& operator=(listener const&) = delete;

    [[nodiscard]] std::string const& address() const
    {
        return address_;
    }

    // Ends the listener and all its connections.
    void stop();

private:
    void accept_loop();

    std::string address_;
    handler serve_;
    int handle_ = -1;
    std::atomic<bool> is_stopping_ = false;
    std::mutex mutex_;
    std::set<int> open_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

struct http_answer
{
    // Zero if there was no answer.
    int status = 0;
    std::string location;
    std::string body;
};

// Sends one HTTP request and returns the answer to it.
http_answer send_http_request(std::string const& address,
                              std::string const& method,
                              std::string const& path,
                              std::string const& body,
                              double timeout_ms);

// The same, following at most two redirections.
http_answer send_following_redirections(std::string address,
                                        std::string const& method,
                                        std::string path,
                                        std::string const& body,
                                        double timeout_ms);

// Removes and returns the text up to the first blank.
std::string extract_field(std::string& text);

} // namespace review

#endif
