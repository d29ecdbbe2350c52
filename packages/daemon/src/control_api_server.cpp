#include <basilreach/daemon/control_api_server.hpp>

#include <chrono>
#include <utility>

namespace basilreach::daemon
{

namespace
{

// Operators and servers try another host after a second without an answer.
// Shortly before, they get call_outcome::unavailable from this one.
constexpr duration call_timeout = std::chrono::milliseconds(900);

constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr int http_unavailable = 503;

} // namespace

control_api_server::control_api_server(event_loop& loop,
                                       control_api_codec const& calls,
                                       runner run,
                                       std::function<bool()> is_ready)
    : calls_(calls), run_(std::move(run)), is_ready_(std::move(is_ready)),
      call_server_(loop,
                   [this](exchange_id id, http_request it)
                   { received_requests_.emplace_back(id, std::move(it)); }),
      readiness_server_(loop,
                        [this](exchange_id id, http_request const& it)
                        { check_readiness(id, it); })
{
}

bool control_api_server::listen(std::string const& calls,
                                std::string const& readiness)
{
    return (calls.empty() || call_server_.listen(calls)) &&
           (readiness.empty() || readiness_server_.listen(readiness));
}

void control_api_server::check_readiness(exchange_id exchange,
                                         http_request const& it)
{
    auto status = http_not_found;
    if (calls_.is_readiness_check(it))
        status = is_ready_() ? http_ok : http_unavailable;
    readiness_server_.respond(exchange, {status, {}, {}});
}

void control_api_server::receive(exchange_id exchange, http_request it)
{
    auto read = calls_.decode_call(it);
    if (auto const* response = std::get_if<http_response>(&read))
        return call_server_.respond(exchange, *response);
    auto const id = ++last_id_;
    auto& row = pending_calls_[id];
    row = {exchange, std::move(it), std::move(std::get<control_call>(read))};
    deadlines_.set(id, read_clock() + call_timeout);
    run_(id, row.call);
}

void control_api_server::answer(std::uint64_t id, call_answer it)
{
    answers_.emplace_back(id, std::move(it));
}

void control_api_server::respond(std::uint64_t id, call_answer const& it)
{
    auto const found = pending_calls_.find(id);
    if (found == pending_calls_.end())
        return;
    auto const row = std::move(found->second);
    pending_calls_.erase(found);
    deadlines_.erase(id);
    call_server_.respond(row.exchange,
                         calls_.encode_answer(row.request, row.call, it,
                                              call_server_.address()));
}

void control_api_server::tick(instant now)
{
    for (auto& [exchange, request] : std::exchange(received_requests_, {}))
        receive(exchange, std::move(request));
    while (auto const id = deadlines_.pop_due(now))
        respond(*id, {call_outcome::unavailable, {}, {}});
    for (auto const& [id, it] : std::exchange(answers_, {}))
        respond(id, it);
    call_server_.remove_closed();
    readiness_server_.remove_closed();
}

instant control_api_server::next_deadline() const
{
    if (!received_requests_.empty() || !answers_.empty())
        return instant::min();
    return deadlines_.next();
}

} // namespace basilreach::daemon
