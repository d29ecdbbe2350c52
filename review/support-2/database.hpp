// A replicated database of three servers that speak the line protocol, the
// provider that changes its primary, the operator and a client.
#ifndef BASILREACH_REVIEW_DATABASE_HPP
#define BASILREACH_REVIEW_DATABASE_HPP

#include <algorithm>

#include "harness.hpp"

namespace harness
{

// Removes the first field from the text and returns it.
inline std::string take_field(std::string& text)
{
    auto const end = std::min(text.find(' '), text.size());
    auto field = text.substr(0, end);
    text.erase(0, std::min(end + 1, text.size()));
    return field;
}

struct position
{
    std::uint64_t term = 1;
    std::uint64_t number = 0;

    [[nodiscard]] std::string str() const
    {
        return std::to_string(term) + '.' + std::to_string(number);
    }
};

// The commits of a database. The replicas have each commit at once.
class database_group
{
public:
    database_group(std::string service, recorder& record)
        : service_(std::move(service)), record_(record)
    {
    }

    struct write
    {
        std::string id;
        std::string item;
        std::string data;
    };

    [[nodiscard]] std::string const& service() const
    {
        return service_;
    }

    recorder& record()
    {
        return record_;
    }

    bool is_primary(std::string const& server)
    {
        std::lock_guard const guard(mutex_);
        return primary_ == server;
    }

    void promote(std::string const& server)
    {
        std::lock_guard const guard(mutex_);
        if (primary_ == server)
            return;
        primary_ = server;
        ++position_.term;
        record_.write(server, "leads term " + std::to_string(position_.term));
    }

    void commit(std::string const& server, std::vector<write> const& writes)
    {
        std::lock_guard const guard(mutex_);
        if (writes.empty())
            return;
        ++position_.number;
        for (auto const& it : writes)
        {
            items_[it.item] = it.data;
            committed_.insert(it.id);
            record_.write(server, "committed " + it.id + " WRITE " + it.item +
                                      ' ' + it.data + " at " + position_.str());
        }
    }

    position now()
    {
        std::lock_guard const guard(mutex_);
        return position_;
    }

    std::string item(std::string const& name)
    {
        std::lock_guard const guard(mutex_);
        return items_[name];
    }

    void set_item(std::string const& name, std::string const& data)
    {
        std::lock_guard const guard(mutex_);
        items_[name] = data;
    }

    // The time that a read takes, and the rows that it returns.
    std::atomic<int> read_ms = 0;
    std::atomic<int> rows_per_read = 1;

    bool is_committed(std::string const& id)
    {
        std::lock_guard const guard(mutex_);
        return committed_.contains(id);
    }

private:
    std::string service_;
    recorder& record_;
    std::mutex mutex_;
    std::string primary_;
    position position_;
    std::map<std::string, std::string> items_;
    std::set<std::string> committed_;
};

// One connection to a server.
class server_session
{
public:
    server_session(database_group& group, std::string server, stream& it)
        : group_(group), server_(std::move(server)), stream_(it)
    {
    }

    void run()
    {
        while (auto line = stream_.read_line())
        {
            auto const word = take_field(*line);
            if (word == "STARTUP")
                start(*line);
            else if (word == "QUERY")
                query(*line);
            else
                return;
        }
    }

private:
    void start(std::string rest)
    {
        auto const service = take_field(rest);
        take_field(rest);
        if (service != group_.service() || (!rest.empty() && rest != server_))
        {
            stream_.send("ERROR MISROUTED " + server_ + "\r\n");
            stream_.close();
            return;
        }
        ready();
    }

    void ready()
    {
        stream_.send("READY " + state_ + ' ' + group_.now().str() + "\r\n");
    }

    void complete(std::string const& proof)
    {
        stream_.send("COMPLETE " + proof + "\r\n");
        ready();
    }

    void fail(std::string const& code)
    {
        if (state_ == "T")
            state_ = "E";
        stream_.send("ERROR " + code + ' ' + server_ + "\r\n");
        ready();
    }

