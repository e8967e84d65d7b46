/// @file
/// HTTP client of the platform's log service.
#ifndef BERYLLANE_SRC_PLATFORM_LOG_CLIENT_H_
#define BERYLLANE_SRC_PLATFORM_LOG_CLIENT_H_

#include <string>

#include "beryllane/claim/log_stream.h"
#include "beryllane/metrics/registry.h"
#include "src/net/http_client.h"

namespace beryllane::platform {

/// Options of the log client.
struct LogClientOptions {
  /// Timeout for connecting and for the response. Reads add the time that they
  /// wait for records.
  std::chrono::milliseconds timeout{2000};
};

/// One stream of the log service. All calls and handlers run on the loop of
/// the HTTP client.
class HttpLogStream : public LogStream {
 public:
  /// @pre `client` and `metrics` outlive the stream.
  HttpLogStream(net::HttpClient& client, net::asio::io_context& context,
                net::Address address, std::string name, MetricRegistry& metrics,
                LogClientOptions options);

  void Append(std::string data, AppendHandler done) override;
  void Read(std::uint64_t from, ReadHandler done) override;

  /// Appends one record. The verdict of an error says whether the record may
  /// have been appended. @pre on the client's loop.
  net::asio::awaitable<Result<AppendAck>> AppendRecord(std::string data);
  /// Reads records from offset `from` on and waits up to `wait` for the first
  /// one. @pre on the client's loop.
  net::asio::awaitable<Result<LogPage>> ReadPage(
      std::uint64_t from, std::chrono::milliseconds wait);

 private:
  net::asio::awaitable<void> RunAppend(std::string data, AppendHandler done);
  net::asio::awaitable<void> RunRead(std::uint64_t from, ReadHandler done);

  net::HttpClient& client_;
  net::asio::io_context& context_;
  net::Address address_;
  std::string path_;
  LogClientOptions options_;
  Counter& appends_;
  Counter& reads_;
  Counter& failures_;
};

}  // namespace beryllane::platform

#endif  // BERYLLANE_SRC_PLATFORM_LOG_CLIENT_H_
