#include <basilreach/daemon/metrics_page.hpp>

#include <array>
#include <chrono>
#include <sstream>
#include <string>

#include "refusal_text.hpp"

namespace basilreach::daemon
{

namespace
{

// Upper bounds of the buckets of latency histograms. They cover the range of
// the latency objectives of routes and of the statements' timeouts.
constexpr std::array buckets = {
    std::chrono::microseconds(1000),    std::chrono::microseconds(2500),
    std::chrono::microseconds(5000),    std::chrono::microseconds(10000),
    std::chrono::microseconds(25000),   std::chrono::microseconds(50000),
    std::chrono::microseconds(100000),  std::chrono::microseconds(250000),
    std::chrono::microseconds(500000),  std::chrono::microseconds(1000000),
    std::chrono::microseconds(2500000), std::chrono::microseconds(5000000)};

class page_writer
{
public:
    void family(char const* name, char const* kind, char const* help)
    {
        out_ << "# HELP basilreach_" << name << ' ' << help << '\n'
             << "# TYPE basilreach_" << name << ' ' << kind << '\n';
    }

    template <class Value>
    void sample(char const* name, char const* labels, Value value)
    {
        out_ << "basilreach_" << name << labels << ' ' << value << '\n';
    }

    void histogram(char const* name,
                   char const* label,
                   telemetry::latency_histogram const& it)
    {
        for (auto const bound : buckets)
            out_ << "basilreach_" << name << "_bucket{" << label << ",le=\""
                 << std::chrono::duration<double>(bound).count() << "\"} "
                 << it.count_up_to(bound) << '\n';
        out_ << "basilreach_" << name << "_bucket{" << label << ",le=\"+Inf\"} "
             << it.count() << '\n'
             << "basilreach_" << name << "_sum{" << label << "} " << it.sum()
             << '\n'
             << "basilreach_" << name << "_count{" << label << "} "
             << it.count() << '\n';
    }