    [[nodiscard]] std::string proof() const
    {
        return "proof-" + id_;
    }

    void end_transaction()
    {
        writes_.clear();
        state_ = "I";
        is_read_only_ = false;
    }

    bool lacks_lead()
    {
        return !is_read_only_ && !group_.is_primary(server_);
    }

    void read(std::string const& item)
    {
        if (state_ == "T" && lacks_lead())
            return fail("READONLY");
        group_.record().write(server_, "ran " + id_ + " READ " + item);
        pause_for(group_.read_ms);
        auto const row = "ROW " + group_.item(item) + "\r\n";
        for (int n = 0; n != group_.rows_per_read; ++n)
            stream_.send(row);
        complete(proof());
    }

    void write(std::string const& item, std::string const& data)
    {
        if (is_read_only_ || !group_.is_primary(server_))
            return fail("READONLY");
        group_.record().write(server_, "ran " + id_ + " WRITE " + item + ' ' +
                                           data + " in state " + state_);
        if (state_ == "T")
            writes_.push_back({id_, item, data});
        else
            group_.commit(server_, {{id_, item, data}});
        complete(proof());
    }

    void commit()
    {
        if (state_ == "I")
            return fail("MALFORMED");
        if (state_ == "E" || (!writes_.empty() && lacks_lead()))
        {
            end_transaction();
            return fail("ABORTED");
        }
        group_.record().write(server_, "ran " + id_ + " COMMIT");
        group_.commit(server_, writes_);
        end_transaction();
        complete(proof());
    }

    void begin(std::string const& rest)
    {
        if (state_ != "I")
            return fail("MALFORMED");
        if (rest.empty() && !group_.is_primary(server_))
            return fail("READONLY");
        is_read_only_ = rest == "READ";
        state_ = "T";
        complete("-");
    }

    void execute(std::string rest)
    {
        auto const name = take_field(rest);
        auto const found = prepared_.find(name);
        if (found == prepared_.end())
            return fail("NOSTMT");
        auto const item = take_field(rest);
        if (found->second)
            write(item, rest);
        else
            read(item);
    }

    void query(std::string rest)
    {
        id_ = take_field(rest);
        auto const text = rest;
        auto word = take_field(rest);
        if (word == "AFTER")
        {
            // Every server has all commits.
            take_field(rest);
            word = take_field(rest);
        }
        if (state_ == "E" && word != "COMMIT" && word != "ROLLBACK")
            return fail("MALFORMED");
        if (word == "BEGIN")
            begin(rest);
        else if (word == "READ")
            read(rest);
        else if (word == "WRITE")
        {
            auto const item = take_field(rest);
            write(item, rest);
        }
        else if (word == "COMMIT")
            commit();
        else if (word == "ROLLBACK")
        {
            end_transaction();
            complete("-");
        }
        else if (word == "PREPARE")
        {
            auto const name = take_field(rest);
            prepared_[name] = take_field(rest) == "WRITE";
            complete("-");
        }
        else if (word == "EXECUTE")
            execute(rest);
        else if (word == "RESET")
        {
            prepared_.clear();
            complete("-");
        }
        else if (word == "STATUS")
        {
            auto const now = group_.now();
            stream_.send("ROW " +
                         std::string(group_.is_primary(server_) ? "primary"
                                                                : "replica") +
                         ' ' + std::to_string(now.term) + ' ' + now.str() +
                         " 0 0 0 1\r\n");
            complete("-");
        }
        else if (word == "SET" || word == "DEALLOCATE")
            complete("-");
        else
            fail("MALFORMED");
    }

    database_group& group_;
    std::string server_;
    stream& stream_;
    std::string id_;
    std::string state_ = "I";
    bool is_read_only_ = false;
    std::vector<database_group::write> writes_;
    std::map<std::string, bool> prepared_;
};

// A database server, which reports its status to the control plane.
class database_server
{
public:
    database_server(database_group& group,
                    std::string id,
                    std::string const& ip,
                    std::string zone,
                    std::vector<address> control)
        : group_(group), id_(std::move(id)), zone_(std::move(zone)),
          control_(std::move(control)),
          acceptor_(ip,
                    [this](stream& it)
                    { server_session(group_, id_, it).run(); }),
          beat_thread_([this] { beat(); })
    {
    }

