#include <basilreach/telemetry/decision_log.hpp>

#include <doctest/doctest.h>

using namespace basilreach;
using telemetry::decision_record;

TEST_CASE("a decision line has the fields of the record without empty ones")
{
    decision_record it;
    it.decision = "route";
    it.reason = "primary_for_write";
    it.session = 7;
    it.route = route_name("ledger");
    it.server = server_name("s1");
    CHECK(telemetry::to_line(it) == "decision=route session=7 route=ledger "
                                    "server=s1 reason=primary_for_write");
}

// Guards against a refused connection whose line does not tell by which rules
// it was refused.
TEST_CASE("a refused connection has the revision that decided")
{
    decision_record it;
    it.decision = "refuse";
    it.outcome = "not_run";
    it.cause = "key_withdrawn";
    it.revision = 791;
    CHECK(telemetry::to_line(it) == "decision=refuse outcome=not_run "
                                    "cause=key_withdrawn revision=791");
}

// Guards against a refusal whose line does not tell which class was refused,
// and against a highest class that is left out like an absent one.
TEST_CASE("a refusal has its class and the time to try again")
{
    decision_record it;
    it.decision = "refuse";
    it.cause = "deadline";
    it.priority = 0;
    it.retry_after = std::chrono::milliseconds(120);
    CHECK(telemetry::to_line(it) ==
          "decision=refuse cause=deadline priority=0 retry_after_ms=120");
}

TEST_CASE("records beyond the limit are dropped and counted")
{
    telemetry::decision_log log(0);
    std::vector<decision_record> records(3);
    log.write(records);
    CHECK(records.empty());
    CHECK(log.dropped() == 3);
}
