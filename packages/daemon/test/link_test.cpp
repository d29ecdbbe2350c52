#include <basilreach/daemon/link_table.hpp>

#include <doctest/doctest.h>

#include <basilreach/messages/codec.hpp>

#include <fstream>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <sys/timerfd.h>
#include <unistd.h>

using namespace basilreach;
using namespace basilreach::daemon;
using namespace std::chrono_literals;

namespace
{

// Runs the loop until the peer has accepted a connection, for at most five
// seconds. Returns whether it has.
bool wait_for_connection(event_loop& loop,
                         ACE_SOCK_Acceptor& peer,
                         ACE_SOCK_Stream& stream)
{
    ACE_Time_Value const none(0, 0);
    auto const end = read_clock() + 5s;
    while (read_clock() < end)
    {
        ACE_Time_Value wait = none;
        if (peer.accept(stream, nullptr, &wait) == 0)
            return true;
        loop.run_once(read_clock() + 10ms);
    }
    return false;
}

// Returns the name of a control host that listens where the acceptor does.
consensus::host_name host_at(ACE_SOCK_Acceptor const& it)
{
    ACE_INET_Addr address;
    REQUIRE(it.get_local_addr(address) == 0);
    return consensus::host_name("a=127.0.0.1:" +
                                std::to_string(address.get_port_number()));
}

// Returns IP:PORT with a port that was free a moment ago.
std::string free_address()
{
    ACE_INET_Addr address;
    ACE_SOCK_Acceptor any(ACE_INET_Addr(static_cast<u_short>(0), "127.0.0.1"));
    REQUIRE(any.get_local_addr(address) == 0);
    any.close();
    return "127.0.0.1:" + std::to_string(address.get_port_number());
}

} // namespace

// Guards against a link that no longer delivers anything but stays in use,
// although a new connection to the same host would work.
TEST_CASE("a link that was disconnected is opened again by the next message")
{
    event_loop loop;
    link_table links(loop, [](link_id, messages::message const&) {});
    ACE_SOCK_Acceptor peer(ACE_INET_Addr(static_cast<u_short>(0), "127.0.0.1"));
    auto const host = host_at(peer);
    links.send(host, messages::not_leader{});
    ACE_SOCK_Stream first;
    REQUIRE(wait_for_connection(loop, peer, first));
    links.disconnect(host);
    links.remove_closed();
    auto const end = read_clock() + 5s;
    ACE_SOCK_Stream second;
    ACE_Time_Value none(0, 0);
    bool is_accepted = false;
    while (!is_accepted && read_clock() < end)
    {
        links.send(host, messages::not_leader{});
        loop.run_once(read_clock() + 10ms);
        is_accepted = peer.accept(second, nullptr, &none) == 0;
    }
    CHECK(is_accepted);
    first.close();
    second.close();
}

// Guards against control hosts that start together and lose their first
// requests for votes, because the links between them are still connecting.
TEST_CASE("messages sent while a link is connecting arrive")
{
    event_loop loop;
    std::vector<messages::message> arrived;
    link_table peer(loop, [&arrived](link_id, messages::message it)
                    { arrived.push_back(std::move(it)); });
    auto const address_text = free_address();
    REQUIRE(peer.listen(address_text));
    link_table links(loop, [](link_id, messages::message const&) {});
    consensus::host_name const host("a=" + address_text);
    messages::message const first = messages::not_leader{daemon_name("first")};
    messages::message const second =
        messages::not_leader{daemon_name("second")};
    links.send(host, first);
    links.send(host, second);
    auto const end = read_clock() + 5s;
    while (arrived.size() < 2 && read_clock() < end)
        loop.run_once(read_clock() + 10ms);
    REQUIRE(arrived.size() == 2);
    CHECK(arrived[0] == first);
    CHECK(arrived[1] == second);
}

// Guards against a daemon and a leader that spend most of their time on system
// calls and wake-ups: each message of a tick was written on its own.
TEST_CASE("messages that are queued together are written together")
{
    event_loop loop;
    link_table links(loop, [](link_id, messages::message const&) {});
    ACE_SOCK_Acceptor peer(ACE_INET_Addr(static_cast<u_short>(0), "127.0.0.1"));
    auto const host = host_at(peer);
    std::string frame;
    messages::append_frame(frame, messages::encode(messages::not_leader{}));
    links.send(host, messages::not_leader{});
    ACE_SOCK_Stream stream;
    REQUIRE(wait_for_connection(loop, peer, stream));
    auto const end = read_clock() + 5s;
    std::vector<char> buf(10 * frame.size());
    ACE_Time_Value const timeout(5, 0);
    while (links.sum_counts().bytes_sent == 0 && read_clock() < end)
        loop.run_once(read_clock() + 10ms);
    REQUIRE(stream.recv_n(buf.data(), frame.size(), &timeout) ==
            static_cast<ssize_t>(frame.size()));

    links.send(host, messages::not_leader{});
    links.send(host, messages::not_leader{});
    CHECK(links.sum_counts().bytes_sent == frame.size());
    links.flush();
    CHECK(links.sum_counts().bytes_sent == 3 * frame.size());
    // Nothing is left to write.
    links.flush();
    CHECK(links.sum_counts().bytes_sent == 3 * frame.size());
    CHECK(stream.recv_n(buf.data(), 2 * frame.size(), &timeout) ==
          static_cast<ssize_t>(2 * frame.size()));
    stream.close();
}

// Guards against a leader that steps down although its majority answers: the
// answers waited behind the messages of many daemons that started together.
TEST_CASE("a prioritized link is read without waiting for its turn")
{
    event_loop loop;
    std::vector<messages::message> arrived;
    link_id peer_link = 0;
    link_table peer(loop,
                    [&](link_id from, messages::message it)
                    {
                        peer_link = from;
                        arrived.push_back(std::move(it));
                    });
    auto const address_text = free_address();
    REQUIRE(peer.listen(address_text));
    event_loop other_loop;
    link_table links(other_loop, [](link_id, messages::message const&) {});
    consensus::host_name const host("a=" + address_text);
    links.send(host, messages::not_leader{});
    auto const end = read_clock() + 5s;
    while (arrived.empty() && read_clock() < end)
    {
        other_loop.run_once(read_clock() + 1ms);
        loop.run_once(read_clock() + 1ms);
    }
    REQUIRE(arrived.size() == 1);
    peer.read_prioritized();
    links.send(host, messages::not_leader{});
    links.flush();
    peer.prioritize(peer_link);
    while (arrived.size() < 2 && read_clock() < end)
        peer.read_prioritized();
    CHECK(arrived.size() == 2);
}

// Guards against a host that resumes after a suspension and takes expired
// leases for valid, because its clock did not advance meanwhile.
TEST_CASE("the timer of an event loop counts the time in suspension")
{
    event_loop loop;
    std::string const clock = "clockid: " + std::to_string(CLOCK_BOOTTIME);
    bool has_timer = false;
    for (int fd = 0; fd != 64; ++fd)
    {
        std::ifstream info("/proc/self/fdinfo/" + std::to_string(fd));
        std::string line;
        bool is_timer = false;
        bool counts = false;
        while (std::getline(info, line))
        {
            is_timer = is_timer || line.starts_with("clockid:");
            counts = counts || line == clock;
        }
        has_timer = has_timer || is_timer;
        CHECK(is_timer == counts);
    }
    CHECK(has_timer);
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    auto const now = instant(std::chrono::seconds(time.tv_sec) +
                             std::chrono::nanoseconds(time.tv_nsec));
    CHECK(read_clock() >= now);
    CHECK(read_clock() < now + 10s);
}
