#include "database_group.hpp"

#include <algorithm>
#include <chrono>

#include <nlohmann/json.hpp>

namespace review
{

namespace
{

using nlohmann::json;

constexpr double never_ms = 1e12;
constexpr char proxy_id[] = "-";

double unix_ms()
{
    return static_cast<double>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

std::uint64_t number_of(std::string const& position)
{
    return std::stoull(position.substr(position.find('.') + 1));
}

} // namespace

database_group::database_group(group_settings settings, record& log)
    : settings_(std::move(settings)), log_(log), born_ms_(unix_ms())
{
    for (std::size_t n = 0; n != settings_.server_ips.size(); ++n)
    {
        auto it = std::make_unique<server>();
        it->id = "i-" + settings_.name + std::to_string(n);
        it->zone = std::string("zone-") + static_cast<char>('a' + n % 3);
        servers_.push_back(std::move(it));
    }
    for (std::size_t n = 0; n != servers_.size(); ++n)
        servers_[n]->front = std::make_unique<listener>(
            settings_.server_ips[n], 0,
            [this, n](int handle) { serve(n, handle); });
    replicator_ = std::thread([this] { replicate_loop(); });
}

database_group::~database_group()
{
    {
        std::lock_guard const lock(mutex_);
        is_stopping_ = true;
    }
    changed_.notify_all();
    replicator_.join();
    for (auto& it : servers_)
    {
        it->front->stop();
        if (it->reporter.joinable())
            it->reporter.join();
    }
}

void database_group::start_reports()
{
    for (std::size_t n = 0; n != servers_.size(); ++n)
        servers_[n]->reporter = std::thread([this, n] { report_loop(n); });
}

int database_group::promote(std::string const& id, std::uint64_t fence)
{
    constexpr int ok = 200;
    constexpr int conflict = 409;
    {
        std::lock_guard const lock(mutex_);
        if (fence < fence_ || find(id) == nullptr)
            return conflict;
        fence_ = fence;
        if (servers_[primary_]->id == id)
            return ok;
    }
    sleep_ms(settings_.promote_ms);
    std::set<std::string> removed;
    std::lock_guard const lock(mutex_);
    for (std::size_t n = 0; n != servers_.size(); ++n)
        if (servers_[n]->id == id && n != primary_)
        {
            auto& it = *servers_[n];
            for (auto at = it.received; at < entries_.size(); ++at)
                removed.insert(entries_[at].commit_id);
            entries_.resize(it.received);
            for (auto& other : servers_)
                other->received = std::min(other->received, it.received);
            servers_[primary_]->must_report = true;
            it.must_report = true;
            it.is_deaf = false;
            primary_ = n;
            ++term_;
            log_.write("promoted " + id + " term=" + std::to_string(term_) +
                       " removed_commits=" + std::to_string(removed.size()));
            if (on_promoted)
                on_promoted(id, removed);
        }
    changed_.notify_all();
    return ok;
}

void database_group::set_deaf(std::string const& id, bool is_deaf)
{
    std::lock_guard const lock(mutex_);
    for (auto& it : servers_)
        if (it->id == id)
            it->is_deaf = is_deaf;
    log_.write(id + (is_deaf ? " receives nothing" : " receives again"));
}

void database_group::start_draining(std::string const& id)
{
    std::lock_guard const lock(mutex_);
    for (auto& it : servers_)
        if (it->id == id)
        {
            it->is_draining = true;
            it->must_report = true;
        }
    changed_.notify_all();
    log_.write(id + " is draining");
}

std::string database_group::primary() const
{
    std::lock_guard const lock(mutex_);
    return servers_[primary_]->id;
}

std::uint64_t database_group::length() const
{
    std::lock_guard const lock(mutex_);
    return entries_.size();
}

std::uint64_t database_group::received(std::string const& id) const
{
    std::lock_guard const lock(mutex_);
    auto const* const it = find(id);
    return it == nullptr ? 0 : it->received;
}

std::map<std::string, std::uint64_t> database_group::commits() const
{
    std::lock_guard const lock(mutex_);
    std::map<std::string, std::uint64_t> out;
    for (std::size_t n = 0; n != entries_.size(); ++n)
        out[entries_[n].commit_id] = n + 1;
    return out;
}

std::map<std::string, statement_trace> database_group::statements() const
{
    std::lock_guard const lock(mutex_);
    return statements_;
}

database_group::server const* database_group::find(std::string const& id) const
{
    for (auto const& it : servers_)
        if (it->id == id)
            return it.get();
    return nullptr;
}

// Delivers log entries to the replicas, each in the time that it takes.
void database_group::replicate_loop()
{
    std::unique_lock lock(mutex_);
    while (!is_stopping_)
    {
        bool has_changed = false;
        for (auto& it : servers_)
        {
            if (it.get() == servers_[primary_].get())
                it->received = entries_.size();
            while (!it->is_deaf && it->received < entries_.size() &&
                   entries_[it->received].written_ms + settings_.lag_ms <=
                       now_ms())
            {
                ++it->received;
                has_changed = true;
            }
        }
        if (has_changed)
            changed_.notify_all();
        lock.unlock();
        sleep_ms(1);
        lock.lock();
    }
}

void database_group::report_loop(std::size_t n)
{
    std::size_t next = n;
    std::unique_lock lock(mutex_);
    auto& it = *servers_[n];
    while (!is_stopping_)
    {
        it.must_report = false;
        json const body{{"service", settings_.name},
                        {"address", it.front->address()},
                        {"zone", it.zone},
                        {"version", "v1"},
                        {"capacity", settings_.slots},
                        {"state", it.is_draining ? "draining" : "ready"},
                        {"cold_remaining_ms", 0},
                        {"db_role", n == primary_ ? "primary" : "replica"},
                        {"born", static_cast<std::uint64_t>(born_ms_)},
                        {"sequence", ++it.sequence}};
        auto const address =
            it.report_address.empty()
                ? settings_
                      .control_addresses[next++ %
                                         settings_.control_addresses.size()]
                : it.report_address;
        lock.unlock();
        auto const answer = send_following_redirections(
            address, "POST", "/Instances.Heartbeat/" + it.id, body.dump(),
            1000);
        lock.lock();
        bool const is_acknowledged = answer.status / 100 == 2;
        auto const parsed = json::parse(answer.body, nullptr, false);
        it.report_address = is_acknowledged && parsed.is_object()
                                ? parsed.value("heartbeat_endpoint", "")
                                : std::string();
        if (is_acknowledged && it.is_draining)
            log_.write(it.id + " draining acknowledged");
        auto const until =
            now_ms() + (is_acknowledged ? settings_.heartbeat_ms : 100);
        while (!is_stopping_ && !it.must_report && now_ms() < until)
            changed_.wait_for(lock, std::chrono::milliseconds(5));
    }
}

void database_group::serve(std::size_t n, int handle)
{
    connection peer(handle);
    auto const first = peer.read_line(never_ms);
    if (!first)
        return;
    auto rest = *first;
    auto& it = *servers_[n];
    std::unique_lock lock(mutex_);
    if (extract_field(rest) != "STARTUP" ||
        extract_field(rest) != settings_.name)
    {
        lock.unlock();
        peer.send("ERROR MISROUTED " + it.id + "\r\n");
        return;
    }
    extract_field(rest);
    if ((!rest.empty() && rest != it.id) ||
        it.connections >= settings_.max_connections)
    {
        auto const code =
            !rest.empty() && rest != it.id ? "MISROUTED" : "TOOMANY";
        lock.unlock();
        peer.send(std::string("ERROR ") + code + ' ' + it.id + "\r\n");
        return;
    }
    ++it.connections;
    take_slot(it, settings_.handshake_ms, lock);
    auto const greeting = "READY I " + position(it) + "\r\n";
    lock.unlock();
    peer.send(greeting);
    session s;
    while (auto line = peer.read_line(never_ms))
    {
        if (extract_field(*line) != "QUERY")
            break;
        auto const id = extract_field(*line);
        lock.lock();
        auto const answer = run(n, s, id, *line, lock);
        lock.unlock();
        if (!peer.send(answer))
            break;
    }
    lock.lock();
    --it.connections;
}

// Occupies a slot of the server for the time. Returns whether there was one.
bool database_group::take_slot(server& it,
                               double work_ms,
                               std::unique_lock<std::mutex>& lock)
{
    if (it.waiting >= settings_.queue)
        return false;
    ++it.waiting;
    changed_.wait(lock,
                  [&] { return is_stopping_ || it.busy < settings_.slots; });
    --it.waiting;
    ++it.busy;
    lock.unlock();
    sleep_ms(work_ms);
    lock.lock();
    --it.busy;
    changed_.notify_all();
    return true;
}

std::string database_group::run(std::size_t n,
                                session& s,
                                std::string const& id,
                                std::string text,
                                std::unique_lock<std::mutex>& lock)
{
    auto& it = *servers_[n];
    std::string out;
    bool is_behind = false;
    if (text.starts_with("AFTER "))
    {
        extract_field(text);
        is_behind = number_of(extract_field(text)) > it.received;
    }
    if (is_behind)
        out = "ERROR LAGGING " + it.id + "\r\n";
    else
        out = run_statement(n, s, id, text, lock);
    if (out.starts_with("ERROR") && s.in_transaction)
        s.has_failed = true;
    auto const* const state = !s.in_transaction ? "I"
                              : s.has_failed    ? "E"
                                                : "T";
    return out + "READY " + state + ' ' + position(it) + "\r\n";
}

std::string database_group::run_statement(std::size_t n,
                                          session& s,
                                          std::string const& id,
                                          std::string const& text,
                                          std::unique_lock<std::mutex>& lock)
{
    auto& it = *servers_[n];
    auto rest = text;
    auto const keyword = extract_field(rest);
    auto const error = [&it](char const* code)
    {
        return std::string("ERROR ") + code + ' ' + it.id + "\r\n";
    };
    std::string const own_answer = "COMPLETE -\r\n";
    if (keyword == "ROLLBACK" || (keyword == "COMMIT" && s.has_failed))
    {
        bool const is_commit = keyword == "COMMIT";
        s.in_transaction = s.has_failed = false;
        s.writes.clear();
        return is_commit ? error("ABORTED") : own_answer;
    }
    if (s.has_failed)
        return error("MALFORMED");
    if (keyword == "RESET")
    {
        s.values.clear();
        s.statements.clear();
        return own_answer;
    }
    if (keyword == "SET")
    {
        auto const name = extract_field(rest);
        s.values[name] = rest;
        return own_answer;
    }
    if (keyword == "PREPARE")
    {
        auto const name = extract_field(rest);
        s.statements[name] = rest.starts_with("WRITE");
        return own_answer;
    }
    if (keyword == "STATUS")
        return "ROW " + std::string(n == primary_ ? "primary" : "replica") +
               ' ' + std::to_string(term_) + ' ' + position(it) + " 0 0 0 " +
               std::to_string(it.connections) + "\r\n" + own_answer;
    if (keyword == "BEGIN")
    {
        s.is_read_only = rest == "READ";
        if (!s.is_read_only && n != primary_)
            return error("READONLY");
        s.in_transaction = true;
        s.term = term_;
        return own_answer;
    }
    auto const has_lost_lead = [&]
    {
        return s.in_transaction && !s.is_read_only && s.term != term_;
    };
    if (has_lost_lead() && !(keyword == "COMMIT" && s.writes.empty()))
        return error("READONLY");
    auto& trace = statements_[id];
    trace = {now_ms(), -1, it.id, text, it.received};
    log_.write("run id=" + id + " server=" + it.id + " at=" + position(it) +
               ' ' + text);
    if (!take_slot(it, settings_.work_ms, lock))
    {
        statements_.erase(id);
        return error("BUSY");
    }
    statements_[id].finished_ms = now_ms();
    auto const proof = "COMPLETE 7." + id + '.' + it.id + "\r\n";
    if (has_lost_lead() && !(keyword == "COMMIT" && s.writes.empty()))
        return error("READONLY");
    if (keyword == "COMMIT")
    {
        auto const outcome = commit(n, s, id, lock);
        return outcome.empty() ? proof : outcome;
    }
    auto const name =
        keyword == "EXECUTE" ? extract_field(rest) : std::string();
    if (keyword == "EXECUTE" && !s.statements.contains(name))
        return error("NOSTMT");
    if (keyword == "READ" || (keyword == "EXECUTE" && !s.statements[name]))
        return read_item(it, s, rest) + proof;
    if (n != primary_ || s.is_read_only)
        return error("READONLY");
    auto const item = extract_field(rest);
    s.writes.emplace_back(item, rest);
    if (s.in_transaction)
        return proof;
    auto const outcome = commit(n, s, id, lock);
    return outcome.empty() ? proof : outcome;
}

// Returns an error, or nothing after a success. With synchronous replicas, the
// answer waits until enough of them have received the entry.
std::string database_group::commit(std::size_t n,
                                   session& s,
                                   std::string const& id,
                                   std::unique_lock<std::mutex>& lock)
{
    auto writes = std::exchange(s.writes, {});
    s.in_transaction = false;
    s.is_read_only = false;
    if (writes.empty())
        return {};
    if (n != primary_)
        return "ERROR READONLY " + servers_[n]->id + "\r\n";
    entries_.push_back({id, std::move(writes), now_ms()});
    auto const number = entries_.size();
    auto const term = term_;
    servers_[n]->received = number;
    auto const is_received = [&]
    {
        return static_cast<std::size_t>(std::count_if(
                   servers_.begin(), servers_.end(),
                   [&](auto const& it) {
                       return it != servers_[n] && it->received >= number;
                   })) >= settings_.sync_replicas;
    };
    changed_.wait(lock, [&]
                  { return is_stopping_ || term != term_ || is_received(); });
    // A primary that has lost the lead meanwhile cannot know the outcome.
    return term == term_ ? std::string()
                         : "ERROR INDOUBT " + servers_[n]->id + "\r\n";
}

std::string database_group::read_item(server const& it,
                                      session const& s,
                                      std::string const& item) const
{
    std::string value = "none";
    for (std::size_t n = 0; n != it.received && n != entries_.size(); ++n)
        for (auto const& [key, data] : entries_[n].writes)
            if (key == item)
                value = data;
    for (auto const& [key, data] : s.writes)
        if (key == item)
            value = data;
    return "ROW " + value + "\r\n";
}

std::string database_group::position(server const& it) const
{
    return std::to_string(term_) + '.' + std::to_string(it.received);
}

} // namespace review
