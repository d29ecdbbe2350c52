#include <basilreach/daemon/http_reader.hpp>

#include <doctest/doctest.h>

using namespace basilreach::daemon;

TEST_CASE("pipelined requests are parsed wherever the input is split")
{
    std::string const one = "POST /a?b=c HTTP/1.1\r\nHost: x\r\n"
                            "Content-Length: 3\r\n\r\nxyz";
    std::string const two = one + "GET /d HTTP/1.1\r\n\r\n";
    for (std::size_t n = 0; n != one.size(); ++n)
    {
        http_reader it(http_kind::request);
        auto used = it.read(std::string_view(two).substr(0, n));
        CHECK(it.state() == http_reader::progress::incomplete);
        used += it.read(std::string_view(two).substr(used));
        REQUIRE(it.state() == http_reader::progress::complete);
        CHECK(used == one.size());
        CHECK(it.take_request() ==
              http_request{"POST",
                           "/a?b=c",
                           {{"Host", "x"}, {"Content-Length", "3"}},
                           "xyz"});
        (void)it.read(std::string_view(two).substr(used));
        REQUIRE(it.state() == http_reader::progress::complete);
        CHECK(it.take_request().target == "/d");
    }
}

TEST_CASE("input that is not HTTP and a body above the limit are malformed")
{
    http_reader it(http_kind::request);
    (void)it.read("STARTUP db key\r\n\r\n");
    CHECK(it.state() == http_reader::progress::malformed);
    http_reader large(http_kind::request);
    (void)large.read("POST /a HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n");
    std::string const part(1 << 20U, 'x');
    for (int n = 0; n != 9; ++n)
        (void)large.read(part);
    CHECK(large.state() == http_reader::progress::malformed);
}

TEST_CASE("a response without a Content-Length ends with its connection")
{
    http_reader it(http_kind::response);
    (void)it.read("HTTP/1.1 409 Conflict\r\n\r\nno");
    CHECK(it.state() == http_reader::progress::incomplete);
    it.read_end();
    REQUIRE(it.state() == http_reader::progress::complete);
    auto const response = it.take_response();
    CHECK(response.status == 409);
    CHECK(response.body == "no");
}

TEST_CASE("serialized messages have a Content-Length")
{
    std::string out;
    append_request(out, {"POST", "/a", {{"X", "y"}}, "ab"}, "1.2.3.4:5");
    append_response(out, {503, {}, {}});
    CHECK(out == "POST /a HTTP/1.1\r\nHost: 1.2.3.4:5\r\nX: y\r\n"
                 "Content-Length: 2\r\n\r\nab"
                 "HTTP/1.1 503 Service Unavailable\r\n"
                 "Content-Length: 0\r\n\r\n");
}
