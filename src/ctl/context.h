/// @file
/// What the commands of beryllanectl share.
#ifndef BERYLLANE_SRC_CTL_CONTEXT_H_
#define BERYLLANE_SRC_CTL_CONTEXT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "beryllane/metrics/registry.h"
#include "src/net/http_client.h"

namespace beryllane::ctl {

/// Exit codes, documented in docs/beryllanectl.md.
inline constexpr int kOk = 0;
/// The answer is no: invalid, rejected, refused or not ready.
inline constexpr int kNegative = 1;
/// Wrong use or settings.
inline constexpr int kUsage = 2;
/// A service or router cannot be reached.
inline constexpr int kUnreachable = 3;

/// Options of all commands.
struct Options {
  net::Address log_service;
  std::vector<net::Address> routers;
  bool as_json = false;
  bool is_patch = false;
  bool wait = false;
  std::chrono::milliseconds wait_limit{12000};
  std::optional<std::uint64_t> base;
  std::string author;
  std::string comment;
  std::string account;
};

/// Runs commands on one event loop.
struct Context {
  explicit Context(Options the_options)
      : options(std::move(the_options)), client(loop) {}

  Options options;
  net::asio::io_context loop{1};
  net::HttpClient client;
  MetricRegistry metrics;
};

/// Prints an error with its number; returns `code`. @pre none.
int PrintError(const Error& error, int code);

/// Reads a JSON file. @pre none.
Result<nlohmann::json> ReadJsonFile(const std::string& path);

/// Gets JSON from a router's operators' port. @pre on the loop.
net::asio::awaitable<Result<nlohmann::json>> GetJson(Context& context,
                                                     net::Address address,
                                                     std::string path);
/// Posts to a router's operators' port and reads JSON. @pre on the loop.
net::asio::awaitable<Result<nlohmann::json>> PostJson(Context& context,
                                                      net::Address address,
                                                      std::string path,
                                                      std::string body);

/// A command: takes its words after the name, returns the exit code.
using Words = std::vector<std::string>;
net::asio::awaitable<int> ConfigCheck(Context& context, Words words);
net::asio::awaitable<int> ConfigPublish(Context& context, Words words);
net::asio::awaitable<int> ConfigShow(Context& context, Words words);
net::asio::awaitable<int> ConfigHistory(Context& context, Words words);
net::asio::awaitable<int> ConfigDiff(Context& context, Words words);
net::asio::awaitable<int> ConfigExceptions(Context& context, Words words);
net::asio::awaitable<int> Status(Context& context, Words words);
net::asio::awaitable<int> Explain(Context& context, Words words);
net::asio::awaitable<int> Drain(Context& context, Words words);

}  // namespace beryllane::ctl

#endif  // BERYLLANE_SRC_CTL_CONTEXT_H_
