#include <basilreach/traffic/statement.hpp>

#include <doctest/doctest.h>

using basilreach::traffic::classify;
using basilreach::traffic::statement_verb;

TEST_CASE("a declared read is recognised only where it is declared")
{
    CHECK(classify("begin read only") == statement_verb::begin_read_only);
    CHECK(
        classify("START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY") ==
        statement_verb::begin_read_only);
    CHECK(classify("BEGIN") == statement_verb::begin_read_write);
    CHECK(classify("SELECT 1") == statement_verb::other);
}

TEST_CASE("the end of a transaction is distinguished from savepoints")
{
    CHECK(classify("COMMIT;") == statement_verb::commit);
    CHECK(classify("end") == statement_verb::commit);
    CHECK(classify("ROLLBACK") == statement_verb::rollback);
    CHECK(classify("ROLLBACK TO SAVEPOINT a") == statement_verb::other);
    CHECK(classify("COMMIT PREPARED 'x'") == statement_verb::session_state);
}

TEST_CASE("changes of session state are recognised behind comments")
{
    CHECK(classify("SET search_path = x") == statement_verb::session_state);
    CHECK(classify("/* /* a */ */ SET search_path = x") ==
          statement_verb::session_state);
    CHECK(classify("-- a\nset search_path = x") ==
          statement_verb::session_state);
    CHECK(classify("SET LOCAL search_path = x") == statement_verb::other);
    CHECK(classify("SET basilreach.token = 'x'") ==
          statement_verb::proxy_variable);
    CHECK(classify("SHOW basilreach.token") == statement_verb::proxy_variable);
    CHECK(classify("CREATE TEMP TABLE t (a int)") ==
          statement_verb::session_state);
}

TEST_CASE("an empty statement is recognised")
{
    CHECK(classify(" /* nothing */ ") == statement_verb::empty);
    CHECK(classify("") == statement_verb::empty);
    CHECK(classify("(SELECT 1)") == statement_verb::other);
}
