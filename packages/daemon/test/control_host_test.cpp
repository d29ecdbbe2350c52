#include <basilreach/daemon/control_host.hpp>

#include <doctest/doctest.h>

#include <filesystem>
#include <string>
#include <vector>

#include <daemon_process.hpp>

#include <basilreach/daemon/view_builder.hpp>
#include <basilreach/messages/codec.hpp>

using namespace basilreach;
using namespace basilreach::daemon;
using namespace std::chrono_literals;

namespace
{

constexpr link_id daemon_link = 7;
constexpr std::uint64_t stored_term = 3;

// The state of the stored snapshot has this revision and version of the rules,
// and the stored log has the next one.
constexpr std::uint64_t snapshot_revision = 5;
constexpr std::uint64_t logged_revision = snapshot_revision + 1;

std::string rules_of(std::uint64_t version)
{
    return "workspace w rate=" + std::to_string(version) +
           " burst=1  # asked by the test: w\n";
}

control::command offer_of(std::uint64_t version)
{
    return {{}, "test", control::offer_rules{version, rules_of(version)}};
}

settings::daemon_settings settings_in(std::string const& directory)
{
    settings::daemon_settings out;
    out.name = daemon_name("c1");
    out.data_centre = data_centre_name("a");
    out.roles = {settings::daemon_role::control};
    out.data_directory = directory;
    for (auto const* name : {"c1", "c2", "c3"})
        out.control_hosts.push_back({daemon_name(name),
                                     std::string("127.0.0.1:") + name[1],
                                     data_centre_name("a")});
    out.control_listen = out.control_hosts.front().address;
    return out;
}

consensus::host_name host_name_of(settings::daemon_settings const& it,
                                  std::size_t n)
{
    return make_host_name(it.control_hosts[n]);
}

// Stores the state of a control host that was stopped with the latest change
// in its log only.
void store_state(settings::daemon_settings const& it)
{
    control::control_state state(make_rules_parser());
    state.apply(
        snapshot_revision - 1,
        {{},
         "test",
         control::register_daemon{daemon_name("d"), data_centre_name("a")}});
    state.apply(snapshot_revision, offer_of(snapshot_revision));
    storage::store_settings store;
    store.directory = *it.data_directory;
    auto opened = storage::store::open(store, storage::posix_file_operations());
    REQUIRE(opened);
    std::vector<std::string> voters;
    for (std::size_t n = 0; n != it.control_hosts.size(); ++n)
        voters.push_back(host_name_of(it, n).str());
    REQUIRE(opened.value().install({snapshot_revision,
                                    stored_term,
                                    voters,
                                    {},
                                    messages::encode_parts(state.parts())}));
    storage::write_batch batch;
    batch.hard = {stored_term, {}};
    batch.append.push_back(
        {logged_revision, stored_term,
         static_cast<std::uint8_t>(consensus::entry_kind::command),
         messages::encode_command(offer_of(logged_revision))});
    REQUIRE(opened.value().write(batch));
}

// A control host that has just started again, without its peers. It records
// what it sends to daemons.
class restarted_host
{
public:
    // The host leads for about the election timeout without hearing from its
    // peers.
    explicit restarted_host(duration election_timeout = 10s)
    {
        auto name =
            (std::filesystem::temp_directory_path() / "control_host.XXXXXX")
                .string();
        REQUIRE(mkdtemp(name.data()) != nullptr);
        directory_ = name;
        context_.settings = settings_in(directory_);
        auto& durations = context_.settings.durations;
        durations.election_timeout_min = election_timeout;
        durations.election_timeout_max = election_timeout;
        context_.decisions = &decisions_;
        choose_protocol(context_);
        store_state(context_.settings);
        open();
    }
    restarted_host(restarted_host const&) = delete;
    restarted_host& operator=(restarted_host const&) = delete;

    ~restarted_host()
    {
        host.reset();
        std::filesystem::remove_all(directory_);
    }

