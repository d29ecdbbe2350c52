#include <basilreach/messages/codec.hpp>

#include <doctest/doctest.h>

#include <array>
#include <random>

using namespace basilreach;
using namespace basilreach::messages;

namespace
{

control::control_parts example_control_parts()
{
    control::control_parts parts;
    parts.revision = 9;
    parts.rules_version = 2;
    parts.rules_id = control::change_id("c2");
    parts.rules_text = "workspace w rate=1 burst=1 # asked by x";
    parts.withdrawn.insert(rules::key_digest{1, 2, 3});
    parts.daemons[daemon_name("d")] = {data_centre_name("a"), true};
    parts.daemons[daemon_name("e")] = {data_centre_name("a"), false,
                                       "127.0.0.1:1"};
    control::server_entry server;
    server.group = group_name("g");
    server.health = control::verdict::down;
    server.verdict_sequence = 4;
    server.incarnation = 5;
    server.role = control::server_role::replica;
    parts.servers[server_name("s")] = server;
    parts.groups[group_name("g")] = {3, control::group_phase::fencing,
                                     server_name("s"), 8};
    parts.groups[group_name("h")] = {};
    parts.data_centres[data_centre_name("a")] = {false};
    parts.data_centres[data_centre_name("b")] = {true};
    auto const add = [&parts](control::first_answer const& answer)
    {
        parts.history.push_back(
            {7, control::change_id("c"), "author", 5, answer, true});
    };
    add(control::accepted{1, 2});
    add(control::conflict{3, control::change_id("w")});
    add(control::superseded{4});
    add(control::refused{control::refusal_reason::invalid_rules, {"1:2: x"}});
    return parts;
}

std::vector<message> example_messages()
{
    control::lease_renewal renewal;
    renewal.daemon = daemon_name("d");
    renewal.sent_at = instant(duration(-5));
    renewal.acknowledged[group_name("g")] = {1, 2};
    renewal.address = "127.0.0.1:1";
    control::state_update update;
    update.after = 2;
    update.revision = 6;
    update.rules = control::rules_update{
        7, control::change_id("i"), 5, {{{1, 2, "text"}, {3, 4, ""}}}};
    auto const parts = example_control_parts();
    update.withdrawn = parts.withdrawn;
    update.servers = parts.servers;
    update.groups = parts.groups;
    update.data_centres = parts.data_centres;
    update.daemons = parts.daemons;
    update.has_all_daemons = true;
    admin_reply reply{1, "", "", "SHOW", {"a"}, {{{"x"}}, {{"y"}}}};
    limits::token_request tokens;
    tokens.last_grant = {1, 2};
    tokens.floor = {3, 4};
    limits::token_grant used_up;
    used_up.is_used_up = true;
    used_up.next_token = duration(9);
    limits::share_request shares;
    shares.server = server_name("s");
    shares.sequence = 2;
    shares.started = instant(duration(4));
    shares.last_grant = {5, 6};
    shares.share = 7;
    shares.open = 8;
    shares.wanted = 9;
    consensus::append_request append;
    append.entries.push_back(
        {1, 2, consensus::entry_kind::command, std::string("\0x", 2)});
    consensus::snapshot_chunk chunk;
    chunk.members.voters = {consensus::host_name("a")};
    chunk.bytes = std::string("\0\1", 2);
    forward_statement statement{1,
                                2,
                                3,
                                route_name("r"),
                                group_name("g"),
                                workspace_name("w"),
                                rules::key_digest{1, 2, 3},
                                log_position{4, 5},
                                duration(6),
                                duration(7),
                                8,
                                9,
                                10,
                                "id",
                                std::string("text\0x", 6),
                                "name",
                                "value",
                                {{"zone", "north"}},
                                forwarded_shape{true, "q"}};
    auto const peer = [](consensus::peer_message_body const& body)
    {
        return consensus::peer_message{consensus::host_name("a"),
                                       consensus::host_name("b"), 7, body};
    };
    return {renewal,
            control::lease_returned{daemon_name("d"), 2},
            control::grant_lease{},
            subscribe{daemon_name("d"), 3, 2, 1},
            update,
            not_leader{daemon_name("l")},
            admin_request{1, "SHOW STATUS"},
            reply,
            limit_requests{daemon_name("d"),
                           3,
                           instant(duration(5)),
                           {tokens, {}},
                           {},
                           {},
                           0,
                           0,
                           {}},
            limit_requests{daemon_name("d"),
                           3,
                           instant(duration(5)),
                           {},
                           limits::contact_report{daemon_name("d"), 3, 7,
                                                  instant(duration(6)), true},
                           {shares},
                           10,
                           11,
                           limits::share_renewal{daemon_name("d"), 3, 7,
                                                 instant(duration(5))}},
            limit_grants{daemon_name("d"),
                         3,
                         instant(duration(5)),
                         {used_up},
                         limits::contact_grant{daemon_name("d"),
                                               3,
                                               7,
                                               instant(duration(5)),
                                               duration(8),
                                               {workspace_name("w")},
                                               true},
                         {limits::share_grant{server_name("s"),
                                              {},
                                              0,
                                              limits::grant_id{5, 6},
                                              instant(duration(7)),
                                              duration(8),
                                              9,
                                              1}},
                         12,
                         limits::share_renewal_grant{daemon_name("d"), 3, 7,
                                                     instant(duration(8)),
                                                     duration(9)}},
            join_request{consensus::host_name("a=1"), true},
            control::reach_report{daemon_name("d"), server_name("s"), true},
            statement,
            forward_statement{},
            forward_answer{
                1, 2, {"row", ""}, true, 3, "detail", 4, log_position{5, 6}},
            forward_answer{},
            forward_refusal{1, 2, 1, 3, true, duration(4)},
            forward_end{1},
            forward_lost{2},
            forward_probe{3},
            forward_probe_answer{4},
            peer(append),
            peer(chunk),
            peer(consensus::vote_reply{true}),
            peer(consensus::snapshot_reply{1, 2, true, 3})};
}

} // namespace

