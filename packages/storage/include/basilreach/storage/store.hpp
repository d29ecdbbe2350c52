#ifndef BASILREACH_STORAGE_STORE_HPP
#define BASILREACH_STORAGE_STORE_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <basilreach/base/result.hpp>
#include <basilreach/storage/file_operations.hpp>

namespace basilreach::storage
{

// One entry of the log. This package does not interpret kind and payload.
struct record
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::uint8_t kind = 0;
    std::string payload;

    friend auto operator<=>(record const&, record const&) = default;
};

struct hard_state
{
    std::uint64_t term = 0;
    std::string vote;

    friend auto operator<=>(hard_state const&, hard_state const&) = default;
};

// The replicated state after the entry at index has been applied, with the
// names of the hosts that were members at that entry.
struct snapshot
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::vector<std::string> voters;
    std::vector<std::string> learners;
    std::string state;

    friend auto operator<=>(snapshot const&, snapshot const&) = default;
};

// The state of a control host that is stored in its data directory.
struct contents
{
    hard_state hard;
    // Absent until the first snapshot is written.
    std::optional<snapshot> base;
    // The entries after the snapshot, without gaps.
    std::vector<record> entries;

    friend auto operator<=>(contents const&, contents const&) = default;
};

// Changes that are written in this order and made durable with one sync. After
// a crash during the write, a prefix of them may be stored.
struct write_batch
{
    std::optional<hard_state> hard;
    std::optional<std::uint64_t> truncate_from;
    std::vector<record> append;

    friend auto operator<=>(write_batch const&, write_batch const&) = default;
};

enum class storage_errc : std::uint8_t
{
    // A record, a segment header or the snapshot does not match its checksum
    // or has an impossible content.
    corrupted,
    // A segment that must exist is absent.
    missing_segment,
    // The log records that a snapshot was saved, but the snapshot file is
    // absent or older.
    missing_snapshot,
    // An entry, a segment, a term or a snapshot does not follow the one before
    // it, or a write would remove entries that the snapshot covers.
    wrong_order,
    disk_full,
    // Any other error of the operating system.
    io_error,
    // Another process has opened the directory.
    in_use,
    // Rejected because an earlier operation of the store failed.
    failed_before
};

// A failure with the file and the offset at which it was found.
struct storage_error
{
    storage_errc code = storage_errc::io_error;
    std::string file;
    std::uint64_t offset = 0;
    // The errno value, or 0.
    int system_error = 0;

    friend auto operator<=>(storage_error const&,
                            storage_error const&) = default;
};

template <class T>
using storage_result = result<T, storage_error>;

struct store_settings
{
    std::string directory;
    // A segment that has reached this size is sealed and a new one is started.
    std::uint64_t segment_bytes = std::uint64_t{16} << 20U;

    friend auto operator<=>(store_settings const&,
                            store_settings const&) = default;
};

struct raw_record;

// The data directory of one control host: a log in segments and a snapshot.
// Changes are synced before a call returns. After an error every later write(),
// compact() and install() fails with failed_before, because the state of the
// files is unknown until they are read again.
class store
{
public:
    // Opens a data directory and reads it; an absent or empty one is
    // initialised. An incomplete record at the end of the log, which was never
    // synced, is truncated.
    static storage_result<store> open(store_settings settings,
                                      file_operations files);

    store(store&& other) noexcept;
    store(store const&) = delete;
    store& operator=(store const&) = delete;
    ~store();

    // Moves out what the directory held when it was opened.
    contents take_contents();

    // Writes and syncs a batch.
    storage_result<void> write(write_batch const& batch);

    // Saves a snapshot that covers entries of the log, and removes the segments
    // that hold no later entries.
    storage_result<void> compact(snapshot const& base);

    // Replaces the whole log by a snapshot received from another host.
    storage_result<void> install(snapshot const& base);

private:
    struct sealed_segment
    {
        std::uint64_t sequence = 0;
        std::uint64_t last_index = 0;
    };

    // A position in a file, for error reports.
    struct location
    {
        std::string file;
        std::uint64_t offset = 0;
    };

    using record_handler = storage_result<void> (store::*)(raw_record const&,
                                                           location const&);

    store(store_settings settings, file_operations files);

    storage_result<void> load();
    storage_result<void> load_snapshot(std::vector<std::string> const& names);
    storage_result<void> load_segments(std::vector<std::uint64_t> const& found);
    storage_result<void> load_segment(std::uint64_t sequence,
                                      std::string const& data,
                                      bool may_be_torn);
    storage_result<void> check_loaded();
    storage_result<void> on_start(raw_record const& it, location const& at);
    storage_result<void> on_entry(raw_record const& it, location const& at);
    storage_result<void> on_hard_state(raw_record const& it,
                                       location const& at);
    storage_result<void> on_truncate(raw_record const& it, location const& at);
    storage_result<void> on_end(raw_record const& it, location const& at);
    storage_result<void> on_snapshot(raw_record const& it, location const& at);

    // Returns the size of the new file.
    storage_result<std::uint64_t> create_segment(std::uint64_t sequence);
    storage_result<void> append_and_sync(std::string_view data);
    storage_result<void> seal_segment();
    storage_result<void> roll_segment();
    storage_result<void> save_snapshot(snapshot const& base,
                                       std::uint64_t first_segment);
    storage_result<void> replace_file(std::string const& name,
                                      std::string_view data);
    storage_result<void>
    write_all(int handle, location at, std::string_view data);

    [[nodiscard]] std::uint64_t last_index() const
    {
        return last_index_.value_or(snapshot_index_);
    }

    [[nodiscard]] std::string path(std::string const& name) const;
    storage_error fail(storage_errc code, location const& at);
    storage_error fail(file_error error, location const& at);

    store_settings settings_;
    file_operations files_;
    contents contents_;
    hard_state hard_;
    // Segments that end with an end record, in order.
    std::vector<sealed_segment> sealed_;
    std::uint64_t first_segment_ = 1;
    std::uint64_t active_sequence_ = 0;
    std::uint64_t active_bytes_ = 0;
    // The greatest index in the active segment, including entries that were
    // truncated later.
    std::uint64_t active_last_index_ = 0;
    int active_handle_ = -1;
    int lock_handle_ = -1;
    std::uint64_t snapshot_index_ = 0;
    bool has_snapshot_ = false;
    // The last index of the log. Absent only while the segments hold no entry;
    // the log then ends at the snapshot.
    std::optional<std::uint64_t> last_index_;
    // While loading: the sequence number of the next segment according to the
    // end record of the segment read last, or 0 if that has no end record.
    std::uint64_t successor_sequence_ = 0;
    bool failed_ = false;
};

} // namespace basilreach::storage

#endif
