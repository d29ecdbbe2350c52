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

// Longest time that a line of any thread stays in the buffer of the log.
constexpr std::chrono::milliseconds flush_interval{100};

void append(std::string& line, char const* field, std::string const& value)
{
    if (value.empty())
        return;
    line += ' ';
    line += field;
    line += '=';
    line += value;
}

std::string number(std::uint64_t n)
{
    return n == 0 ? std::string() : std::to_string(n);
}

} // namespace

std::string to_line(decision_record const& it)
{
    std::string line = "decision=";
    line += it.decision;
    append(line, "request",
           it.request_label.empty() ? number(it.request) : it.request_label);
    append(line, "session",
           it.session_label.empty() ? number(it.session)
                                    : it.session_label.str());
    append(line, "workspace", it.workspace.str());
    append(line, "route", it.route.str());
    append(line, "group", it.group.str());
    append(line, "server", it.server.str());
    append(line, "reason", it.reason);
    append(line, "outcome", it.outcome);
    append(line, "cause", it.cause);
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
        auto const room = limit_ - std::min(limit_, waiting_.size());
        auto const n = std::min(room, records.size());
        dropped_ += records.size() - n;
        auto const end = records.begin() + static_cast<std::ptrdiff_t>(n);
        waiting_.insert(waiting_.end(),
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
    while (!stopping_ || !waiting_.empty())
    {
        changed_.wait_for(lock, flush_interval,
                          [this] { return stopping_ || !waiting_.empty(); });
        auto const records = std::exchange(waiting_, {});
        lock.unlock();
        for (auto const& it : records)
            LOG(INFO) << to_line(it);
        el::Loggers::flushAll();
        lock.lock();
    }
}

} // namespace basilreach::telemetry