    ~database_server()
    {
        is_stopping_ = true;
        beat_thread_.join();
    }

    [[nodiscard]] std::string const& id() const
    {
        return id_;
    }

private:
    void beat()
    {
        constexpr int interval_ms = 1200;
        constexpr int step_ms = 50;
        auto const born =
            std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
        std::uint64_t sequence = 0;
        std::string last_role;
        int left_ms = 0;
        while (!is_stopping_)
        {
            std::string const role =
                group_.is_primary(id_) ? "primary" : "replica";
            if (left_ms <= 0 || role != last_role)
            {
                std::ostringstream body;
                body << "{\"service\":\"" << group_.service()
                     << "\",\"address\":\"" << acceptor_.where().str()
                     << "\",\"zone\":\"" << zone_
                     << "\",\"version\":\"v1\",\"capacity\":3,\"state\":"
                        "\"ready\",\"cold_remaining_ms\":0,\"db_role\":\""
                     << role << "\",\"sequence\":" << ++sequence
                     << ",\"born\":" << born << '}';
                auto const answer =
                    call_control(control_, "POST",
                                 "/Instances.Heartbeat/" + id_, body.str());
                left_ms = answer && answer->status() == 200 ? interval_ms : 200;
                if (answer && answer->status() == 200)
                    last_role = role;
            }
            pause_for(step_ms);
            left_ms -= step_ms;
        }
    }

    database_group& group_;
    std::string id_;
    std::string zone_;
    std::vector<address> control_;
    std::atomic<bool> is_stopping_ = false;
    acceptor acceptor_;
    std::thread beat_thread_;
};

// The provider: makes another server the primary.
class provider
{
public:
    explicit provider(recorder& record)
        : record_(record),
          acceptor_("127.0.0.1", [this](stream& it) { serve(it); })
    {
    }

    void add(database_group& group)
    {
        std::lock_guard const guard(mutex_);
        groups_[group.service()] = &group;
    }

    [[nodiscard]] address const& where() const
    {
        return acceptor_.where();
    }

private:
    void serve(stream& from)
    {
        while (auto const it = read_http(from, -1))
        {
            auto const service = text_field(it->body, "service");
            auto const id = text_field(it->body, "id");
            auto const token =
                std::stoull(it->headers.at("Basilreach-Fencing-Token"));
            bool is_accepted = false;
            {
                std::lock_guard const guard(mutex_);
                auto const group = groups_.find(service);
                is_accepted =
                    group != groups_.end() && token >= tokens_[service];
                if (is_accepted)
                {
                    tokens_[service] = token;
                    group->second->promote(id);
                }
            }
            record_.write("provider", "failover " + service + ' ' + id +
                                          " token " + std::to_string(token) +
                                          (is_accepted ? " 200" : " 409"));
            from.send(std::string("HTTP/1.1 ") +
                      (is_accepted ? "200 OK" : "409 Conflict") +
                      "\r\nContent-Length: 0\r\n\r\n");
        }
    }

    recorder& record_;
    std::mutex mutex_;
    std::map<std::string, database_group*> groups_;
    std::map<std::string, std::uint64_t> tokens_;
    acceptor acceptor_;
};

// A session of a client.
class client
{
public:
    struct answer
    {
        std::vector<std::string> rows;
        // COMPLETE or ERROR with their fields, or empty if none came.
        std::string outcome;
        // The state of the session, or empty if no READY came.
        std::string state;
    };

    client(std::string name, recorder& record)
        : name_(std::move(name)), record_(record)
    {
    }

