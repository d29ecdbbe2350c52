#include <basilreach/control/lease_holder.hpp>

#include <algorithm>
#include <utility>

namespace basilreach::control
{

// In the order of the alternatives of holder_input.
lease_holder::handler const lease_holder::handlers[] = {
    &lease_holder::on_grant,   &lease_holder::on_offer,
    &lease_holder::on_adopted, &lease_holder::on_acknowledged,
    &lease_holder::on_serving, &lease_holder::on_leader_changed,
    &lease_holder::on_stop};

lease_holder::lease_holder(daemon_name daemon,
                           data_centre_name data_centre,
                           std::uint64_t incarnation,
                           std::size_t threads,
                           lease_settings settings,
                           instant now,
                           std::string address)
    : daemon_(std::move(daemon)), data_centre_(std::move(data_centre)),
      address_(std::move(address)), incarnation_(incarnation),
      settings_(settings), adopted_by_thread_(threads, 0), next_renewal_(now)
{
    static_assert(std::size(handlers) == std::variant_size_v<holder_input>);
}

void lease_holder::receive(holder_input it)
{
    inbox_.push_back(std::move(it));
}

std::vector<holder_output> lease_holder::tick(instant now)
{
    for (auto const& it : std::exchange(inbox_, {}))
        (this->*handlers[it.index()])(it);
    send_due_renewal(now);
    return std::exchange(out_, {});
}

instant lease_holder::next_deadline() const
{
    if (!inbox_.empty())
        return instant::min();
    return stopped_ ? never : next_renewal_;
}

void lease_holder::on_grant(holder_input const& it)
{
    auto const& grant = std::get<grant_lease>(it);
    // A grant extends the lease only if it is the first answer to a renewal of
    // this incarnation.
    if (stopped_ || grant.daemon != daemon_ ||
        grant.incarnation != incarnation_ ||
        sent_renewals_.erase(grant.echo) == 0)
        return;
    is_answered_ = true;
    // Grants may arrive in a different order than the renewals were sent.
    if (grant.echo + grant.lease <= valid_until_ || grant.lease.count() <= 0)
        return;
    valid_until_ = grant.echo + grant.lease;
    out_.emplace_back(lease_updated{valid_until_});
}

void lease_holder::on_offer(holder_input const& it)
{
    auto const revision = std::get<state_offered>(it).revision;
    if (revision < published_revision_)
    {
        out_.emplace_back(state_refused{revision, published_revision_});
        return;
    }
    if (revision == published_revision_)
        return;
    published_revision_ = revision;
    out_.emplace_back(adopt_state{revision});
}

void lease_holder::on_adopted(holder_input const& it)
{
    auto const& adoption = std::get<state_adopted>(it);
    if (adoption.thread >= adopted_by_thread_.size())
        return;
    auto& revision = adopted_by_thread_[adoption.thread];
    revision =
        std::max(revision, std::min(adoption.revision, published_revision_));
    auto const confirmed =
        *std::min_element(adopted_by_thread_.begin(), adopted_by_thread_.end());
    if (confirmed <= confirmed_revision_)
        return;
    confirmed_revision_ = confirmed;
    // The leader waits for this confirmation, so the next renewal is sent at
    // once.
    next_renewal_ = instant::min();
}

void lease_holder::on_acknowledged(holder_input const& it)
{
    auto const& write = std::get<write_acknowledged>(it);
    auto& position = acknowledged_[write.group];
    position = std::max(position, write.position);
}

void lease_holder::on_serving(holder_input const& it)
{
    acknowledged_.erase(std::get<group_serving>(it).group);
}

void lease_holder::on_leader_changed(holder_input const&)
{
    is_answered_ = false;
    if (last_renewal_ != instant::min())
        next_renewal_ =
            std::min(next_renewal_, last_renewal_ + settings_.min_interval);
}

void lease_holder::on_stop(holder_input const&)
{
    if (stopped_)
        return;
    stopped_ = true;
    valid_until_ = instant::min();
    out_.emplace_back(lease_updated{valid_until_});
    out_.emplace_back(lease_returned{daemon_, incarnation_});
}

void lease_holder::send_due_renewal(instant now)
{
    if (stopped_ || now < next_renewal_)
        return;
    // The lease of a grant for such an old renewal would already have ended.
    sent_renewals_.erase(sent_renewals_.begin(),
                         sent_renewals_.upper_bound(now - settings_.lease));
    sent_renewals_.insert(now);
    last_renewal_ = now;
    out_.emplace_back(lease_renewal{daemon_, data_centre_, incarnation_, now,
                                    confirmed_revision_, acknowledged_,
                                    address_});
    next_renewal_ =
        now + (valid_until_ > now && is_answered_ ? settings_.renewal
                                                  : settings_.retry);
}

} // namespace basilreach::control
