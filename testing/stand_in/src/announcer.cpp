#include "announcer.hpp"

#include <array>
#include <chrono>
#include <utility>

namespace basilreach::stand_in
{

namespace
{

// Delay before the next console is tried, and timeout of one attempt.
constexpr std::chrono::milliseconds retry_delay{200};
constexpr std::chrono::milliseconds attempt_timeout{2000};

} // namespace

announcer::announcer(ACE_Reactor& reactor,
                     std::vector<std::string> consoles,
                     std::string operator_key,
                     std::string statement)
    : ACE_Event_Handler(&reactor), consoles_(std::move(consoles)),
      operator_key_(std::move(operator_key)), statement_(std::move(statement)),
      timer_(reactor, [this] { connect(); })
{
}

announcer::~announcer()
{
    unregister();
}

void announcer::start()
{
    connect();
}

void announcer::connect()
{
    unregister();
    auto const& console = consoles_[next_console_++ % consoles_.size()];
    auto const colon = console.rfind(':');
    std::string const host = console.substr(0, colon);
    std::string const port = console.substr(colon + 1);
    std::array const names{
        "hostaddr", "port",    "dbname",     "user",
        "password", "sslmode", "gssencmode", static_cast<char const*>(nullptr)};
    std::array const values{host.c_str(),
                            port.c_str(),
                            "basilreach",
                            "stand_in",
                            operator_key_.c_str(),
                            "disable",
                            "disable",
                            static_cast<char const*>(nullptr)};
    connection_.reset(PQconnectStartParams(names.data(), values.data(), 0));
    timer_.set(read_clock() + attempt_timeout);
    next_step_ = &announcer::poll_connection;
    if (!connection_ || PQstatus(connection_.get()) == CONNECTION_BAD)
        schedule_retry();
    else
        register_for(WRITE_MASK);
}

void announcer::poll_connection()
{
    switch (PQconnectPoll(connection_.get()))
    {
    case PGRES_POLLING_READING:
        register_for(READ_MASK);
        return;
    case PGRES_POLLING_WRITING:
        register_for(WRITE_MASK);
        return;
    case PGRES_POLLING_OK:
        break;
    default:
        schedule_retry();
        return;
    }
    PQsetnonblocking(connection_.get(), 1);
    if (PQsendQuery(connection_.get(), statement_.c_str()) == 0)
    {
        schedule_retry();
        return;
    }
    next_step_ = &announcer::flush_query;
    flush_query();
}

void announcer::flush_query()
{
    int const unsent = PQflush(connection_.get());
    if (unsent < 0)
        schedule_retry();
    else if (unsent > 0)
        register_for(WRITE_MASK);
    else
    {
        next_step_ = &announcer::read_answer;
        register_for(READ_MASK);
    }
}

void announcer::read_answer()
{
    if (PQconsumeInput(connection_.get()) == 0)
    {
        schedule_retry();
        return;
    }
    while (PQisBusy(connection_.get()) == 0)
    {
        std::unique_ptr<PGresult, decltype(&PQclear)> const answer{
            PQgetResult(connection_.get()), PQclear};
        if (!answer)
            break;
        auto const status = PQresultStatus(answer.get());
        is_accepted_ = status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK;
        if (!is_accepted_)
        {
            schedule_retry();
            return;
        }
    }
    if (is_accepted_)
    {
        unregister();
        timer_.set(never);
        connection_.reset();
    }
}

// Registers the socket again at each step, because libpq may replace it between
// two steps.
void announcer::register_for(ACE_Reactor_Mask mask)
{
    unregister();
    registered_handle_ = PQsocket(connection_.get());
    reactor()->register_handler(registered_handle_, this, mask);
}

void announcer::unregister()
{
    if (registered_handle_ == ACE_INVALID_HANDLE)
        return;
    reactor()->remove_handler(registered_handle_, ALL_EVENTS_MASK | DONT_CALL);
    registered_handle_ = ACE_INVALID_HANDLE;
}

void announcer::schedule_retry()
{
    unregister();
    connection_.reset();
    timer_.set(read_clock() + retry_delay);
}

int announcer::handle_input(ACE_HANDLE)
{
    (this->*next_step_)();
    return 0;
}

int announcer::handle_output(ACE_HANDLE)
{
    (this->*next_step_)();
    return 0;
}

} // namespace basilreach::stand_in
