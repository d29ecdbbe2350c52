#include "forwarded_connection.hpp"

#include <utility>

namespace basilreach::daemon
{

forwarded_connection::forwarded_connection(forward_links& links,
                                           server_observer observer)
    : links_(links), observer_(std::move(observer))
{
}

void forwarded_connection::open(traffic::open_connection const& target)
{
    holder_ = *target.holder;
    address_ = target.address;
}

void forwarded_connection::send(client_connection const& client,
                                send_options const& options)
{
    auto const message = make_forward_statement(
        static_cast<line_client const&>(client), *options.forwarding);
    session_ = message.session;
    request_ = message.request;
    if (!links_.send(*this, message))
        report_undelivered();
}

void forwarded_connection::query_position(bool /*verify_primary*/)
{
}

void forwarded_connection::close()
{
    links_.release(*this, request_ != 0 || has_transaction_);
    request_ = 0;
    has_transaction_ = false;
}

void forwarded_connection::answer(messages::forward_answer const& it)
{
    auto out = read_answer(it);
    if (!out)
    {
        close();
        return observer_.lost();
    }
    request_ = 0;
    has_transaction_ = out->summary.status != traffic::transaction_status::idle;
    if (!has_transaction_)
        links_.release(*this, false);
    observer_.answered(std::move(*out));
}

void forwarded_connection::refuse(messages::forward_refusal const& it)
{
    auto const refusal = read_refusal(it);
    request_ = 0;
    has_transaction_ = false;
    links_.release(*this, false);
    if (!refusal)
        return observer_.lost();
    observer_.refused({{},
                       refusal->outcome,
                       refusal->reason,
                       false,
                       refusal->close_session,
                       refusal->retry_after});
}

void forwarded_connection::lose_transaction()
{
    has_transaction_ = false;
    links_.release(*this, false);
    observer_.lost();
}

void forwarded_connection::end(bool is_undelivered)
{
    has_transaction_ = false;
    if (std::exchange(request_, 0) != 0 && is_undelivered)
        return report_undelivered();
    observer_.lost();
}

void forwarded_connection::report_undelivered()
{
    request_ = 0;
    traffic::forward_refused out;
    out.is_undelivered = true;
    observer_.refused(out);
}

} // namespace basilreach::daemon
