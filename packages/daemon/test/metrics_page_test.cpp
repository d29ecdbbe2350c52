#include <basilreach/daemon/metrics_page.hpp>

#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace basilreach;
using namespace basilreach::daemon;
using namespace std::chrono_literals;

namespace
{

metrics_sample example()
{
    metrics_sample it;
    it.traffic.clients = 7;
    it.traffic.counts.refused_not_run = 3;
    auto& counts = it.traffic.counts.by_class[2];
    counts.served = 5;
    counts.waited = 1500ms;
    counts.refused[basilreach::traffic::refusal_reason::deadline] = 4;
    it.traffic.reads.record(2ms);
    it.traffic.reads.record(30ms);
    it.revision = 12;
    it.is_ready = true;
    return it;
}

std::set<std::string> families(std::string const& page)
{
    std::set<std::string> out;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);)
    {
        std::istringstream words(line);
        std::string mark;
        std::string what;
        std::string name;
        words >> mark >> what >> name;
        if (what == "TYPE")
            out.insert(name);
    }
    return out;
}

bool has_line(std::string const& page, std::string const& line)
{
    return ('\n' + page).find('\n' + line + '\n') != std::string::npos;
}

} // namespace

TEST_CASE("the metrics page has counters, gauges and cumulative buckets")
{
    auto const page = write_metrics(example());
    CHECK(has_line(page, "basilreach_callers 7"));
    CHECK(has_line(page, "basilreach_refused_total{outcome=\"not_run\"} 3"));
    CHECK(has_line(page, "basilreach_class_served_total{class=\"2\"} 5"));
    CHECK(
        has_line(page, "basilreach_class_wait_seconds_total{class=\"2\"} 1.5"));
    CHECK(has_line(page, "basilreach_class_refused_total{class=\"2\","
                         "reason=\"deadline\"} 4"));
    CHECK(has_line(page, "basilreach_control_revision 12"));
    CHECK(has_line(page, "basilreach_ready 1"));
    CHECK(has_line(page, "basilreach_statement_seconds_bucket{kind=\"read\","
                         "le=\"0.001\"} 0"));
    CHECK(has_line(page, "basilreach_statement_seconds_bucket{kind=\"read\","
                         "le=\"0.0025\"} 1"));
    CHECK(has_line(page, "basilreach_statement_seconds_bucket{kind=\"read\","
                         "le=\"+Inf\"} 2"));
    CHECK(
        has_line(page, "basilreach_statement_seconds_count{kind=\"read\"} 2"));
    CHECK(has_line(page,
                   "basilreach_statement_seconds_sum{kind=\"read\"} 0.032"));
}

// Guards against metrics that docs/OPERATIONS.md does not list.
TEST_CASE("every metric is documented")
{
    std::ifstream file(BASILREACH_SOURCE_DIR "/docs/OPERATIONS.md");
    std::stringstream text;
    text << file.rdbuf();
    for (auto const& name : families(write_metrics(example())))
    {
        CAPTURE(name);
        CHECK(text.str().find('`' + name + '`') != std::string::npos);
    }
}
