#include <basilreach/rules/text_delta.hpp>

#include <unordered_map>

namespace basilreach::rules
{

namespace
{

// Returns the end of the record that begins at an offset.
std::size_t end_of_record(std::string_view text, std::size_t begin)
{
    auto const last = text.find_first_of("\n}", begin);
    return last == std::string_view::npos ? text.size() : last + 1;
}

// Returns the offset of the first record of each content.
std::unordered_map<std::string_view, std::size_t>
index_records(std::string_view text)
{
    std::unordered_map<std::string_view, std::size_t> out;
    for (std::size_t begin = 0; begin != text.size();)
    {
        auto const end = end_of_record(text, begin);
        out.emplace(text.substr(begin, end - begin), begin);
        begin = end;
    }
    return out;
}

} // namespace

text_delta make_text_delta(std::string_view base, std::string_view text)
{
    text_delta out;
    auto const records = index_records(base);
    out.edits.emplace_back();
    for (std::size_t begin = 0; begin != text.size();)
    {
        auto const end = end_of_record(text, begin);
        auto const record = text.substr(begin, end - begin);
        begin = end;
        auto& last = out.edits.back();
        auto const next = last.offset + last.length;
        if (last.inserted.empty() && last.length > 0 &&
            base.substr(next, record.size()) == record)
        {
            last.length += record.size();
            continue;
        }
        auto const found = records.find(record);
        if (found == records.end())
            last.inserted += record;
        else
            out.edits.push_back({found->second, record.size(), {}});
    }
    return out;
}

std::optional<std::string> apply_text_delta(std::string_view base,
                                            text_delta const& delta)
{
    std::string out;
    for (auto const& it : delta.edits)
    {
        if (it.offset > base.size() || it.length > base.size() - it.offset)
            return std::nullopt;
        out += base.substr(it.offset, it.length);
        out += it.inserted;
    }
    return out;
}

} // namespace basilreach::rules
