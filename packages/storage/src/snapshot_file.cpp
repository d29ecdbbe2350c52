#include "snapshot_file.hpp"

#include "raw_record.hpp"

namespace basilreach::storage
{

namespace
{

constexpr std::string_view magic = "BRSNAP01";

void put_text(std::string& out, std::string_view text)
{
    put_integer(out, text.size(), 8);
    out += text;
}

void put_list(std::string& out, std::vector<std::string> const& list)
{
    put_integer(out, list.size(), 8);
    for (auto const& it : list)
        put_text(out, it);
}

// Decodes values from the front of the data. Once the data is too short, every
// further value is empty and is_finished() returns false.
class reader
{
public:
    explicit reader(std::string_view data) : rest_(data)
    {
    }

    std::uint64_t integer()
    {
        auto const it = take(8);
        return it.size() == 8 ? get_integer(it, 8) : 0;
    }

    std::string text()
    {
        return std::string{take(integer())};
    }

    std::vector<std::string> list()
    {
        std::vector<std::string> found;
        for (auto n = integer(); n != 0 && is_valid_; --n)
            found.push_back(text());
        return found;
    }

    [[nodiscard]] bool is_finished() const
    {
        return is_valid_ && rest_.empty();
    }

private:
    std::string_view take(std::uint64_t bytes)
    {
        is_valid_ = is_valid_ && bytes <= rest_.size();
        if (!is_valid_)
            return {};
        auto const it = rest_.substr(0, bytes);
        rest_.remove_prefix(bytes);
        return it;
    }

    std::string_view rest_;
    bool is_valid_ = true;
};

} // namespace

std::string encode_snapshot(snapshot_file const& it)
{
    std::string out{magic};
    put_integer(out, it.base.index, 8);
    put_integer(out, it.base.term, 8);
    put_integer(out, it.first_segment, 8);
    put_list(out, it.base.voters);
    put_list(out, it.base.learners);
    put_text(out, it.base.state);
    put_integer(out, checksum(out, 0), 8);
    return out;
}

std::optional<snapshot_file> parse_snapshot(std::string_view data)
{
    if (data.size() < magic.size() + 8 || !data.starts_with(magic))
        return std::nullopt;
    auto const body = data.substr(0, data.size() - 8);
    if (checksum(body, 0) != get_integer(data.substr(body.size()), 8))
        return std::nullopt;
    reader in{body.substr(magic.size())};
    snapshot_file out;
    out.base.index = in.integer();
    out.base.term = in.integer();
    out.first_segment = in.integer();
    out.base.voters = in.list();
    out.base.learners = in.list();
    out.base.state = in.text();
    if (!in.is_finished())
        return std::nullopt;
    return out;
}

} // namespace basilreach::storage
