/// @file
/// Stand-in for the platform's metadata store: keyed topics of one partition.
#ifndef BERYLLANE_STANDINS_METADATA_STORE_H_
#define BERYLLANE_STANDINS_METADATA_STORE_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "src/net/http_server.h"
#include "standins/support.h"

namespace beryllane::standins {

/// Faults of the store.
struct StoreFaults {
  /// Every call is refused with 503.
  bool down = false;
  /// Calls are accepted and never answered.
  bool silent = false;
  /// Probability that an append takes place and its answer is lost.
  double lose_answers = 0;
  std::chrono::milliseconds answer_time{4};
  /// An answer to a read ends with the record that reaches this size, if the
  /// call asks for more.
  std::size_t answer_bytes = std::numeric_limits<std::size_t>::max();
};

/// Serves the calls of the log interface that the router uses. One loop.
class MetadataStore {
 public:
  explicit MetadataStore(std::uint64_t seed) : random_(seed) {}

  /// Answers a call of the public interface. @pre none.
  net::asio::awaitable<void> Handle(net::Exchange& exchange);
  /// Writes a record or changes faults, as `{"put": {topic, key, value}}`,
  /// `{"drop": {topic, key}}`, `{"forget_history": topic}`, `{"copy": true}`,
  /// `{"restore": true}`, which returns to the last copy, or fault fields;
  /// answers with counts. @pre none.
  net::asio::awaitable<void> Control(net::Exchange& exchange);

 private:
  struct Record {
    std::string key;
    std::string value;
  };
  struct Topic {
    std::uint64_t first = 0;
    std::vector<Record> records;
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;

    std::uint64_t end() const { return first + records.size(); }
  };

  net::asio::awaitable<void> Read(net::Exchange& exchange,
                                  const ParsedTarget& target);
  net::asio::awaitable<void> Newest(net::Exchange& exchange,
                                    const ParsedTarget& target);
  net::asio::awaitable<void> Append(net::Exchange& exchange,
                                    const ParsedTarget& target);
  static void Put(Topic& topic, std::string key, std::string value);
  void ApplyChange(const nlohmann::json& change);

  net::asio::awaitable<void> Respond(net::Exchange& exchange,
                                     net::Response answer) const;

  StoreFaults faults_;
  std::map<std::string, Topic> topics_;
  std::map<std::string, Topic> copy_;
  std::uint64_t era_ = 1;
  std::mt19937_64 random_;
  std::uint64_t calls_ = 0;
  std::map<std::string, std::uint64_t> reads_;
  std::uint64_t answers_lost_ = 0;
};

}  // namespace beryllane::standins

#endif  // BERYLLANE_STANDINS_METADATA_STORE_H_
