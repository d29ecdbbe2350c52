#include <basilreach/telemetry/decision_log.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include <easylogging++.h>

namespace basilreach::telemetry
{

namespace
{

// Longest time that a log line of any thread stays in the buffer before it is
// flushed to the log.
constexpr std::chrono::milliseconds flush_interval{100};

void append_field(std::string& line,
                  char const* field,
                  std::string const& value)
{
    if (value.empty())
        return;
    line += ' ';
    line += field;
    line += '=';
    line += value;
}

std::string print_nonzero(std::uint64_t n)
{
    return n == 0 ? std::string() : std::to_string(n);
}

} // namespace

std::string to_line(decision_record const& it)
{
    std::string line = "decision=";
    line += it.decision;
    append_field(line, "request",
                 it.request_label.empty() ? print_nonzero(it.request)
                                          : it.request_label);
    append_field(line, "session",
                 it.session_label.empty() ? print_nonzero(it.session)
                                          : it.session_label.str());
    append_field(line, "workspace", it.workspace.str());
    append_field(line, "route", it.route.str());
    append_field(line, "group", it.group.str());
    append_field(line, "server", it.server.str());
    append_field(line, "reason", it.reason);
    append_field(line, "outcome", it.outcome);
    append_field(line, "cause", it.cause);
    append_field(line, "priority",
                 it.priority ? std::to_string(*it.priority) : std::string());
    append_field(
        line, "retry_after_ms",
        print_nonzero(static_cast<std::uint64_t>(it.retry_after.count())));
    append_field(line, "revision", print_nonzero(it.revision));
    return line;
}

decision_log::decision_log(std::size_t limit)
    : limit_(limit), writer_([this] { run(); })
{
}

decision_log::~decision_log()
{
    {
        std::lock_guard const lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    writer_.join();
}

void decision_log::write(std::vector<decision_record>& records)
{
    if (records.empty())
        return;
    {
        std::lock_guard const lock(mutex_);
        auto const free_slots = limit_ - std::min(limit_, pending_.size());
        auto const n = std::min(free_slots, records.size());
        dropped_ += records.size() - n;
        auto const end = records.begin() + static_cast<std::ptrdiff_t>(n);
        pending_.insert(pending_.end(),
                        std::make_move_iterator(records.begin()),
                        std::make_move_iterator(end));
    }
    records.clear();
    changed_.notify_one();
}

std::uint64_t decision_log::dropped() const
{
    std::lock_guard const lock(mutex_);
    return dropped_;
}

void decision_log::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_ || !pending_.empty())
    {
        changed_.wait_for(lock, flush_interval,
                          [this] { return stopping_ || !pending_.empty(); });
        auto const records = std::exchange(pending_, {});
        lock.unlock();
        for (auto const& it : records)
            LOG(INFO) << to_line(it);
        el::Loggers::flushAll();
        lock.lock();
    }
}

} // namespace basilreach::telemetry
