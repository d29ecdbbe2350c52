#include <basilreach/storage/store.hpp>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "raw_record.hpp"
#include "segment_name.hpp"
#include "snapshot_file.hpp"

namespace basilreach::storage
{

store::store(store_settings settings, file_operations files)
    : settings_(std::move(settings)), files_(std::move(files))
{
}

store::store(store&& other) noexcept
    : settings_(std::move(other.settings_)), files_(std::move(other.files_)),
      contents_(std::move(other.contents_)), hard_(std::move(other.hard_)),
      sealed_(std::move(other.sealed_)), first_segment_(other.first_segment_),
      active_sequence_(other.active_sequence_),
      active_bytes_(other.active_bytes_),
      active_last_index_(other.active_last_index_),
      active_handle_(std::exchange(other.active_handle_, -1)),
      lock_handle_(std::exchange(other.lock_handle_, -1)),
      snapshot_index_(other.snapshot_index_),
      has_snapshot_(other.has_snapshot_), last_index_(other.last_index_),
      successor_sequence_(other.successor_sequence_),
      failed_(std::exchange(other.failed_, true))
{
}

store::~store()
{
    for (int const it : {active_handle_, lock_handle_})
        if (it >= 0)
            files_.close(it);
}

contents store::take_contents()
{
    return std::exchange(contents_, {});
}

std::string store::path(std::string const& name) const
{
    return settings_.directory + "/" + name;
}

storage_error store::fail(storage_errc code, location const& at)
{
    failed_ = true;
    return {code, path(at.file), at.offset, 0};
}

storage_error store::fail(file_error error, location const& at)
{
    auto const number = error.number;
    auto const code = number == ENOSPC || number == EDQUOT || number == EFBIG
                          ? storage_errc::disk_full
                      : number == EWOULDBLOCK ? storage_errc::in_use
                                              : storage_errc::io_error;
    auto it = fail(code, at);
    it.system_error = number;
    return it;
}

storage_result<void>
store::write_all(int handle, location at, std::string_view data)
{
    while (!data.empty())
    {
        auto const n = files_.write(handle, at.offset, data);
        if (!n)
            return fail(n.error(), at);
        // A write of zero bytes would be repeated forever.
        if (n.value() == 0)
            return fail(file_error{ENOSPC}, at);
        data.remove_prefix(n.value());
        at.offset += n.value();
    }
    return success();
}

storage_result<void> store::replace_file(std::string const& name,
                                         std::string_view data)
{
    auto const unfinished = name + std::string{unfinished_suffix};
    auto const handle = files_.open(path(unfinished));
    if (!handle)
        return fail(handle.error(), {unfinished});
    auto const write = [&]() -> storage_result<void>
    {
        if (auto const it = files_.truncate(handle.value(), 0); !it)
            return fail(it.error(), {unfinished});
        BOOST_OUTCOME_TRY(write_all(handle.value(), {unfinished}, data));
        if (auto const it = files_.sync(handle.value()); !it)
            return fail(it.error(), {unfinished});
        return success();
    };
    auto const written = write();
    files_.close(handle.value());
    BOOST_OUTCOME_TRY(written);
    if (auto const it = files_.rename(path(unfinished), path(name)); !it)
        return fail(it.error(), {name});
    if (auto const it = files_.sync_directory(settings_.directory); !it)
        return fail(it.error(), {name});
    return success();
}

storage_result<std::uint64_t> store::create_segment(std::uint64_t sequence)
{
    std::string data;
    encode_record(
        data, {record_type::start, format_version, sequence, active_bytes_, {}},
        0);
    // Each segment repeats the hard state, so that earlier segments can be
    // removed.
    encode_record(data, {record_type::hard_state, 0, 0, hard_.term, hard_.vote},
                  data.size());
    BOOST_OUTCOME_TRY(replace_file(segment_name(sequence), data));
    return data.size();
}

storage_result<void> store::append_and_sync(std::string_view data)
{
    location const at{segment_name(active_sequence_), active_bytes_};
    BOOST_OUTCOME_TRY(write_all(active_handle_, at, data));
    if (auto const it = files_.sync(active_handle_); !it)
        return fail(it.error(), at);
    active_bytes_ += data.size();
    return success();
}

storage_result<void> store::seal_segment()
{
    std::string data;
    encode_record(data, {record_type::end, 0, active_sequence_ + 1, 0, {}},
                  active_bytes_);
    BOOST_OUTCOME_TRY(append_and_sync(data));
    files_.close(std::exchange(active_handle_, -1));
    sealed_.push_back({active_sequence_, active_last_index_});
    ++active_sequence_;
    active_last_index_ = 0;
    return success();
}

storage_result<void> store::roll_segment()
{
    // The next segment is created before the end record refers to it. After a
    // crash in between, load_segments() recognises the unused segment.
    BOOST_OUTCOME_TRY(size, create_segment(active_sequence_ + 1));
    BOOST_OUTCOME_TRY(seal_segment());
    location const at{segment_name(active_sequence_)};
    auto const handle = files_.open(path(at.file));
    if (!handle)
        return fail(handle.error(), at);
    active_handle_ = handle.value();
    active_bytes_ = size;
    return success();
}

storage_result<void> store::write(write_batch const& batch)
{
    location const at{segment_name(active_sequence_), active_bytes_};
    if (failed_)
        return fail(storage_errc::failed_before, at);
    std::string data;
    auto const put = [&](raw_record const& it)
    {
        encode_record(data, it, active_bytes_ + data.size());
    };
    auto last = last_index();
    auto greatest_index = active_last_index_;
    if (batch.hard)
        put({record_type::hard_state, 0, 0, batch.hard->term,
             batch.hard->vote});
    if (batch.truncate_from && *batch.truncate_from <= last)
    {
        if (*batch.truncate_from <= snapshot_index_)
            return fail(storage_errc::wrong_order, at);
        put({record_type::truncate, 0, *batch.truncate_from, 0, {}});
        last = *batch.truncate_from - 1;
    }
    for (auto const& it : batch.append)
    {
        if (it.index != last + 1)
            return fail(storage_errc::wrong_order, at);
        put({record_type::entry, it.kind, it.index, it.term, it.payload});
        last = it.index;
        greatest_index = std::max(greatest_index, last);
    }
    if (data.empty())
        return success();
    BOOST_OUTCOME_TRY(append_and_sync(data));
    if (batch.hard)
        hard_ = *batch.hard;
    last_index_ = last;
    active_last_index_ = greatest_index;
    if (active_bytes_ >= settings_.segment_bytes)
        return roll_segment();
    return success();
}

storage_result<void> store::save_snapshot(snapshot const& base,
                                          std::uint64_t first_segment)
{
    BOOST_OUTCOME_TRY(replace_file(std::string{snapshot_name},
                                   encode_snapshot({base, first_segment})));
    first_segment_ = first_segment;
    snapshot_index_ = base.index;
    has_snapshot_ = true;
    while (!sealed_.empty() && sealed_.front().sequence < first_segment)
    {
        location const at{segment_name(sealed_.front().sequence)};
        if (auto const it = files_.remove(path(at.file)); !it)
            return fail(it.error(), at);
        sealed_.erase(sealed_.begin());
    }
    // Records the snapshot in the log, so that a missing snapshot file is
    // detected.
    std::string data;
    encode_record(data, {record_type::snapshot, 0, base.index, base.term, {}},
                  active_bytes_);
    return append_and_sync(data);
}

storage_result<void> store::compact(snapshot const& base)
{
    location const at{std::string{snapshot_name}};
    if (failed_)
        return fail(storage_errc::failed_before, at);
    if (base.index > last_index() ||
        (has_snapshot_ && base.index < snapshot_index_))
        return fail(storage_errc::wrong_order, at);
    BOOST_OUTCOME_TRY(roll_segment());
    auto first = active_sequence_;
    for (auto it = sealed_.rbegin(); it != sealed_.rend(); ++it)
        if (it->last_index > base.index)
            first = it->sequence;
    return save_snapshot(base, first);
}

storage_result<void> store::install(snapshot const& base)
{
    location const at{std::string{snapshot_name}};
    if (failed_)
        return fail(storage_errc::failed_before, at);
    if (has_snapshot_ && base.index < snapshot_index_)
        return fail(storage_errc::wrong_order, at);
    BOOST_OUTCOME_TRY(roll_segment());
    BOOST_OUTCOME_TRY(save_snapshot(base, active_sequence_));
    last_index_.reset();
    return success();
}

} // namespace basilreach::storage
