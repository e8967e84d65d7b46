/// @file
/// Passes the store's records on inside an availability zone, so that one
/// router reads them for all.
#ifndef BERYLLANE_SRC_FLEET_RECORD_RELAY_H_
#define BERYLLANE_SRC_FLEET_RECORD_RELAY_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "beryllane/clock/boot_clock.h"
#include "beryllane/freshness/freshness.h"
#include "platform/store_client.h"
#include "src/wire/peer_link.h"

namespace beryllane::fleet {

/// The newest records of one topic, by offset. Not thread-safe.
class RecordTail {
 public:
  /// Records that are kept for followers.
  static constexpr std::size_t kMaxRecords = 1000;

  /// Adds a page that was read at `from`. A page that does not follow the last
  /// one starts the tail anew. @pre none.
  void Add(std::uint64_t from, const platform::RecordPage& page);
  /// Records from an offset on; `nullopt` where they are not kept. @pre none.
  std::optional<platform::RecordPage> ReadFrom(std::uint64_t from) const;
  /// Offset after the newest record. @pre none.
  std::uint64_t end() const { return end_; }

 private:
  std::uint64_t first_ = 0;
  std::uint64_t end_ = 0;
  std::deque<platform::KeyedRecord> records_;
};

/// What a follower asks a reader for.
struct RelayRequest {
  std::uint64_t operator_next = 0;
  std::uint64_t targets_next = 0;
};

/// What a reader answers.
struct RelayAnswer {
  /// Age of the reader's proof that the operator's records are complete, when
  /// it answered; negative where it has none.
  std::chrono::milliseconds proof_age{-1};
  platform::RecordPage operator_page;
  platform::RecordPage targets_page;
};

/// Encodes a request or an answer. @pre none. Thread-safe.
std::string Encode(const RelayRequest& request);
std::string Encode(const RelayAnswer& answer);
/// Decodes a message; `nullopt` where it is not one. @pre none. Thread-safe.
std::optional<RelayRequest> DecodeRelayRequest(const std::string& message);
std::optional<RelayAnswer> DecodeRelayAnswer(const std::string& message);

/// Serves followers from what this router read. Used on one loop.
class RecordRelay {
 public:
  /// @pre `freshness` outlives the relay.
  explicit RecordRelay(const Freshness& freshness) : freshness_(freshness) {}

  RecordTail& operator_tail() { return operator_tail_; }
  RecordTail& targets_tail() { return targets_tail_; }
  /// Tells whether this router can read the store; if not, followers are sent
  /// away. @pre none.
  void set_is_store_up(bool is_store_up) { is_store_up_ = is_store_up; }
  /// Answers a follower; empty where the records are not kept or may be
  /// outdated. @pre none.
  std::string Serve(const std::string& message) const;

 private:
  const Freshness& freshness_;
  RecordTail operator_tail_;
  RecordTail targets_tail_;
  bool is_store_up_ = true;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_RECORD_RELAY_H_
