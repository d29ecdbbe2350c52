#include "announcer.hpp"

#include <array>
#include <chrono>
#include <utility>

namespace basilreach::stand_in
{

namespace
{

// Pause before the next console is tried, and limit for one attempt.
constexpr std::chrono::milliseconds retry_pause{200};
constexpr std::chrono::milliseconds attempt_limit{2000};

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
    timer_.set(read_clock() + attempt_limit);
    step_ = &announcer::connecting;
    if (!connection_ || PQstatus(connection_.get()) == CONNECTION_BAD)
        try_next();
    else
        wait_for(WRITE_MASK);
}

void announcer::connecting()
{
    switch (PQconnectPoll(connection_.get()))
    {
    case PGRES_POLLING_READING:
        wait_for(READ_MASK);
        return;
    case PGRES_POLLING_WRITING:
        wait_for(WRITE_MASK);
        return;
    case PGRES_POLLING_OK:
        break;
    default:
        try_next();
        return;
    }
    PQsetnonblocking(connection_.get(), 1);
    if (PQsendQuery(connection_.get(), statement_.c_str()) == 0)
    {
        try_next();
        return;
    }
    step_ = &announcer::sending;
    sending();
}

void announcer::sending()
{
    int const left = PQflush(connection_.get());
    if (left < 0)
        try_next();
    else if (left > 0)
        wait_for(WRITE_MASK);
    else
    {
        step_ = &announcer::receiving;
        wait_for(READ_MASK);
    }
}

void announcer::receiving()
{
    if (PQconsumeInput(connection_.get()) == 0)
    {
        try_next();
        return;
    }
    while (PQisBusy(connection_.get()) == 0)
    {
        std::unique_ptr<PGresult, decltype(&PQclear)> const answer{
            PQgetResult(connection_.get()), PQclear};
        if (!answer)
            break;
        auto const status = PQresultStatus(answer.get());
        is_done_ = status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK;
        if (!is_done_)
        {
            try_next();
            return;
        }
    }
    if (is_done_)
    {
        unregister();
        timer_.set(never);
        connection_.reset();
    }
}

// libpq may change its socket between two steps, so that the registration is
// renewed for each of them.
void announcer::wait_for(ACE_Reactor_Mask mask)
{
    unregister();
    registered_ = PQsocket(connection_.get());
    reactor()->register_handler(registered_, this, mask);
}

void announcer::unregister()
{
    if (registered_ == ACE_INVALID_HANDLE)
        return;
    reactor()->remove_handler(registered_, ALL_EVENTS_MASK | DONT_CALL);
    registered_ = ACE_INVALID_HANDLE;
}

void announcer::try_next()
{
    unregister();
    connection_.reset();
    timer_.set(read_clock() + retry_pause);
}

int announcer::handle_input(ACE_HANDLE)
{
    (this->*step_)();
    return 0;
}

int announcer::handle_output(ACE_HANDLE)
{
    (this->*step_)();
    return 0;
}

} // namespace basilreach::stand_in