    bool open(address const& to,
              std::string const& database,
              std::string const& key,
              int window_bytes = 0)
    {
        if (!stream_.connect(to, window_bytes))
            return false;
        stream_.send("STARTUP " + database + ' ' + key + "\r\n");
        auto const line = stream_.read_line(2000);
        record_.write(name_, "STARTUP " + database + " -> " +
                                 line.value_or("no answer"));
        return line && line->starts_with("READY");
    }

    void limit_bandwidth(int mbit_per_s)
    {
        stream_.limit_bandwidth(mbit_per_s);
    }

    void send(std::string const& id, std::string const& text)
    {
        record_.write(name_, "sends " + id + ' ' + text);
        stream_.send("QUERY " + id + ' ' + text + "\r\n");
    }

    answer receive(int timeout_ms = 5000)
    {
        answer out;
        while (auto const line = stream_.read_line(timeout_ms))
        {
            record_.write(
                name_,
                "gets " + line->substr(0, shown_bytes) +
                    (line->size() > shown_bytes
                         ? "... (" + std::to_string(line->size()) + " bytes)"
                         : ""));
            if (line->starts_with("ROW "))
                out.rows.push_back(line->substr(4));
            else if (line->starts_with("READY "))
            {
                out.state = line->substr(6, 1);
                return out;
            }
            else
                out.outcome = *line;
        }
        record_.write(name_, "gets no further answer");
        return out;
    }

    answer query(std::string const& id, std::string const& text)
    {
        send(id, text);
        return receive();
    }

    void close()
    {
        stream_.close();
    }

private:
    static constexpr std::size_t shown_bytes = 80;

    std::string name_;
    recorder& record_;
    stream stream_;
};

// A desired state with one route and one tenant.
inline std::string
desired_state(int version, std::string const& service, std::string const& type)
{
    return "{\"version\":" + std::to_string(version) +
           ",\"routes\":[{\"name\":\"r1\",\"database\":\"shop\",\"path_"
           "prefix\":\"/\",\"type\":\"" +
           type +
           "\",\"timeout_ms\":2000,\"target_latency_ms\":250,\"priority\":1,"
           "\"service\":\"" +
           service +
           "\",\"max_attempts\":2,\"max_staleness_ms\":2500,\"public\":false}],"
           "\"services\":[{\"name\":\"" +
           service +
           "\",\"health_check_path\":\"/health\",\"max_connections\":23,"
           "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":0}],"
           "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
           "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
           "\"tx_idle_ms\":3000},\"tenants\":[{\"name\":\"tenant1\","
           "\"api_keys\":[\"key1\"],\"priority\":1,\"rate_per_s\":200,"
           "\"burst\":200}]}";
}

// A running small deployment with one database.
struct running_system
{
    explicit running_system(std::string const& repository,
                            std::string const& record_path,
                            std::string const& route_type,
                            int first_version = 1)
        : record(record_path), cloud(record), group("ledger", record),
          system(repository, cloud.where())
    {
        cloud.add(group);
        group.promote("db-1");
        for (int n = 1; n <= deployment::sites; ++n)
            servers.push_back(std::make_unique<database_server>(
                group, "db-" + std::to_string(n), system.server_ip(n),
                "zone-" + std::to_string(n), system.control()));
        system.start();
        is_accepted = put(desired_state(first_version, "ledger", route_type));
        is_ready = is_accepted && system.wait_until_ready(20000);
        // The servers and the connection shares become known.
        pause_for(3000);
    }

    bool put(std::string const& state)
    {
        for (int n = 0; n != 100; ++n)
        {
            auto const answer =
                call_control(system.control(), "POST", "/Config.Put", state);
            if (answer)
            {
                record.write("operator", "Config.Put -> " + answer->first_line);
                return answer->status() == 200;
            }
            pause_for(200);
        }
        return false;
    }

    recorder record;
    provider cloud;
    database_group group;
    deployment system;
    std::vector<std::unique_ptr<database_server>> servers;
    // Whether the first desired state was acknowledged, and whether the entry
    // hosts report that they are ready.
    bool is_accepted = false;
    bool is_ready = false;
};

} // namespace harness

#endif
