#include <basilreach/cli/console.hpp>

#include <chrono>
#include <cstdint>
#include <future>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace basilreach::cli
{

namespace
{

using namespace std::chrono_literals;

// A server message of the PostgreSQL protocol.
std::string message(char type, std::string const& body)
{
    auto const size = static_cast<std::uint32_t>(body.size() + 4);
    std::string text{type};
    for (auto const shift : {24U, 16U, 8U, 0U})
        text += static_cast<char>((size >> shift) & 255U);
    return text + body;
}

std::string zeros(std::size_t n)
{
    return std::string(n, '\0');
}

std::string error_response(std::string_view sqlstate, std::string_view text)
{
    return message('E', "SFATAL" + zeros(1) + "C" + std::string{sqlstate} +
                            zeros(1) + "M" + std::string{text} + zeros(2));
}

std::string const password_request = message('R', zeros(3) + "\3");
std::string const ready_for_query = message('Z', "I");
std::string const session_ready = message('R', zeros(4)) + ready_for_query;

// Accepts one connection on loopback and answers each request with the next of
// the given answers. Closes the connection when it receives a request after the
// last answer, or when the client closes it.
class scripted_server
{
public:
    explicit scripted_server(std::vector<std::string> answers)
    {
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(at);
        auto* const generic = reinterpret_cast<sockaddr*>(&at);
        REQUIRE(bind(listener_, generic, size) == 0);
        REQUIRE(listen(listener_, 1) == 0);
        REQUIRE(getsockname(listener_, generic, &size) == 0);
        address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
        received_ =
            std::async(std::launch::async, [this, script = std::move(answers)]
                       { return serve(script); });
    }

    scripted_server(scripted_server const&) = delete;
    scripted_server& operator=(scripted_server const&) = delete;

    ~scripted_server()
    {
        close(listener_);
    }

    // Waits until the connection has ended and returns all bytes received.
    std::string received()
    {
        return received_.get();
    }

    std::string address;

private:
    std::string serve(std::vector<std::string> const& answers) const
    {
        auto const connection = accept(listener_, nullptr, nullptr);
        std::string all;
        std::string buf(4096, '\0');
        for (std::size_t n = 0;; ++n)
        {
            auto const size = recv(connection, buf.data(), buf.size(), 0);
            if (size <= 0)
                break;
            all.append(buf, 0, static_cast<std::size_t>(size));
            if (n == answers.size())
                break;
            send(connection, answers[n].data(), answers[n].size(),
                 MSG_NOSIGNAL);
        }
        close(connection);
        return all;
    }

    int listener_ = -1;
    std::future<std::string> received_;
};

// Sends SHOW STATUS to a server with the given answers.
attempt_outcome run(std::vector<std::string> const& answers,
                    std::chrono::milliseconds timeout = 5s)
{
    scripted_server server{answers};
    return console_transport("the key", timeout)(server.address, "SHOW STATUS");
}

} // namespace

TEST_CASE("the operator key is sent as the password and the rows are returned")
{
    std::string const column = "name" + zeros(1) + zeros(4) + zeros(2) +
                               zeros(3) + "\x19" + "\xff\xff" + zeros(4) +
                               zeros(2);
    scripted_server server{
        {password_request, session_ready,
         message('T', zeros(1) + "\1" + column) +
             message('D', zeros(1) + "\1" + zeros(3) + "\2" + "ab") +
             message('C', "SHOW 1" + zeros(1)) + ready_for_query}};
    auto const outcome =
        console_transport("the key", 5s)(server.address, "SHOW STATUS");
    CHECK(outcome == attempt_outcome{answered{{{"name"}, {{"ab"}}}}});
    auto const received = server.received();
    CHECK(received.find("database" + zeros(1) + "basilreach" + zeros(1)) !=
          std::string::npos);
    CHECK(received.find(message('p', "the key" + zeros(1))) !=
          std::string::npos);
    CHECK(received.find(message('Q', "SHOW STATUS" + zeros(1))) !=
          std::string::npos);
}

TEST_CASE("after the command is sent, an error is distinguished from no answer")
{
    CHECK(run({password_request, session_ready,
               error_response("57P03", "not run: no leader") +
                   ready_for_query}) ==
          attempt_outcome{rejected{"57P03", "not run: no leader"}});
    // The connection ends after the command was received.
    CHECK(std::holds_alternative<unanswered>(
        run({password_request, session_ready})));
    // The command is received, and no answer follows before the timeout.
    CHECK(std::holds_alternative<unanswered>(
        run({password_request, session_ready, "", ""}, 200ms)));
}

TEST_CASE("a failure before the command is sent is not reported as unanswered")
{
    CHECK(std::holds_alternative<unreachable>(run({password_request})));
    CHECK(std::holds_alternative<unreachable>(run({"", ""}, 200ms)));
    CHECK(std::holds_alternative<unreachable>(
        run({password_request, error_response("57P03", "stopping")})));
    CHECK(run({password_request, error_response("28P01", "wrong key")}) ==
          attempt_outcome{rejected{"28P01", "wrong key"}});
}

} // namespace basilreach::cli