    // Starts the host from what it has stored.
    void open()
    {
        host.reset();
        control_host_outputs outputs;
        outputs.send_to_host =
            [this](auto const& to, messages::message const& it)
        {
            if (to == host_name_of(context_.settings, 1))
                sent_to_peer.push_back(std::get<consensus::peer_message>(it));
        };
        outputs.send_to_link = [this](link_id to, messages::message const& it)
        {
            if (auto const* grants = std::get_if<messages::limit_grants>(&it))
                answered.emplace_back(to, grants->incarnation);
            if (auto const* grant = std::get_if<control::grant_lease>(&it))
                granted.push_back(grant->daemon);
        };
        outputs.send_to_links =
            [this](auto const& to, messages::message const& it)
        {
            CHECK(to == std::vector{daemon_link});
            updates.push_back(std::get<control::state_update>(it));
        };
        outputs.peer_found = [](auto) {
        };
        outputs.answer_call =
            [this](std::uint64_t id, call_answer const& answer)
        {
            called.emplace_back(id, answer.outcome);
        };
        outputs.state_changed = [] {
        };
        outputs.failed = [](auto const&)
        {
            FAIL("the host has failed");
        };
        auto opened = control_host::open(context_, loop_, std::move(outputs),
                                         false, read_clock());
        REQUIRE(opened);
        host = std::move(opened.value());
    }

    // A daemon without a state asks for its first update.
    void subscribe()
    {
        host->receive(daemon_link,
                      messages::subscribe{daemon_name("d"), 0, 0, 0});
    }

    void receive(std::uint64_t term, consensus::peer_message_body body)
    {
        host->receive(daemon_link + 1, consensus::peer_message{
                                           host_name_of(context_.settings, 1),
                                           host_name_of(context_.settings, 0),
                                           term, std::move(body)});
    }

    // Runs an election that this host wins with the vote of one peer.
    void elect()
    {
        host->tick(host->next_deadline());
        ++elected_term;
        receive(elected_term - 1,
                consensus::pre_vote_reply{elected_term, true});
        receive(elected_term, consensus::vote_reply{true});
    }

    // The peer has stored the log, with the first entry of the new term.
    void replicate(std::uint64_t index = logged_revision + 1)
    {
        receive(elected_term, consensus::append_reply{true, index, 1});
    }

    // A process of the daemon asks for tokens. Returns the links over which it
    // is answered, with the incarnation in each answer.
    std::vector<std::pair<link_id, std::uint64_t>>
    request_tokens(link_id link, std::uint64_t incarnation)
    {
        messages::limit_requests batch;
        batch.holder = daemon_name("d");
        batch.incarnation = incarnation;
        batch.sent = read_clock();
        limits::token_request request;
        request.workspace = workspace_name("w");
        request.sequence = ++last_sequence_;
        request.waiting = 1;
        batch.tokens.push_back(request);
        answered.clear();
        host->receive(link, batch);
        host->tick(read_clock());
        return answered;
    }

    // Term of the last election.
    std::uint64_t elected_term = stored_term;
    std::vector<std::pair<link_id, std::uint64_t>> answered;
    std::vector<daemon_name> granted;
    std::vector<control::state_update> updates;
    // Answered calls of the control API.
    std::vector<std::pair<std::uint64_t, call_outcome>> called;
    // Messages to the first peer.
    std::vector<consensus::peer_message> sent_to_peer;
    std::unique_ptr<control_host> host;

private:
    std::uint64_t last_sequence_ = 0;
    std::string directory_;
    telemetry::decision_log decisions_;
    event_loop loop_;
    daemon_context context_;
};

} // namespace

