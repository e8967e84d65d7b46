/// @file
/// Relays the store's records within an availability zone, so that one router,
/// the reader, reads the store for all others, its followers.
#ifndef BERYLLANE_SRC_FLEET_RECORD_RELAY_H_
#define BERYLLANE_SRC_FLEET_RECORD_RELAY_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "beryllane/clock/boot_clock.h"
#include "beryllane/freshness/freshness.h"
#include "platform/store_client.h"
#include "src/wire/peer_link.h"

namespace beryllane::fleet {

/// The newest record of each key of one topic, and a buffer of the newest
/// records, ordered by offset. Not thread-safe.
class RecordTail {
 public:
  /// Maximum number of records kept for followers.
  static constexpr std::size_t kMaxRecords = 1000;
  /// Maximum size of their keys and values.
  static constexpr std::size_t kMaxBytes = 4 * 1024 * 1024;

  /// Replaces everything by the newest record of each key. @pre none.
  void Reset(const platform::RecordPage& newest);
  /// Appends a page that was read at offset `from`. If the page does not
  /// continue the previous one, earlier records are discarded. @pre none.
  void Add(std::uint64_t from, const platform::RecordPage& page);
  /// Returns the records from an offset on; `nullopt` if they are not all kept.
  /// @pre none.
  std::optional<platform::RecordPage> ReadFrom(std::uint64_t from) const;
  /// Returns the newest record of each key, ordered by key; `nullopt` if they
  /// are not known. @pre none.
  std::optional<platform::RecordPage> ReadNewest() const;
  /// Returns the records from an offset on or, without one, the newest of each
  /// key; `nullopt` if they are not all kept. @pre none.
  std::optional<platform::RecordPage> Read(
      std::optional<std::uint64_t> from) const {
    return from ? ReadFrom(*from) : ReadNewest();
  }
  /// Offset after the newest record. @pre none.
  std::uint64_t end() const { return end_; }
  /// Forgets all records; nothing is served until the next `Add`. @pre none.
  void Clear() {
    DropRecords();
    newest_.reset();
    first_ = kNothing;
    end_ = kNothing;
  }

 private:
  static constexpr std::uint64_t kNothing =
      std::numeric_limits<std::uint64_t>::max();

  static std::size_t SizeOf(const platform::KeyedRecord& record) {
    return record.key.size() + record.value.size();
  }
  void DropRecords() {
    records_.clear();
    bytes_ = 0;
  }

  std::uint64_t first_ = 0;
  std::uint64_t end_ = 0;
  std::deque<platform::KeyedRecord> records_;
  // Size of `records_`.
  std::size_t bytes_ = 0;
  // By key.
  std::optional<std::map<std::string, platform::KeyedRecord>> newest_;
};

/// Request of a follower: the next offset that it needs of each topic; none
/// where it needs the newest record of each key.
struct RelayRequest {
  std::optional<std::uint64_t> operator_next = 0;
  std::optional<std::uint64_t> targets_next = 0;
  std::optional<std::uint64_t> quarantine_next = 0;
  /// Era of the store to which the offsets belong.
  std::uint64_t era = 0;
};

/// Answer of a reader.
struct RelayAnswer {
  /// Age of the reader's proof that the operator's records are complete, at the
  /// time of the answer; negative if it has none.
  std::chrono::milliseconds proof_age{-1};
  platform::RecordPage operator_page;
  platform::RecordPage targets_page;
  platform::RecordPage quarantine_page;
  /// Era of the store from which the records were read.
  std::uint64_t era = 0;
};

/// Answer to a request for the newest records by a router that has none itself.
struct NoRecords {
  /// Rank of the router's registration; none before it has registered.
  std::optional<std::uint64_t> rank;
};

/// Encodes a request or an answer. @pre none. Thread-safe.
std::string Encode(const RelayRequest& request);
std::string Encode(const RelayAnswer& answer);
std::string Encode(const NoRecords& answer);
/// Decodes a message; `nullopt` if it is malformed. @pre none. Thread-safe.
std::optional<RelayRequest> DecodeRelayRequest(const std::string& message);
std::optional<RelayAnswer> DecodeRelayAnswer(const std::string& message);
std::optional<NoRecords> DecodeNoRecords(const std::string& message);

/// Serves the records that this router read to followers. Used on one loop.
class RecordRelay {
 public:
  /// @pre `freshness` outlives the relay.
  explicit RecordRelay(const Freshness& freshness) : freshness_(freshness) {}

  RecordTail& operator_tail() { return operator_tail_; }
  RecordTail& targets_tail() { return targets_tail_; }
  RecordTail& quarantine_tail() { return quarantine_tail_; }
  /// Sets whether this router can read the store; if not, followers get an
  /// empty answer and read elsewhere. @pre none.
  void set_is_store_up(bool is_store_up) { is_store_up_ = is_store_up; }
  /// Sets the rank of this router's registration. @pre none.
  void set_rank(std::uint64_t rank) { rank_ = rank; }
  /// Forgets all records, because the store is in another era. @pre none.
  void SetEra(std::uint64_t era);
  /// Answers a follower's request. The answer is empty if the message is
  /// malformed or of another era, the records are not kept or the store cannot
  /// be read. To a follower that has nothing, a router that has nothing either
  /// answers `NoRecords`. @pre none.
  std::string Serve(const std::string& message) const;

 private:
  const Freshness& freshness_;
  RecordTail operator_tail_;
  RecordTail targets_tail_;
  RecordTail quarantine_tail_;
  bool is_store_up_ = true;
  std::uint64_t era_ = 0;
  std::optional<std::uint64_t> rank_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_RECORD_RELAY_H_
