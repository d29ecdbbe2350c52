#include <basilreach/daemon/http_server.hpp>

#include <utility>

#include <basilreach/daemon/buffered_socket.hpp>
#include <basilreach/daemon/http_reader.hpp>

namespace basilreach::daemon
{

// A connection that the server has accepted.
class http_connection : public ACE_Event_Handler
{
public:
    http_connection(event_loop& loop,
                    ACE_SOCK_Stream const& stream,
                    std::function<void(http_request)> received,
                    std::function<void()> closed)
        : received_(std::move(received)), closed_(std::move(closed)),
          socket_(*this), reader_(http_kind::request)
    {
        socket_.accept(stream);
        socket_.attach(loop);
    }

    void respond(http_response const& it)
    {
        append_response(socket_.out(), it);
        is_awaiting_response_ = false;
        if (!socket_.flush())
            return close();
        process();
    }

    int handle_input(ACE_HANDLE /*handle*/) override
    {
        if (!socket_.receive(in_))
            close();
        else
            process();
        return 0;
    }

    int handle_output(ACE_HANDLE /*handle*/) override
    {
        if (!socket_.flush())
            close();
        return 0;
    }

    ACE_HANDLE get_handle() const override
    {
        return socket_.handle();
    }

private:
    void process()
    {
        while (!is_awaiting_response_ && !in_.empty() && socket_.is_open())
        {
            in_.erase(0, reader_.read(in_));
            if (reader_.state() == http_reader::progress::malformed)
                return refuse();
            if (reader_.state() != http_reader::progress::complete)
                return;
            is_awaiting_response_ = true;
            received_(reader_.take_request());
        }
    }

    void refuse()
    {
        append_response(socket_.out(), {400, {{"Connection", "close"}}, {}});
        (void)socket_.flush();
        close();
    }

    void close()
    {
        if (!socket_.is_open())
            return;
        socket_.close();
        closed_();
    }

    std::function<void(http_request)> received_;
    std::function<void()> closed_;
    buffered_socket socket_;
    http_reader reader_;
    std::string in_;
    bool is_awaiting_response_ = false;
};

http_server::http_server(event_loop& loop, handler received)
    : loop_(loop), received_(std::move(received)),
      listener_(loop, [this](ACE_SOCK_Stream const& it) { accept(it); })
{
}

http_server::~http_server() = default;

bool http_server::listen(std::string const& address)
{
    address_ = address;
    return listener_.open(address);
}

void http_server::accept(ACE_SOCK_Stream const& stream)
{
    auto const id = ++last_id_;
    connections_.emplace(id, std::make_unique<http_connection>(
                                 loop_, stream,
                                 [this, id](http_request it)
                                 { received_(id, std::move(it)); },
                                 [this, id] { closed_.push_back(id); }));
}

void http_server::respond(exchange_id id, http_response const& it)
{
    auto const found = connections_.find(id);
    if (found != connections_.end())
        found->second->respond(it);
}

void http_server::remove_closed()
{
    for (auto const id : std::exchange(closed_, {}))
        connections_.erase(id);
}

} // namespace basilreach::daemon
