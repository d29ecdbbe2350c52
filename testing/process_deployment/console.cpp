#include "console.hpp"

#include "deployment.hpp"

#include <iomanip>
#include <sstream>
#include <thread>

namespace basilreach::measure
{

namespace
{

using result_ptr = std::unique_ptr<PGresult, void (*)(PGresult*)>;

} // namespace

console::console(std::uint16_t port)
    : connection_(
          PQconnectdb(("hostaddr=127.0.0.1 port=" + std::to_string(port) +
                       " dbname=basilreach user=operator password=" +
                       std::string(operator_key) + " sslmode=disable")
                          .c_str()),
          PQfinish)
{
}

std::string console::run(std::string const& command)
{
    result_ptr const it(PQexec(connection_.get(), command.c_str()), PQclear);
    auto const is_row =
        PQresultStatus(it.get()) == PGRES_TUPLES_OK && PQntuples(it.get()) != 0;
    return is_row ? PQgetvalue(it.get(), 0, 0) : "";
}

std::string console::status(std::string const& subject,
                            std::string const& name,
                            std::string const& property)
{
    result_ptr const it(PQexec(connection_.get(), "SHOW STATUS"), PQclear);
    for (int n = 0; n < PQntuples(it.get()); ++n)
        if (PQgetvalue(it.get(), n, 0) == subject &&
            PQgetvalue(it.get(), n, 1) == name &&
            PQgetvalue(it.get(), n, 2) == property)
            return PQgetvalue(it.get(), n, 3);
    return {};
}

std::string withdraw_key_command(std::uint64_t n)
{
    constexpr int digits = 64;
    std::ostringstream out;
    out << "WITHDRAW KEY '" << std::hex << std::setfill('0')
        << std::setw(digits) << n << '\'';
    return out.str();
}

bool wait_until(std::function<bool()> const& condition,
                std::chrono::milliseconds timeout,
                std::chrono::milliseconds poll_interval)
{
    auto const deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace basilreach::measure
