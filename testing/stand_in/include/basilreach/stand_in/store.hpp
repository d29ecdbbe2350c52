#ifndef BASILREACH_STAND_IN_STORE_HPP
#define BASILREACH_STAND_IN_STORE_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace basilreach::stand_in
{

// A row of the table `item`.
struct item
{
    std::string value;
    std::int64_t amount = 0;

    friend bool operator==(item const&, item const&) = default;
};

struct insert_item
{
    std::string key;
    std::string value;

    friend bool operator==(insert_item const&, insert_item const&) = default;
};

struct update_value
{
    std::string key;
    std::string value;

    friend bool operator==(update_value const&, update_value const&) = default;
};

struct increment_amount
{
    std::string key;

    friend bool operator==(increment_amount const&,
                           increment_amount const&) = default;
};

// Records that a request id of a workspace is used.
struct claim_request
{
    std::string workspace;
    std::string request;

    friend bool operator==(claim_request const&,
                           claim_request const&) = default;
};

// A change of the data, as stored in a log entry.
using operation =
    std::variant<insert_item, update_value, increment_amount, claim_request>;

// The data of one server, the result of applying its log.
struct store
{
    std::map<std::string, item> items;
    // Workspace and request id of every claimed request.
    std::set<std::pair<std::string, std::string>> claimed_requests;

    void apply(operation const& change);
    void apply(std::vector<operation> const& changes);

    friend bool operator==(store const&, store const&) = default;
};

} // namespace basilreach::stand_in

#endif
