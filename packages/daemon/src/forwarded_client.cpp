#include <basilreach/daemon/forwarded_client.hpp>

#include <utility>

namespace basilreach::daemon
{

namespace
{

using traffic::refusal_outcome;
using traffic::refusal_reason;

} // namespace

forwarded_client::forwarded_client(std::uint64_t sender_session,
                                   forwarded_statement const& first,
                                   callbacks calls)
    : sender_session_(sender_session), calls_(std::move(calls)),
      identity_(first.identity), positions_(first.positions)
{
}

void forwarded_client::begin(std::uint64_t request, forwarded_statement it)
{
    request_ = request;
    current_ = std::move(it.command);
    variables_ = std::move(it.variables);
    submitted_at_ = read_clock();
}

void forwarded_client::abandon()
{
    request_ = 0;
    finish();
}

void forwarded_client::attach(client_owner const& owner)
{
    owner_ = &owner;
}

void forwarded_client::detach()
{
    owner_ = nullptr;
}

void forwarded_client::start_session(std::uint64_t session)
{
    session_ = session;
}

void forwarded_client::relay(std::optional<group_position> const& /*position*/)
{
    if (!is_busy())
        return;
    if (!answer_)
        return refuse({traffic::session_id{session_}, refusal_outcome::unknown,
                       refusal_reason::connection_lost});
    auto const answer = std::move(answer_);
    auto const request = std::exchange(request_, 0);
    has_transaction_ =
        answer->ready.status != traffic::transaction_status::idle;
    calls_.reply(make_forward_answer(sender_session_, request, *answer));
    if (!has_transaction_)
        finish();
}

// A refusal also ends the transaction, since the engine rolls it back.
void forwarded_client::refuse(traffic::refuse const& it)
{
    if (!is_busy())
        return;
    auto const request = std::exchange(request_, 0);
    calls_.reply(make_forward_refusal(sender_session_, request, it));
    finish();
}

// Called while the engine has no statement of the session. One that has just
// arrived is ignored by the engine, so it is not run.
void forwarded_client::end(traffic::refusal_reason reason)
{
    if (is_busy())
        return refuse(
            {traffic::session_id{session_}, refusal_outcome::not_run,
             has_transaction_ ? refusal_reason::transaction_lost : reason,
             reason == refusal_reason::key_withdrawn});
    abort_transaction();
}

void forwarded_client::abort_transaction()
{
    if (is_finished_)
        return;
    if (has_transaction_ && !is_busy())
        calls_.reply(messages::forward_lost{sender_session_});
    // The engine refuses a statement that has just arrived.
    if (!is_busy())
        finish();
}

void forwarded_client::send_console_reply(
    messages::admin_reply const& /*reply*/)
{
}

void forwarded_client::store_answer(std::unique_ptr<answer_payload> answer)
{
    answer_.reset(static_cast<line_answer*>(answer.release()));
}

void forwarded_client::finish()
{
    if (std::exchange(is_finished_, true))
        return;
    calls_.finished(*this);
    owner_->closed(*this);
}

} // namespace basilreach::daemon
