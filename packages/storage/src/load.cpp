#include <basilreach/storage/store.hpp>

#include <algorithm>
#include <array>
#include <utility>

#include "raw_record.hpp"
#include "segment_name.hpp"
#include "snapshot_file.hpp"

namespace basilreach::storage
{

namespace
{

// If a segment has only the two records that it was created with, returns the
// size of the previous segment that is stored in it.
std::optional<std::uint64_t> predecessor_size(std::string_view data)
{
    raw_record start;
    raw_record hard;
    if (parse_record(data, 0, start) != parse_status::complete ||
        parse_record(data, record_header_bytes, hard) !=
            parse_status::complete ||
        data.size() != 2 * record_header_bytes + hard.payload.size())
        return std::nullopt;
    return start.term;
}

} // namespace

storage_result<store> store::open(store_settings settings,
                                  file_operations files)
{
    store it{std::move(settings), std::move(files)};
    BOOST_OUTCOME_TRY(it.load());
    return it;
}

storage_result<void> store::load()
{
    auto const names = files_.list(settings_.directory);
    if (!names)
        return fail(names.error(), {});
    location const lock{std::string{lock_name}};
    auto const handle = files_.lock(path(lock.file));
    if (!handle)
        return fail(handle.error(), lock);
    lock_handle_ = handle.value();
    BOOST_OUTCOME_TRY(load_snapshot(names.value()));
    std::vector<std::uint64_t> found;
    for (auto const& name : names.value())
    {
        auto const sequence = segment_sequence(name);
        bool const is_obsolete = sequence && *sequence < first_segment_;
        if (is_obsolete || name.ends_with(unfinished_suffix))
        {
            if (auto const it = files_.remove(path(name)); !it)
                return fail(it.error(), {name});
        }
        else if (sequence)
            found.push_back(*sequence);
    }
    std::sort(found.begin(), found.end());
    if (found.empty() && !has_snapshot_)
    {
        BOOST_OUTCOME_TRY(create_segment(1));
        found.push_back(1);
    }
    BOOST_OUTCOME_TRY(load_segments(found));
    return check_loaded();
}

storage_result<void> store::load_snapshot(std::vector<std::string> const& names)
{
    location at{std::string{snapshot_name}};
    if (std::find(names.begin(), names.end(), at.file) == names.end())
        return success();
    auto const data = files_.read(path(at.file));
    if (!data)
        return fail(data.error(), at);
    auto parsed = parse_snapshot(data.value());
    if (!parsed)
    {
        // Any damage shows as a mismatch of the checksum at the end.
        at.offset =
            data.value().size() - std::min<std::size_t>(data.value().size(), 8);
        return fail(storage_errc::corrupted, at);
    }
    has_snapshot_ = true;
    snapshot_index_ = parsed->base.index;
    first_segment_ = parsed->first_segment;
    contents_.base = std::move(parsed->base);
    return success();
}

storage_result<void>
store::load_segments(std::vector<std::uint64_t> const& found)
{
    // Sequence numbers must be consecutive from the first segment that the
    // snapshot needs. Whether a segment is missing after the last one is
    // checked below, by the end record.
    auto expected = first_segment_;
    for (auto const sequence : found)
        if (sequence != expected++)
            return fail(storage_errc::missing_segment,
                        {segment_name(expected - 1)});
    if (found.empty())
        return fail(storage_errc::missing_segment, {segment_name(expected)});
    for (auto it = found.begin(); it != found.end(); ++it)
    {
        active_sequence_ = *it;
        location const at{segment_name(*it)};
        auto const data = files_.read(path(at.file));
        if (!data)
            return fail(data.error(), at);
        bool const is_last = std::next(it) == found.end();
        // After a crash in roll_segment(), the segment before the last may lack
        // its end record. Every earlier segment must have one.
        std::optional<std::uint64_t> unsealed_size;
        if (!is_last && std::next(it, 2) == found.end())
            if (auto const next = files_.read(path(segment_name(*it + 1))))
                unsealed_size = predecessor_size(next.value());
        BOOST_OUTCOME_TRY(
            load_segment(*it, data.value(), is_last || unsealed_size));
        if (is_last && successor_sequence_ != 0)
            return fail(storage_errc::missing_segment,
                        {segment_name(successor_sequence_)});
        if (is_last)
            break;
        if (successor_sequence_ == 0)
        {
            if (unsealed_size != active_bytes_)
                return fail(storage_errc::corrupted, {at.file, active_bytes_});
            BOOST_OUTCOME_TRY(seal_segment());
            continue;
        }
        files_.close(std::exchange(active_handle_, -1));
        sealed_.push_back({*it, active_last_index_});
        active_last_index_ = 0;
    }
    return success();
}

storage_result<void> store::load_segment(std::uint64_t sequence,
                                         std::string const& data,
                                         bool may_be_torn)
{
    // In the order of record_type.
    static constexpr std::array<record_handler, 6> handlers{
        &store::on_start,    &store::on_entry, &store::on_hard_state,
        &store::on_truncate, &store::on_end,   &store::on_snapshot};
    location at{segment_name(sequence)};
    successor_sequence_ = 0;
    while (at.offset < data.size())
    {
        raw_record it;
        auto const status = parse_record(data, at.offset, it);
        // The first record can't be incomplete after a crash: it was synced
        // before the segment was renamed to its final name.
        if (status == parse_status::torn && may_be_torn && at.offset > 0)
            break;
        bool const is_start = it.type == record_type::start;
        if (status != parse_status::complete ||
            static_cast<std::size_t>(it.type) >= handlers.size() ||
            is_start != (at.offset == 0) || successor_sequence_ != 0)
            return fail(storage_errc::corrupted, at);
        BOOST_OUTCOME_TRY(
            (this->*handlers[static_cast<std::size_t>(it.type)])(it, at));
        at.offset += record_header_bytes + it.payload.size();
    }
    if (at.offset == 0)
        return fail(storage_errc::corrupted, at);
    active_bytes_ = at.offset;
    auto const handle = files_.open(path(at.file));
    if (!handle)
        return fail(handle.error(), at);
    active_handle_ = handle.value();
    if (at.offset < data.size())
        if (auto const it = files_.truncate(active_handle_, at.offset); !it)
            return fail(it.error(), at);
    // The data read may come from a write that was never synced.
    if (auto const it = files_.sync(active_handle_); !it)
        return fail(it.error(), at);
    return success();
}

storage_result<void> store::check_loaded()
{
    location const at{segment_name(active_sequence_), active_bytes_};
    // compact() saves a snapshot only of entries that are in the log, so the
    // log reaches at least to the snapshot's index.
    if (last_index() < snapshot_index_)
        return fail(storage_errc::wrong_order, at);
    contents_.hard = hard_;
    if (auto const it = files_.sync_directory(settings_.directory); !it)
        return fail(it.error(), {});
    return success();
}

storage_result<void> store::on_start(raw_record const& it, location const& at)
{
    if (it.kind != format_version)
        return fail(storage_errc::corrupted, at);
    if (it.index != active_sequence_)
        return fail(storage_errc::wrong_order, at);
    // term is the size of the previous segment without its end record.
    bool const has_previous = !sealed_.empty();
    if (has_previous && it.term + record_header_bytes != active_bytes_)
        return fail(storage_errc::corrupted,
                    {segment_name(active_sequence_ - 1), active_bytes_});
    return success();
}

storage_result<void> store::on_entry(raw_record const& it, location const& at)
{
    bool const is_next = last_index_ ? it.index == *last_index_ + 1
                                     : it.index <= snapshot_index_ + 1;
    if (!is_next || it.index == 0)
        return fail(storage_errc::wrong_order, at);
    last_index_ = it.index;
    active_last_index_ = std::max(active_last_index_, it.index);
    if (it.index > snapshot_index_)
        contents_.entries.push_back(
            {it.index, it.term, it.kind, std::string{it.payload}});
    return success();
}

storage_result<void> store::on_hard_state(raw_record const& it,
                                          location const& at)
{
    if (it.term < hard_.term)
        return fail(storage_errc::wrong_order, at);
    hard_ = {it.term, std::string{it.payload}};
    return success();
}

storage_result<void> store::on_truncate(raw_record const& it,
                                        location const& at)
{
    if (it.index == 0 || it.index > last_index() + 1)
        return fail(storage_errc::wrong_order, at);
    last_index_ = it.index - 1;
    while (!contents_.entries.empty() &&
           contents_.entries.back().index >= it.index)
        contents_.entries.pop_back();
    return success();
}

storage_result<void> store::on_end(raw_record const& it, location const& at)
{
    if (it.index != active_sequence_ + 1)
        return fail(storage_errc::wrong_order, at);
    successor_sequence_ = it.index;
    return success();
}

storage_result<void> store::on_snapshot(raw_record const& it, location const&)
{
    if (!has_snapshot_ || it.index > snapshot_index_)
        return fail(storage_errc::missing_snapshot,
                    {std::string{snapshot_name}});
    return success();
}

} // namespace basilreach::storage
