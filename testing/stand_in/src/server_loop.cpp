#include <basilreach/stand_in/server_loop.hpp>

#include "announcer.hpp"
#include "wake_timer.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <iostream>
#include <unordered_map>
#include <utility>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/OS_NS_sys_socket.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>
#include <netinet/tcp.h>

namespace basilreach::stand_in
{

namespace
{

constexpr std::size_t max_handles = 4096;

} // namespace

class server_loop::implementation
{
public:
    implementation(group_settings settings, announcement announce)
        : group(std::move(settings)), announce_(std::move(announce)),
          reactor_(new ACE_Dev_Poll_Reactor(max_handles), true),
          timer_(reactor_, [this] { tick(); })
    {
    }

    implementation(implementation const&) = delete;
    implementation& operator=(implementation const&) = delete;

    ~implementation()
    {
        announcers_.clear();
        for (auto& [id, it] : connections_)
            it->close_socket();
        for (auto& it : listeners_)
            it->close_socket();
    }

    result<void, loop_error>
    open(std::vector<std::uint16_t> const& requested_ports)
    {
        if (!reactor_.initialized())
            return loop_error::reactor_failed;
        if (!timer_.is_open())
            return loop_error::timer_failed;
        for (std::size_t n = 0; n != requested_ports.size(); ++n)
        {
            listeners_.push_back(std::make_unique<listener>(*this, n));
            auto const port = listeners_.back()->listen(requested_ports[n]);
            if (port == 0)
                return loop_error::listen_failed;
            ports.push_back(port);
        }
        return success();
    }

    void run()
    {
        start_announcers();
        while (!reactor_.reactor_event_loop_done())
        {
            // Blocks until an event has been handled, without a timeout.
            if (reactor_.handle_events() < 0 && errno != EINTR)
                return;
            removed_connections_.clear();
        }
    }

    void stop()
    {
        reactor_.end_reactor_event_loop();
        reactor_.notify();
    }

    database_group group;
    std::vector<std::uint16_t> ports;

private:
    // The connection of one client. Buffers output that the socket does not
    // accept yet.
    class connection : public ACE_Event_Handler
    {
    public:
        connection(implementation& loop, client_id client, ACE_HANDLE handle)
            : ACE_Event_Handler(&loop.reactor_), loop_(loop), client_(client),
              stream_(handle)
        {
            int const on = 1;
            stream_.set_option(IPPROTO_TCP, TCP_NODELAY, const_cast<int*>(&on),
                               sizeof(on));
            stream_.enable(ACE_NONBLOCK);
        }

        [[nodiscard]] ACE_HANDLE get_handle() const override
        {
            return stream_.get_handle();
        }

        int handle_input(ACE_HANDLE) override
        {
            std::array<char, 16'384> buf;
            auto const n = stream_.recv(buf.data(), buf.size());
            if (n < 0 && (errno == EWOULDBLOCK || errno == EINTR))
                return 0;
            if (n <= 0)
            {
                loop_.group.close_client(client_);
                loop_.remove_connection(client_);
                loop_.tick();
                return 0;
            }
            loop_.group.receive(client_,
                                {buf.data(), static_cast<std::size_t>(n)});
            loop_.tick();
            return 0;
        }

        int handle_output(ACE_HANDLE) override
        {
            flush();
            return 0;
        }

        void send(std::string_view bytes)
        {
            unsent_.append(bytes);
            flush();
        }

        void close_after_output()
        {
            closes_after_output_ = true;
            flush();
        }

        void close_socket()
        {
            reactor()->remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
            stream_.close();
        }

    private:
        void flush()
        {
            while (!unsent_.empty())
            {
                auto const n =
                    ACE_OS::send(stream_.get_handle(), unsent_.data(),
                                 unsent_.size(), MSG_NOSIGNAL);
                if (n <= 0)
                    break;
                unsent_.erase(0, static_cast<std::size_t>(n));
            }
            if (unsent_.empty() && closes_after_output_)
            {
                loop_.group.close_client(client_);
                loop_.remove_connection(client_);
                return;
            }
            if (std::exchange(waits_until_writable_, !unsent_.empty()) ==
                waits_until_writable_)
                return;
            if (waits_until_writable_)
                reactor()->register_handler(this, WRITE_MASK);
            else
                reactor()->remove_handler(this, WRITE_MASK | DONT_CALL);
        }

        implementation& loop_;
        client_id client_;
        ACE_SOCK_Stream stream_;
        std::string unsent_;
        bool waits_until_writable_ = false;
        bool closes_after_output_ = false;
    };

