#include <basilreach/daemon/line_promotion_client.hpp>

#include <chrono>
#include <utility>

#include <easylogging++.h>

namespace basilreach::daemon
{

namespace
{

// Time after which an unanswered request is given up. The leader then sends a
// new one.
constexpr duration answer_timeout = std::chrono::seconds(1);

constexpr int http_ok = 200;
constexpr int http_conflict = 409;

} // namespace

line_promotion_client::line_promotion_client(
    event_loop& loop,
    settings::daemon_settings const& settings,
    deployment_adapter const& adapter,
    input_handler on_input)
    : loop_(loop), settings_(settings), adapter_(adapter),
      on_input_(std::move(on_input))
{
}

line_promotion_client::pending_request& line_promotion_client::add_request()
{
    auto const id = ++last_id_;
    deadlines_.set(id, read_clock() + answer_timeout);
    return requests_[id];
}

void line_promotion_client::finish_unanswered(std::uint64_t id,
                                              server_name const& server,
                                              char const* cause)
{
    LOG(INFO) << "event=position_unanswered server=" << server.str()
              << " cause=" << cause;
    finish_request(id);
}

void line_promotion_client::finish_request(std::uint64_t id)
{
    finished_.push_back(id);
}

void line_promotion_client::query_position(server_name const& server,
                                           control::server_entry const& entry,
                                           std::uint64_t round)
{
    auto& request = add_request();
    auto const id = last_id_;
    server_observer it;
    it.opened = [this, id, server, round]
    {
        requests_.at(id).position->query_status(
            [this, id, server, round](row_message const& status)
            {
                auto const position = adapter_.codec->read_status(status);
                if (!position)
                    return finish_unanswered(id, server, "busy");
                on_input_(control::position_reported{
                    server, round, position->term, position->offset});
                finish_request(id);
            });
    };
    it.lost = [this, id, server]
    {
        finish_unanswered(id, server, "connection_lost");
    };
    request.position = std::make_unique<line_server_connection>(
        loop_, *adapter_.codec, std::move(it));
    request.position->open({{},
                            server,
                            entry.address,
                            entry.group,
                            workspace_name(settings_.name.str()),
                            true});
}

void line_promotion_client::promote(control::promote const& promotion,
                                    control::server_entry const& /*entry*/)
{
    if (!settings_.promotion_service)
        return;
    auto& request = add_request();
    auto const id = last_id_;
    LOG(INFO) << "event=promotion_ordered group=" << promotion.group.str()
              << " server=" << promotion.server.str()
              << " term=" << promotion.term;
    request.promotion = std::make_unique<http_client>(
        loop_,
        [this, id, promotion](std::optional<http_response> it)
        {
            LOG(INFO) << "event=promotion_answered group="
                      << promotion.group.str()
                      << " server=" << promotion.server.str()
                      << " term=" << promotion.term
                      << " status=" << (it ? it->status : 0);
            // Any other status, or no answer, leaves it unknown whether the
            // promotion takes place, so nothing is reported.
            if (it && (it->status == http_ok || it->status == http_conflict))
                on_input_(control::promotion_answered{
                    promotion.server, promotion.term, it->status == http_ok});
            finish_request(id);
        });
    request.promotion->start(
        *settings_.promotion_service,
        adapter_.calls->encode_promotion(promotion, settings_.name));
}

void line_promotion_client::tick(instant now)
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
