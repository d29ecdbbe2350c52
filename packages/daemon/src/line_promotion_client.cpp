#include <basilreach/daemon/line_promotion_client.hpp>

#include <chrono>
#include <utility>

#include <easylogging++.h>

namespace basilreach::daemon
{

namespace
{

// A server or service that does not answer within this time is asked anew.
constexpr duration question_timeout = std::chrono::seconds(1);

constexpr int http_ok = 200;
constexpr int http_conflict = 409;

} // namespace

line_promotion_client::line_promotion_client(
    event_loop& loop,
    settings::daemon_settings const& settings,
    deployment_adapter const& adapter,
    input_handler answered)
    : loop_(loop), settings_(settings), adapter_(adapter),
      answered_(std::move(answered))
{
}

line_promotion_client::question& line_promotion_client::insert()
{
    auto const id = ++last_id_;
    deadlines_.set(id, read_clock() + question_timeout);
    return rows_[id];
}

void line_promotion_client::end_unanswered(std::uint64_t id,
                                           server_name const& server,
                                           char const* cause)
{
    LOG(INFO) << "event=position_unanswered server=" << server.str()
              << " cause=" << cause;
    end(id);
}

void line_promotion_client::end(std::uint64_t id)
{
    ended_.push_back(id);
}

void line_promotion_client::query_position(server_name const& server,
                                           control::server_entry const& entry,
                                           std::uint64_t round)
{
    auto& asked = insert();
    auto const id = last_id_;
    server_observer it;
    it.opened = [this, id, server, round]
    {
        rows_.at(id).position->query_status(
            [this, id, server, round](row_message const& status)
            {
                auto const position = adapter_.codec->read_status(status);
                if (!position)
                    return end_unanswered(id, server, "busy");
                answered_(control::position_reported{
                    server, round, position->term, position->offset});
                end(id);
            });
    };
    it.lost = [this, id, server]
    {
        end_unanswered(id, server, "connection_lost");
    };
    asked.position = std::make_unique<line_server_connection>(
        loop_, *adapter_.codec, std::move(it));
    asked.position->open({{},
                          server,
                          entry.address,
                          entry.group,
                          workspace_name(settings_.name.str()),
                          true});
}

void line_promotion_client::promote(control::promote const& order,
                                    control::server_entry const& /*entry*/)
{
    if (!settings_.promotion_service)
        return;
    auto& asked = insert();
    auto const id = last_id_;
    LOG(INFO) << "event=promotion_ordered group=" << order.group.str()
              << " server=" << order.server.str() << " term=" << order.term;
    asked.order = std::make_unique<http_client>(
        loop_,
        [this, id, order](std::optional<http_response> it)
        {
            LOG(INFO) << "event=promotion_answered group=" << order.group.str()
                      << " server=" << order.server.str()
                      << " term=" << order.term
                      << " status=" << (it ? it->status : 0);
            // Anything but a clear answer leaves open whether the order is
            // carried out.
            if (it && (it->status == http_ok || it->status == http_conflict))
                answered_(control::promotion_answered{order.server, order.term,
                                                      it->status == http_ok});
            end(id);
        });
    asked.order->start(*settings_.promotion_service,
                       adapter_.calls->encode_promotion(order, settings_.name));
}

void line_promotion_client::tick(instant now)
{
    while (auto const id = deadlines_.pop_due(now))
        end(*id);
    for (auto const id : std::exchange(ended_, {}))
    {
        deadlines_.erase(id);
        rows_.erase(id);
    }
}

} // namespace basilreach::daemon