    // The listening socket of one server.
    class listener : public ACE_Event_Handler
    {
    public:
        listener(implementation& loop, std::size_t server)
            : ACE_Event_Handler(&loop.reactor_), loop_(loop), server_(server)
        {
        }

        [[nodiscard]] ACE_HANDLE get_handle() const override
        {
            return acceptor_.get_handle();
        }

        // Returns the port, or 0 when the socket cannot be opened.
        std::uint16_t listen(std::uint16_t port)
        {
            ACE_INET_Addr address{port, INADDR_LOOPBACK};
            if (acceptor_.open(address, 1) != 0 ||
                acceptor_.get_local_addr(address) != 0 ||
                reactor()->register_handler(this, ACCEPT_MASK) != 0)
                return 0;
            acceptor_.enable(ACE_NONBLOCK);
            return address.get_port_number();
        }

        int handle_input(ACE_HANDLE) override
        {
            ACE_SOCK_Stream stream;
            if (acceptor_.accept(stream) == 0)
                loop_.accept(server_, stream.get_handle());
            return 0;
        }

        void close_socket()
        {
            if (acceptor_.get_handle() == ACE_INVALID_HANDLE)
                return;
            reactor()->remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
            acceptor_.close();
        }

    private:
        implementation& loop_;
        std::size_t server_;
        ACE_SOCK_Acceptor acceptor_;
    };

    void accept(std::size_t server, ACE_HANDLE handle)
    {
        auto const client = group.open_client(server);
        auto& it = connections_[client];
        it = std::make_unique<connection>(*this, client, handle);
        if (reactor_.register_handler(it.get(), ACE_Event_Handler::READ_MASK) !=
            0)
        {
            group.close_client(client);
            remove_connection(client);
        }
    }

    void remove_connection(client_id client)
    {
        auto const found = connections_.find(client);
        if (found == connections_.end())
            return;
        found->second->close_socket();
        // A member function of the connection may be the caller, so the object
        // is destroyed only after the event has been handled.
        removed_connections_.push_back(std::move(found->second));
        connections_.erase(found);
    }

    void tick()
    {
        for (auto const& it : group.tick(read_clock()))
            std::visit([this](auto const& action) { apply(action); }, it);
        timer_.set(group.next_deadline());
    }

    void apply(send_bytes const& action)
    {
        auto const found = connections_.find(action.client);
        if (found != connections_.end())
            found->second->send(action.bytes);
    }

    void apply(disconnect_client const& action)
    {
        auto const found = connections_.find(action.client);
        if (found != connections_.end())
            found->second->close_after_output();
    }

    void apply(set_listening const& action)
    {
        listeners_[action.server]->close_socket();
        if (action.listening &&
            listeners_[action.server]->listen(ports[action.server]) == 0)
            std::cerr << "cannot listen on port " << ports[action.server]
                      << '\n';
    }

    void start_announcers()
    {
        if (announce_.consoles.empty())
            return;
        auto const sequence =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
        for (std::size_t n = 0; n != ports.size(); ++n)
        {
            auto const& settings = group.settings();
            auto statement = "ANNOUNCE SERVER " + settings.servers[n].str() +
                             " GROUP " + settings.group.str() +
                             " DATA CENTRE " + announce_.data_centres[n].str() +
                             " ADDRESS '127.0.0.1:" + std::to_string(ports[n]) +
                             "' SEQUENCE " + std::to_string(sequence);
            announcers_.push_back(std::make_unique<announcer>(
                reactor_, announce_.consoles, announce_.operator_key,
                std::move(statement)));
            announcers_.back()->start();
        }
    }

    announcement announce_;
    ACE_Reactor reactor_;
    wake_timer timer_;
    std::vector<std::unique_ptr<listener>> listeners_;
    std::unordered_map<client_id, std::unique_ptr<connection>> connections_;
    std::vector<std::unique_ptr<connection>> removed_connections_;
    std::vector<std::unique_ptr<announcer>> announcers_;
};

result<std::unique_ptr<server_loop>, loop_error>
server_loop::open(group_settings settings,
                  std::vector<std::uint16_t> const& ports,
                  announcement announce)
{
    auto loop = std::make_unique<implementation>(std::move(settings),
                                                 std::move(announce));
    BOOST_OUTCOME_TRY(loop->open(ports));
    return std::unique_ptr<server_loop>{new server_loop(std::move(loop))};
}

server_loop::server_loop(std::unique_ptr<implementation> loop)
    : loop_(std::move(loop))
{
}

server_loop::~server_loop() = default;

std::vector<std::uint16_t> const& server_loop::ports() const noexcept
{
    return loop_->ports;
}

void server_loop::run()
{
    loop_->run();
}

void server_loop::stop()
{
    loop_->stop();
}

} // namespace basilreach::stand_in