TEST_CASE("decoding an encoded message gives the same message")
{
    for (auto const& it : example_messages())
    {
        CAPTURE(it.index());
        auto const decoded = decode(encode(it));
        REQUIRE(decoded.has_value());
        CHECK(decoded.value() == it);
    }
}

TEST_CASE("decoding an encoded snapshot of the control state gives the same "
          "state")
{
    auto const parts = example_control_parts();
    CHECK(decode_parts(encode_parts(parts)).value() == parts);
}

// Guards against a command that is decoded as another one: logs on disk contain
// the number of its type.
TEST_CASE("decoding an encoded command gives the same command")
{
    for (bool const in_service : {false, true})
    {
        control::command const it{{},
                                  "call",
                                  control::set_data_centre_service{
                                      data_centre_name("a"), in_service}};
        CHECK(decode_command(encode_command(it)).value() == it);
        CHECK(it.body.index() == 13);
    }
}

// Guards against a control host that can't load its log or snapshot after an
// upgrade. The bytes were written with the schema before register_daemon and
// daemon_entry had an address.
TEST_CASE("a log entry and a snapshot without addresses are loaded")
{
    std::array<unsigned char, 88> const entry{
        0x10, 0x00, 0x00, 0x00, 0x0c, 0x00, 0x14, 0x00, 0x08, 0x00, 0x0c,
        0x00, 0x07, 0x00, 0x10, 0x00, 0x0c, 0x00, 0x00, 0x00, 0x00, 0x00,
        0x00, 0x03, 0x38, 0x00, 0x00, 0x00, 0x2c, 0x00, 0x00, 0x00, 0x0c,
        0x00, 0x00, 0x00, 0x08, 0x00, 0x0c, 0x00, 0x04, 0x00, 0x08, 0x00,
        0x08, 0x00, 0x00, 0x00, 0x10, 0x00, 0x00, 0x00, 0x04, 0x00, 0x00,
        0x00, 0x02, 0x00, 0x00, 0x00, 0x64, 0x63, 0x00, 0x00, 0x01, 0x00,
        0x00, 0x00, 0x64, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x61,
        0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x69, 0x00, 0x00, 0x00};
    std::array<unsigned char, 88> const snapshot{
        0x18, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x10, 0x00, 0x14,
        0x00, 0x08, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
        0x04, 0x00, 0x10, 0x00, 0x00, 0x00, 0x10, 0x00, 0x00, 0x00, 0x04,
        0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
        0x01, 0x00, 0x00, 0x00, 0x0c, 0x00, 0x00, 0x00, 0x08, 0x00, 0x0c,
        0x00, 0x04, 0x00, 0x08, 0x00, 0x08, 0x00, 0x00, 0x00, 0x10, 0x00,
        0x00, 0x00, 0x04, 0x00, 0x00, 0x00, 0x02, 0x00, 0x00, 0x00, 0x64,
        0x63, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x64, 0x00, 0x00, 0x00};
    auto const text_of = [](auto const& bytes)
    {
        return std::string(bytes.begin(), bytes.end());
    };
    auto const command = decode_command(text_of(entry));
    REQUIRE(command.has_value());
    CHECK(command.value().body ==
          control::command_body{control::register_daemon{
              daemon_name("d"), data_centre_name("dc"), ""}});
    auto const parts = decode_parts(text_of(snapshot));
    REQUIRE(parts.has_value());
    CHECK(parts.value().daemons.at(daemon_name("d")) ==
          control::daemon_entry{data_centre_name("dc"), false, ""});
}

TEST_CASE("decoding a truncated or damaged message does not crash")
{
    std::mt19937 random(7);
    for (auto const& it : example_messages())
    {
        auto const encoded = encode(it);
        for (std::size_t n = 0; n < encoded.size(); ++n)
        {
            (void)decode(std::string_view(encoded).substr(0, n));
            auto damaged = encoded;
            damaged[n] = static_cast<char>(random());
            (void)decode(damaged);
        }
    }
    CHECK(decode("").error() == decode_error::malformed);
}
