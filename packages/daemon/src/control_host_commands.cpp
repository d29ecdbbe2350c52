// Commands and reads that operators, servers and the leader's own decisions ask
// for: their proposal in batches, and the answers to them.
#include <utility>

#include <basilreach/daemon/control_host.hpp>
#include <basilreach/messages/codec.hpp>

#include "admin_replies.hpp"

namespace basilreach::daemon
{

namespace
{

// Limits of the commands that are proposed together, which keep a batch below
// the size of one append message.
constexpr std::size_t max_batch_commands = 256;
constexpr std::size_t max_batch_bytes = std::size_t{256} << 10U;

} // namespace

void control_host::answer(requester const& to, messages::admin_reply reply)
{
    reply.id = to.id;
    outputs_.send_to_link(to.link, reply);
}

// Runs the step of a console's request. A refused step is answered at once, an
// accepted one when its entry is applied.
void control_host::run_step_for(requester const& to,
                                consensus::step_result step,
                                messages::admin_reply refusal)
{
    if (step.accepted)
        pending_proposals_[{step.accepted->index, step.accepted->term}] = to;
    else
        answer(to, std::move(refusal));
    run_step(std::move(step));
}

void control_host::on_admin_request(link_id from, messages::message const& it)
{
    if (redirect(from))
        return;
    auto const& request = std::get<messages::admin_request>(it);
    requester const to{from, request.id};
    auto const parsed = admin::parse_command(request.text);
    if (!parsed)
        return answer(to,
                      make_error("42601", admin::to_string(parsed.error())));
    if (auto const entry = to_control_command(parsed.value()))
        return queue_command(
            *entry, to,
            make_error("57P03",
                       "the control host cannot accept the change now"));
    if (auto const* add = std::get_if<admin::add_control_host>(&parsed.value()))
        return run_step_for(
            to,
            member_->add_learner(
                make_host_name({add->host, add->address, add->data_centre}),
                now_),
            make_error("55000", "the membership cannot change now"));
    if (auto const* remove =
            std::get_if<admin::remove_control_host>(&parsed.value()))
    {
        consensus::host_name target;
        for (auto const& host : member_->members().voters)
            if (host.str().starts_with(remove->host.str() + '='))
                target = host;
        return run_step_for(
            to, member_->remove(target, now_),
            make_error("55000", "the membership cannot change now"));
    }
    // The other commands read the state. The read is confirmed by a majority,
    // so that it is not stale.
    auto const id = ++last_read_id_;
    pending_reads_[id] = {to, request.text};
    run_step(member_->read(consensus::read_id{id}, now_));
}

void control_host::answer_read(consensus::read_outcome const& it)
{
    auto const found = pending_reads_.find(static_cast<std::uint64_t>(it.id));
    if (found == pending_reads_.end())
        return;
    auto const read = std::move(found->second);
    pending_reads_.erase(found);
    if (read.from.is_call)
    {
        bool const can_answer =
            it.confirmed && state_->parts().rules_version > 0;
        return outputs_.answer_call(
            read.from.id,
            {can_answer ? call_outcome::done : call_outcome::unavailable,
             can_answer ? state_->parts().rules_text : std::string(),
             {}});
    }
    if (!it.confirmed)
        return answer(read.from, make_error("57P03", "the leader changed"));
    auto const parsed = admin::parse_command(read.text);
    auto const* show = std::get_if<admin::show>(&parsed.value());
    if (show == nullptr)
        return answer(read.from, make_error("0A000", "not supported here"));
    if (show->subject == admin::show_subject::rules)
        return answer(read.from, make_reply(encode(show_rules(*state_))));
    if (show->subject == admin::show_subject::history)
        return answer(read.from, make_reply(encode(show_history(*state_))));
    auto rows = show_status(*state_);
    rows.push_back({"control", "leader", "name", self_.str()});
    for (auto const& host : member_->members().voters)
        rows.push_back({"control_host", host.str(), "role", "voter"});
    for (auto const& host : member_->members().learners)
        rows.push_back({"control_host", host.str(), "role", "learner"});
    rows.push_back(
        {"control", "state", "in_force",
         std::to_string(leader_ ? leader_->revision_in_force() : 0)});
    answer(read.from, make_reply(encode(rows)));
}

void control_host::queue_command(control::command const& it)
{
    queued_commands_.push_back({messages::encode_command(it), {}, {}});
}

void control_host::queue_command(control::command const& it,
                                 requester const& from,
                                 messages::admin_reply refusal)
{
    queued_commands_.push_back(
        {messages::encode_command(it), from, std::move(refusal)});
}

// Proposes the queued commands in batches. With a step for each command, the
// registration of 195 daemons took a leader of 0.3 cores longer than an
// election timeout: each was synced alone and distributed to all daemons.
void control_host::propose_queued()
{
    std::vector<queued_command> batch;
    std::size_t bytes = 0;
    for (auto& it : std::exchange(queued_commands_, {}))
    {
        bool const is_full = batch.size() == max_batch_commands ||
                             bytes + it.payload.size() > max_batch_bytes;
        if (!batch.empty() && is_full)
        {
            propose_batch(std::exchange(batch, {}));
            bytes = 0;
        }
        bytes += it.payload.size();
        batch.push_back(std::move(it));
    }
    if (!batch.empty())
        propose_batch(std::move(batch));
}

void control_host::propose_batch(std::vector<queued_command> batch)
{
    std::vector<consensus::entry_payload> payloads;
    payloads.reserve(batch.size());
    for (auto& it : batch)
        payloads.push_back(std::move(it.payload));
    auto step = member_->propose(std::move(payloads), now_);
    for (std::size_t n = 0; n != batch.size(); ++n)
    {
        if (!batch[n].from)
            continue;
        if (step.accepted)
            pending_proposals_[{step.accepted->index + n,
                                step.accepted->term}] = *batch[n].from;
        else
            refuse(*batch[n].from, std::move(batch[n].refusal));
    }
    run_step(std::move(step));
}

void control_host::refuse(requester const& to, messages::admin_reply reply)
{
    if (to.is_call)
        outputs_.answer_call(to.id, {call_outcome::unavailable, {}, {}});
    else
        answer(to, std::move(reply));
}

// The next leader may still commit an accepted proposal, so the sender learns
// its answer only by sending it again under the same id.
void control_host::refuse_pending()
{
    messages::not_leader const refusal{daemon_name(leader_name().str())};
    auto const refuse = [&](requester const& to)
    {
        if (to.is_call)
            outputs_.answer_call(to.id, {call_outcome::unavailable, {}, {}});
        else
            outputs_.send_to_link(to.link, refusal);
    };
    for (auto const& [position, to] : std::exchange(pending_proposals_, {}))
        refuse(to);
    for (auto const& [id, read] : std::exchange(pending_reads_, {}))
        refuse(read.from);
}

} // namespace basilreach::daemon
