/// @file
/// Stand-in for the platform's log service: append-only streams with offsets.
#ifndef BERYLLANE_STANDINS_LOG_SERVICE_H_
#define BERYLLANE_STANDINS_LOG_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "src/net/http_server.h"
#include "standins/support.h"

namespace beryllane::standins {

/// Faults and limits of the log service.
struct LogFaults {
  /// Every request is answered with 503.
  bool down = false;
  /// Requests are accepted and never answered.
  bool silent = false;
  /// Probability that an append takes place and its answer is lost.
  double lose_answers = 0;
  /// Reads omit this many of the newest records.
  std::int64_t stale_records = 0;
  std::chrono::milliseconds append_time{20};
  std::int64_t appends_per_second = 300;
  std::chrono::milliseconds retention{std::chrono::hours(2)};
};

/// Serves `/v1/streams/<name>/records`. One loop.
class LogService {
 public:
  explicit LogService(std::uint64_t seed) : random_(seed) {}

  /// Answers a request on a stream. @pre the path starts with /v1/streams/.
  net::asio::awaitable<void> Handle(net::Exchange& exchange,
                                    const ParsedTarget& target);
  /// Changes faults from a JSON object. @pre none.
  void SetFaults(const nlohmann::json& change);
  /// Counts and faults. @pre none.
  nlohmann::json Report() const;

 private:
  struct Record {
    std::int64_t time_ms = 0;
    std::string data;
  };
  struct Stream {
    std::uint64_t first = 0;
    std::deque<Record> records;

    std::uint64_t end() const { return first + records.size(); }
  };

  net::asio::awaitable<void> Append(net::Exchange& exchange, Stream& stream);
  net::asio::awaitable<void> Read(net::Exchange& exchange, Stream& stream,
                                  const ParsedTarget& target);
  net::asio::awaitable<void> WaitForSlot();
  void Truncate(Stream& stream) const;

  LogFaults faults_;
  std::map<std::string, Stream> streams_;
  RuntimeClock::time_point next_slot_{};
  std::mt19937_64 random_;
  std::uint64_t appends_ = 0;
  std::uint64_t answers_lost_ = 0;
  std::uint64_t reads_ = 0;
};

}  // namespace beryllane::standins

#endif  // BERYLLANE_STANDINS_LOG_SERVICE_H_
