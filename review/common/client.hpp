#ifndef BASILREACH_REVIEW_COMMON_CLIENT_HPP
#define BASILREACH_REVIEW_COMMON_CLIENT_HPP

#include <string>
#include <vector>

#include "net.hpp"
#include "record.hpp"

namespace review
{

// An answer to a statement. Empty strings stand for lines that did not come.
struct client_answer
{
    std::string id;
    double sent_ms = 0;
    double received_ms = 0;
    std::vector<std::string> rows;
    // The rest of COMPLETE.
    std::string proof;
    // The rest of ERROR.
    std::string error;
    // I, T or E.
    std::string state;
    // The connection ended before the whole answer.
    bool is_cut = false;

    [[nodiscard]] bool is_success() const
    {
        return !state.empty() && !proof.empty();
    }
};

// A client's session, for use by one thread.
class client_session
{
public:
    client_session(std::string name,
                   std::string const& address,
                   std::string const& database,
                   std::string const& key,
                   record& log);

    [[nodiscard]] bool is_open() const
    {
        return is_open_;
    }

    client_answer run(std::string const& text, double timeout_ms = 10'000);

private:
    std::string name_;
    record& log_;
    connection peer_;
    bool is_open_ = false;
    int last_id_ = 0;
};

} // namespace review

#endif
