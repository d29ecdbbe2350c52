#include "client.hpp"

namespace review
{

client_session::client_session(std::string name,
                               std::string const& address,
                               std::string const& database,
                               std::string const& key,
                               record& log)
    : name_(std::move(name)), log_(log), peer_(address)
{
    constexpr double start_limit_ms = 2000;
    peer_.send("STARTUP " + database + ' ' + key + "\r\n");
    auto const greeting = peer_.read_line(start_limit_ms);
    is_open_ = greeting && greeting->starts_with("READY ");
    if (!is_open_)
        log_.write(name_ + " startup " + greeting.value_or("no answer"));
}

client_answer client_session::run(std::string const& text, double timeout_ms)
{
    client_answer out;
    out.id = name_ + '.' + std::to_string(++last_id_);
    out.sent_ms = now_ms();
    log_.write("sent id=" + out.id + ' ' + text);
    peer_.send("QUERY " + out.id + ' ' + text + "\r\n");
    while (auto line = peer_.read_line(timeout_ms))
    {
        auto rest = *line;
        auto const kind = extract_field(rest);
        if (kind == "ROW")
            out.rows.push_back(rest);
        else if (kind == "COMPLETE")
            out.proof = rest;
        else if (kind == "ERROR")
            out.error = rest;
        else if (kind == "READY")
        {
            out.state = rest.substr(0, 1);
            break;
        }
    }
    out.received_ms = now_ms();
    out.is_cut = out.state.empty() && peer_.has_ended();
    is_open_ = !out.state.empty();
    log_.write("answered id=" + out.id +
               " rows=" + (out.rows.empty() ? "" : out.rows.front()) +
               " proof=" + out.proof + " error=" + out.error +
               " state=" + out.state + (out.is_cut ? " CUT" : ""));
    return out;
}

} // namespace review
