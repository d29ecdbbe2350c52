#include <basilreach/pgwire/encoder.hpp>

#include <doctest/doctest.h>

#include <array>

using namespace std::string_literals;

namespace basilreach::pgwire
{

// Guards against wrong lengths and a wrong order of fields. The expected bytes
// follow the PostgreSQL documentation of the message formats.
TEST_CASE("messages have the documented bytes")
{
    std::string out;
    append_authentication_cleartext_password(out);
    CHECK(out == "R\0\0\0\10\0\0\0\3"s);
    out.clear();
    append_parameter_status(out, "a", "b");
    CHECK(out == "S\0\0\0\10a\0b\0"s);
    out.clear();
    append_ready_for_query(out, ready_status::in_transaction);
    CHECK(out == "Z\0\0\0\5T"s);
    out.clear();
    append_row_description(out, std::array{column{"n", int8_type, 8, 0}});
    CHECK(out == "T\0\0\0\x1a\0\1n\0\0\0\0\0\0\0\0\0\0\x14\0\10"
                 "\xff\xff\xff\xff\0\0"s);
    out.clear();
    append_data_row(out, std::array<std::optional<std::string_view>, 2>{
                             "xy", std::nullopt});
    CHECK(out == "D\0\0\0\x10\0\2\0\0\0\2xy\xff\xff\xff\xff"s);
    out.clear();
    append_error_response(out, {"ERROR", "57P03", "not run: x", "", "not run"});
    CHECK(out == "E\0\0\0\x2fSERROR\0VERROR\0C57P03\0Mnot run: x\0"
                 "Hnot run\0\0"s);
}

// Guards against a text with a zero byte, after which the client would read the
// following fields from a wrong offset.
TEST_CASE("a string field is cut at its first zero byte")
{
    std::string out;
    append_parameter_status(out, "a\0z"s, "b");
    CHECK(out == "S\0\0\0\10a\0b\0"s);
}

} // namespace basilreach::pgwire