    [[nodiscard]] std::string text() const
    {
        return out_.str();
    }

private:
    std::ostringstream out_;
};

std::string class_label(rules::priority priority, std::string const& reason)
{
    auto out = "{class=\"" + std::to_string(priority) + '"';
    if (!reason.empty())
        out += ",reason=\"" + reason + '"';
    return out + '}';
}

void write_gauges(page_writer& page, metrics_sample const& it)
{
    auto const& counts = it.traffic.counts;
    page.family("callers", "gauge", "Connections of callers.");
    page.sample("callers", "", it.traffic.clients);
    page.family("sessions", "gauge", "Sessions of callers.");
    page.sample("sessions", "", counts.sessions);
    page.family("statements_in_progress", "gauge", "Statements not answered.");
    page.sample("statements_in_progress", "", counts.requests);
    page.family("server_connections", "gauge",
                "Connections to backend servers.");
    page.sample("server_connections", "", counts.connections);
    page.family("caller_buffer_bytes", "gauge", "Bytes buffered for callers.");
    page.sample("caller_buffer_bytes", "", it.traffic.buffers.bytes);
    page.family("callers_held", "gauge",
                "Connections of callers not read to save memory.");
    page.sample("callers_held", "", it.traffic.buffers.held);
    page.family("control_revision", "gauge", "Revision of the control state.");
    page.sample("control_revision", "", it.revision);
    page.family("ready", "gauge", "1 if the host takes new callers.");
    page.sample("ready", "", it.is_ready ? 1 : 0);
    page.family("leader", "gauge", "1 if this host leads control.");
    page.sample("leader", "", it.is_leader ? 1 : 0);
    page.family("data_centres_out_of_service", "gauge",
                "Data centres whose servers get no statements.");
    page.sample("data_centres_out_of_service", "",
                it.data_centres_out_of_service);
    page.family("control_contact", "gauge", "1 if a control host answers.");
    page.sample("control_contact", "", it.is_in_contact ? 1 : 0);
}

void write_distribution(page_writer& page, metrics_sample const& it)
{
    page.family("link_queued_bytes", "gauge",
                "Bytes that wait to be sent to other daemons.");
    page.sample("link_queued_bytes", "", it.links.bytes_queued);
    page.family("link_backlog_seconds", "gauge",
                "Longest time for which a link has had bytes to send.");
    page.sample("link_backlog_seconds", "",
                std::chrono::duration<double>(it.links.backlog).count());
    page.family("state_updates_total", "counter",
                "Updates of the control state sent to daemons, by content.");
    page.sample("state_updates_total", "{content=\"snapshot\"}",
                it.state_updates.snapshots);
    page.sample("state_updates_total", "{content=\"changes\"}",
                it.state_updates.updates - it.state_updates.snapshots);
}

void write_counters(page_writer& page, metrics_sample const& it)
{
    auto const& counts = it.traffic.counts;
    page.family("reads_total", "counter", "Reads answered, by server role.");
    page.sample("reads_total", "{server=\"replica\"}",
                counts.reads_at_replicas);
    page.sample("reads_total", "{server=\"primary\"}",
                counts.reads_at_primaries);
    page.family("writes_total", "counter", "Writes and commits answered.");
    page.sample("writes_total", "", counts.writes);
    page.family("refused_total", "counter", "Statements refused, by outcome.");
    page.sample("refused_total", "{outcome=\"not_run\"}",
                counts.refused_not_run);
    page.sample("refused_total", "{outcome=\"unknown\"}",
                counts.outcome_unknown);
    page.family("server_connections_opened_total", "counter",
                "Connections opened to backend servers.");
    page.sample("server_connections_opened_total", "",
                counts.connections_opened);
    page.family("silent_connections_total", "counter",
                "Connections given up as nothing was answered.");
    page.sample("silent_connections_total", "", counts.silent_connections);
    page.family("statements_forwarded_total", "counter",
                "Statements sent to holders.");
    page.sample("statements_forwarded_total", "", counts.forwarded);
    page.family("statements_received_total", "counter",
                "Statements received from other daemons.");
    page.sample("statements_received_total", "", counts.received);
    page.family("statements_kept_total", "counter",
                "Statements of other holders that ran here, by reason.");
    page.sample("statements_kept_total", "{reason=\"rejected\"}",
                counts.local_after_rejection);
    page.sample("statements_kept_total", "{reason=\"undelivered\"}",
                counts.local_after_undelivered);
    page.sample("statements_kept_total", "{reason=\"lost\"}",
                counts.local_after_loss);
    page.sample("statements_kept_total", "{reason=\"limit\"}",
                counts.local_above_limit);
    auto const& closed = it.traffic.buffers.closed;
    page.family("callers_closed_total", "counter",
                "Connections of callers closed to save memory, by reason.");
    page.sample("callers_closed_total", "{reason=\"startup_timeout\"}",
                closed[0]);
    page.sample("callers_closed_total", "{reason=\"hold_timeout\"}", closed[1]);
    page.sample("callers_closed_total", "{reason=\"memory\"}", closed[2]);
    page.family("decisions_dropped_total", "counter",
                "Lines left out of the decision log.");
    page.sample("decisions_dropped_total", "", it.decisions_dropped);
}

// Writes the totals of each priority class, in rules that state priorities.
void write_classes(page_writer& page, traffic::counts_by_class const& classes)
{
    if (classes.empty())
        return;
    auto const write = [&](char const* name, char const* help, auto value_of)
    {
        page.family(name, "counter", help);
        for (auto const& [priority, it] : classes)
            page.sample(name, class_label(priority, "").c_str(), value_of(it));
    };
    write("class_served_total", "Statements answered, by class.",
          [](auto const& it) { return it.served; });
    write("class_within_target_total",
          "Statements answered before their target, by class.",
          [](auto const& it) { return it.within_target; });
    write("class_sent_total", "Statements sent to servers, by class.",
          [](auto const& it) { return it.sent; });
    write("class_wait_seconds_total",
          "Sum of the times from arrival to sending, by class.",
          [](auto const& it)
          { return std::chrono::duration<double>(it.waited).count(); });
    page.family("class_refused_total", "counter",
                "Statements refused, by class and reason.");
    for (auto const& [priority, it] : classes)
        for (auto const& [reason, n] : it.refused)
            page.sample("class_refused_total",
                        class_label(priority, name_of(reason)).c_str(), n);
}

} // namespace

std::string write_metrics(metrics_sample const& it)
{
    page_writer page;
    write_gauges(page, it);
    write_counters(page, it);
    write_classes(page, it.traffic.counts.by_class);
    write_distribution(page, it);
    page.family("statement_seconds", "histogram",
                "Time from a statement's arrival to its answer, in seconds.");
    page.histogram("statement_seconds", "kind=\"read\"", it.traffic.reads);
    page.histogram("statement_seconds", "kind=\"write\"", it.traffic.writes);
    page.family("forwarded_seconds", "histogram",
                "Time from forwarding a statement to its answer, in seconds.");
    page.histogram("forwarded_seconds", "kind=\"all\"", it.traffic.forwarded);
    return page.text();
}

} // namespace basilreach::daemon