// Guards against an entry host that takes the snapshot of a restarted control
// host for the rules in force, and refuses keys that were added since.
TEST_CASE("a restarted control host sends no state before it leads")
{
    restarted_host it;
    it.subscribe();
    CHECK(it.updates.empty());
    it.elect();
    CHECK(it.updates.empty());
    it.replicate();
    it.host->tick(read_clock());
    REQUIRE(it.updates.size() == 1);
    CHECK(it.updates.front().revision == logged_revision);
    REQUIRE(it.updates.front().rules);
    CHECK(it.updates.front().rules->version == logged_revision);
}

// Guards against the state of a leader that was suspended: another one may have
// been elected since, and have acknowledged changes.
TEST_CASE("a leader that may have been replaced sends no state")
{
    restarted_host it(20ms);
    it.elect();
    it.replicate();
    auto const elected = read_clock();
    CHECK(eventually([&] { return read_clock() > elected + 100ms; }));
    it.subscribe();
    CHECK(it.updates.empty());
}

// Guards against a daemon that gets no tokens and no connections: its host's
// time of day was set back before it restarted, and its requests were taken for
// late ones of the earlier process.
TEST_CASE("a daemon that restarts with an earlier time of day is answered")
{
    using answers = std::vector<std::pair<link_id, std::uint64_t>>;
    constexpr std::uint64_t first_start = 2000;
    constexpr std::uint64_t second_start = 1000;
    constexpr link_id second_link = daemon_link + 2;
    restarted_host it;
    it.elect();
    it.replicate();
    CHECK(it.request_tokens(daemon_link, first_start) ==
          answers{{daemon_link, first_start}});
    CHECK(it.request_tokens(second_link, second_start) ==
          answers{{second_link, second_start}});
    // A late request of the first process, over its own link.
    CHECK(it.request_tokens(daemon_link, first_start).empty());
    CHECK(it.request_tokens(second_link, second_start) ==
          answers{{second_link, second_start}});
}

// Guards against leases that run out because the leader first handles the
// requests for tokens of all daemons.
TEST_CASE("a lease renewal does not wait for requests for tokens")
{
    constexpr std::size_t daemons = 200;
    restarted_host it;
    it.elect();
    it.replicate();
    it.host->tick(read_clock());
    for (std::size_t n = 0; n != daemons; ++n)
    {
        messages::limit_requests batch;
        batch.holder = daemon_name("daemon-" + std::to_string(n));
        batch.incarnation = 1;
        batch.number = 1;
        it.host->receive(daemon_link + 2 + n, batch);
    }
    control::lease_renewal renewal;
    renewal.daemon = daemon_name("d");
    renewal.incarnation = 1;
    it.host->receive(daemon_link, renewal);
    // Nobody waits for the answer to a request whose link has ended.
    it.host->link_ended(daemon_link + 2);
    it.answered.clear();
    it.host->tick(read_clock());
    CHECK(it.granted == std::vector{daemon_name("d")});
    CHECK(it.answered.size() < daemons / 4);
    auto ticks = 1;
    for (; it.host->next_deadline() == instant::min(); ++ticks)
        it.host->tick(read_clock());
    CHECK(ticks > 4);
    CHECK(it.answered.size() == daemons - 1);
}

// Guards against a leader that loses its term while many daemons start: each
// registration was synced, sent to the other control hosts and distributed on
// its own.
TEST_CASE("daemons that start together are registered together")
{
    constexpr std::size_t daemons = 200;
    restarted_host it;
    it.elect();
    it.replicate();
    it.host->tick(read_clock());
    it.sent_to_peer.clear();
    for (std::size_t n = 0; n != daemons; ++n)
    {
        control::lease_renewal renewal;
        renewal.daemon = daemon_name("daemon-" + std::to_string(n));
        renewal.data_centre = data_centre_name("a");
        renewal.incarnation = 1;
        it.host->receive(daemon_link + 2 + n, renewal);
    }
    it.host->tick(read_clock());
    std::vector<std::size_t> entries;
    for (auto const& message : it.sent_to_peer)
        if (auto const* request =
                std::get_if<consensus::append_request>(&message.body);
            request != nullptr && !request->entries.empty())
            entries.push_back(request->entries.size());
    CHECK(entries == std::vector{daemons});
}

