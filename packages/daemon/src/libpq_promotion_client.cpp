#include <basilreach/daemon/libpq_promotion_client.hpp>

#include <chrono>
#include <utility>

namespace basilreach::daemon
{

namespace
{

// A request without an answer is dropped after this time; the leader makes a
// new one.
constexpr duration answer_timeout = std::chrono::seconds(1);

bool is_success(libpq_answer const& it)
{
    auto const status = PQresultStatus(it.result.get());
    return status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK;
}

} // namespace

libpq_promotion_client::libpq_promotion_client(
    event_loop& loop,
    settings::daemon_settings const& settings,
    settings::backend_credential const& credential,
    std::function<void(control::leader_input)> on_input)
    : loop_(loop), settings_(settings), credential_(credential),
      on_input_(std::move(on_input))
{
}

void libpq_promotion_client::query_position(server_name const& server,
                                            control::server_entry const& entry,
                                            std::uint64_t round)
{
    statement query;
    query.text = settings_.positions_query;
    send_query(
        entry.address, std::move(query),
        [this, server, round](libpq_answer const& it)
        {
            if (it.position)
                on_input_(control::position_reported{
                    server, round, it.position->term, it.position->offset});
        });
}

void libpq_promotion_client::promote(control::promote const& promotion,
                                     control::server_entry const& entry)
{
    statement query;
    query.text =
        "SELECT basilreach.promote(" + std::to_string(promotion.term) + ")";
    send_query(entry.address, std::move(query),
               [this, promotion](libpq_answer const& it)
               {
                   on_input_(control::promotion_answered{
                       promotion.server, promotion.term, is_success(it)});
               });
}

void libpq_promotion_client::send_query(std::string const& address,
                                        statement query,
                                        reply on_answer)
{
    auto const id = ++last_id_;
    libpq_observer it;
    it.opened = [this, id, query = std::move(query)]
    {
        requests_.at(id)->send(query, false);
    };
    it.lost = [this, id]
    {
        finish_request(id);
    };
    it.position_read = [](std::optional<log_position> /*position*/) {
    };
    it.answered = [this, id, on_answer = std::move(on_answer)](libpq_answer a)
    {
        on_answer(a);
        finish_request(id);
    };
    auto const& connection =
        requests_
            .emplace(id, std::make_unique<libpq_connection>(
                             loop_, settings_, credential_, std::move(it)))
            .first->second;
    deadlines_.set(id, read_clock() + answer_timeout);
    connection->open({address, false});
}

void libpq_promotion_client::finish_request(std::uint64_t id)
{
    finished_.push_back(id);
}

void libpq_promotion_client::tick(instant now)
{
    while (auto const id = deadlines_.pop_due(now))
        finish_request(*id);
    for (auto const id : std::exchange(finished_, {}))
    {
        deadlines_.erase(id);
        requests_.erase(id);
    }
}

} // namespace basilreach::daemon
