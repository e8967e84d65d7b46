/// @file
/// The platform's log service over HTTP.
#ifndef BERYLLANE_SRC_PLATFORM_LOG_CLIENT_H_
#define BERYLLANE_SRC_PLATFORM_LOG_CLIENT_H_

#include <string>

#include "beryllane/claim/log_stream.h"
#include "beryllane/metrics/registry.h"
#include "src/net/http_client.h"

namespace beryllane::platform {

/// Times and page sizes of the log client.
struct LogClientOptions {
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

  /// Appends one record. An error's verdict tells whether it may be in the
  /// log. @pre on the client's loop.
  net::asio::awaitable<Result<AppendAck>> AppendRecord(std::string data);
  /// Reads records from `from` on, waiting up to `wait` for the first. @pre
  /// on the client's loop.
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