// Guards against the answer to one command of a batch that is given to the
// sender of another one.
TEST_CASE("commands that are proposed together are answered one by one")
{
    restarted_host it;
    it.elect();
    it.replicate();
    it.host->tick(read_clock());
    constexpr std::uint64_t first_call = 11;
    constexpr std::uint64_t second_call = 12;
    it.host->call(first_call, put_rules{logged_revision + 1, rules_of(1)},
                  read_clock());
    it.host->call(second_call, put_rules{logged_revision + 2, "no rules"},
                  read_clock());
    it.host->call(second_call, put_rules{logged_revision + 2, rules_of(2)},
                  read_clock());
    using calls = std::vector<std::pair<std::uint64_t, call_outcome>>;
    CHECK(it.called == calls{{second_call, call_outcome::invalid}});
    it.called.clear();
    it.host->tick(read_clock());
    CHECK(it.called.empty());
    it.receive(stored_term + 1,
               consensus::append_reply{true, logged_revision + 3, 2});
    CHECK(it.called == calls{{first_call, call_outcome::done},
                             {second_call, call_outcome::done}});
    CHECK(it.host->state().parts().rules_version == logged_revision + 2);
}

// Guards against an order that is acknowledged and then lost: the leader may
// die before the entry is on a majority.
TEST_CASE("an order on a data centre is acknowledged once it is committed")
{
    using calls = std::vector<std::pair<std::uint64_t, call_outcome>>;
    data_centre_name const data_centre("b");
    set_data_centre_service const order{data_centre, false};
    restarted_host it;
    it.host->call(1, order, read_clock());
    CHECK(it.called == calls{{1, call_outcome::unavailable}});
    it.elect();
    it.replicate();
    it.host->tick(read_clock());
    it.called.clear();
    // Two operators give the same order.
    it.host->call(2, order, read_clock());
    it.host->call(3, order, read_clock());
    it.host->tick(read_clock());
    CHECK(it.called.empty());
    CHECK(it.host->state().is_in_service(data_centre));
    it.receive(stored_term + 1,
               consensus::append_reply{true, logged_revision + 3, 2});
    CHECK(it.called == calls{{2, call_outcome::done}, {3, call_outcome::done}});
    CHECK_FALSE(it.host->state().is_in_service(data_centre));
    // The host loses its term before the next one is committed.
    it.called.clear();
    it.host->call(4, set_data_centre_service{data_centre, true}, read_clock());
    it.host->tick(read_clock());
    it.receive(stored_term + 2, consensus::append_request{});
    CHECK(it.called == calls{{4, call_outcome::unavailable}});
    CHECK_FALSE(it.host->state().is_in_service(data_centre));
    // It knows the next leader now.
    it.called.clear();
    it.host->call(5, order, read_clock());
    CHECK(it.called == calls{{5, call_outcome::redirect}});
}

// Guards against an acknowledged order that is lost when all control hosts lose
// power.
TEST_CASE("an acknowledged order on a data centre survives a restart")
{
    using calls = std::vector<std::pair<std::uint64_t, call_outcome>>;
    data_centre_name const data_centre("b");
    set_data_centre_service const order{data_centre, false};
    restarted_host it;
    it.elect();
    it.replicate();
    it.host->call(1, order, read_clock());
    it.host->tick(read_clock());
    it.replicate(logged_revision + 2);
    REQUIRE(it.called == calls{{1, call_outcome::done}});
    it.open();
    it.elect();
    it.replicate(logged_revision + 3);
    CHECK_FALSE(it.host->state().is_in_service(data_centre));
    // The caller did not get the answer and repeats the call.
    it.called.clear();
    it.host->call(2, order, read_clock());
    it.host->tick(read_clock());
    it.replicate(logged_revision + 4);
    CHECK(it.called == calls{{2, call_outcome::done}});
}
