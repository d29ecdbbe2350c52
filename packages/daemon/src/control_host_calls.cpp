// Calls of the control API, by operators and servers.
#include <utility>

#include <basilreach/daemon/control_host.hpp>
#include <basilreach/messages/codec.hpp>

namespace basilreach::daemon
{

void control_host::call(std::uint64_t id, control_call const& it, instant now)
{
    now_ = now;
    if (leader_)
        return std::visit([this, id](auto const& body) { run_call(id, body); },
                          it);
    auto const address = address_of(leader_name());
    bool const is_known = !leader_name().empty() && leader_name() != self_;
    outputs_.answer_call(
        id, {is_known ? call_outcome::redirect : call_outcome::unavailable,
             {},
             is_known ? address.substr(0, address.rfind(':')) : std::string()});
}

void control_host::run_call(std::uint64_t id, put_rules const& it)
{
    if (auto const parsed = context_.rules(it.text); !parsed)
        return outputs_.answer_call(
            id, {call_outcome::invalid, parsed.error().lines.front(), {}});
    if (it.version <= state_->parts().rules_version)
        return outputs_.answer_call(id, {});
    commit_call(id, control::offer_rules{it.version, it.text});
}

void control_host::run_call(std::uint64_t id, get_rules const& /*it*/)
{
    auto const read = ++last_read_id_;
    pending_reads_[read] = {{0, id, true}, {}};
    run_step(member_->read(consensus::read_id{read}, now_));
}

void control_host::run_call(std::uint64_t id, report_server const& it)
{
    commit_call(id, monitor_->receive(it.report, now_));
}

void control_host::run_call(std::uint64_t id, deregister_server const& it)
{
    commit_call(id, monitor_->remove(it.server));
}

// Committed even if the state has this value already: it may be the value of a
// command that is not committed yet, or this host may no longer lead.
void control_host::run_call(std::uint64_t id, set_data_centre_service const& it)
{
    commit_call(
        id, control::set_data_centre_service{it.data_centre, it.in_service});
}

void control_host::commit_call(std::uint64_t id,
                               std::optional<control::command_body> const& it)
{
    if (!it)
        return outputs_.answer_call(id, {});
    queue_command({{}, "call", *it}, {0, id, true}, {});
}

} // namespace basilreach::daemon
