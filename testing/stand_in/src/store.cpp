#include <basilreach/stand_in/store.hpp>

namespace basilreach::stand_in
{

namespace
{

struct applier
{
    store& data;

    void operator()(insert_item const& it) const
    {
        data.items[it.key] = {it.value, 0};
    }

    void operator()(update_value const& it) const
    {
        data.items[it.key].value = it.value;
    }

    void operator()(increment_amount const& it) const
    {
        ++data.items[it.key].amount;
    }

    void operator()(claim_request const& it) const
    {
        data.claimed_requests.emplace(it.workspace, it.request);
    }
};

} // namespace

void store::apply(operation const& change)
{
    std::visit(applier{*this}, change);
}

void store::apply(std::vector<operation> const& changes)
{
    for (auto const& it : changes)
        apply(it);
}

} // namespace basilreach::stand_in
