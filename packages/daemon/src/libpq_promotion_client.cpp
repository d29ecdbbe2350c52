#include <basilreach/daemon/libpq_promotion_client.hpp>

#include <chrono>
#include <utility>

namespace basilreach::daemon
{

namespace
{

// A server that does not answer within this time is asked anew.
constexpr duration question_timeout = std::chrono::seconds(1);

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
    std::function<void(control::leader_input)> answered)
    : loop_(loop), settings_(settings), credential_(credential),
      answered_(std::move(answered))
{
}

void libpq_promotion_client::query_position(server_name const& server,
                                            control::server_entry const& entry,
                                            std::uint64_t round)
{
    statement question;
    question.text = settings_.positions_query;
    ask(entry.address, std::move(question),
        [this, server, round](libpq_answer const& it)
        {
            if (it.position)
                answered_(control::position_reported{
                    server, round, it.position->term, it.position->offset});
        });
}

void libpq_promotion_client::promote(control::promote const& order,
                                     control::server_entry const& entry)
{
    statement question;
    question.text =
        "SELECT basilreach.promote(" + std::to_string(order.term) + ")";
    ask(entry.address, std::move(question),
        [this, order](libpq_answer const& it)
        {
            answered_(control::promotion_answered{order.server, order.term,
                                                  is_success(it)});
        });
}

void libpq_promotion_client::ask(std::string const& address,
                                 statement question,
                                 reply on_answer)
{
    auto const id = ++last_id_;
    libpq_observer it;
    it.opened = [this, id, question = std::move(question)]
    {
        questions_.at(id)->send(question, false);
    };
    it.lost = [this, id]
    {
        end(id);
    };
    it.position_read = [](std::optional<log_position> /*position*/) {
    };
    it.answered = [this, id, on_answer = std::move(on_answer)](libpq_answer a)
    {
        on_answer(a);
        end(id);
    };
    auto const& connection =
        questions_
            .emplace(id, std::make_unique<libpq_connection>(
                             loop_, settings_, credential_, std::move(it)))
            .first->second;
    deadlines_.set(id, read_clock() + question_timeout);
    connection->open({address, false});
}

void libpq_promotion_client::end(std::uint64_t id)
{
    ended_.push_back(id);
}

void libpq_promotion_client::tick(instant now)
{
    while (auto const id = deadlines_.pop_due(now))
        end(*id);
    for (auto const id : std::exchange(ended_, {}))
    {
        deadlines_.erase(id);
        questions_.erase(id);
    }
}

} // namespace basilreach::daemon
