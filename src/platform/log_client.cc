#include "src/platform/log_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "fmt/format.h"
#include "src/net/spawn.h"

namespace beryllane::platform {
namespace {

using net::asio::awaitable;
using nlohmann::json;
using std::chrono::milliseconds;

Error InvalidResponseError(const std::string& path, std::string_view what) {
  return {ErrorId::kLogAnswerInvalid, fmt::format("{}: {}", path, what),
          Verdict::kMayHaveRun};
}

// The verdict is `kMayHaveRun` because a status other than 200 does not prove
// that the service refused the write.
Error StatusError(const std::string& path, int status) {
  return {ErrorId::kLogUnavailable,
          fmt::format("{} answered with status {}", path, status),
          Verdict::kMayHaveRun};
}

LogPage DecodePage(const json& response) {
  LogPage page;
  page.first = response.at("first").get<std::uint64_t>();
  page.end = response.at("end").get<std::uint64_t>();
  for (const json& record : response.at("records")) {
    const auto& bytes = record.at(2).get_binary();
    page.records.push_back(
        {record.at(0).get<std::uint64_t>(),
         WallTime(milliseconds(record.at(1).get<std::int64_t>())),
         std::string(bytes.begin(), bytes.end())});
  }
  return page;
}

}  // namespace

HttpLogStream::HttpLogStream(net::HttpClient& client,
                             net::asio::io_context& context,
                             net::Address address, std::string name,
                             MetricRegistry& metrics, LogClientOptions options)
    : client_(client),
      context_(context),
      address_(std::move(address)),
      path_("/v1/streams/" + name + "/records"),
      options_(options),
      appends_(metrics.GetCounter("beryllane_log_appends_total",
                                  "Appends sent to the log service",
                                  {{"stream", name}})),
      reads_(metrics.GetCounter("beryllane_log_reads_total",
                                "Reads sent to the log service",
                                {{"stream", name}})),
      failures_(metrics.GetCounter("beryllane_log_failures_total",
                                   "Calls to the log service that failed",
                                   {{"stream", name}})) {}

void HttpLogStream::Append(std::string data, AppendHandler done) {
  net::Spawn(context_.get_executor(), "append",
             RunAppend(std::move(data), std::move(done)));
}

void HttpLogStream::Read(std::uint64_t from, ReadHandler done) {
  net::Spawn(context_.get_executor(), "read", RunRead(from, std::move(done)));
}

awaitable<void> HttpLogStream::RunAppend(std::string data, AppendHandler done) {
  auto result = co_await AppendRecord(std::move(data));
  done(std::move(result));
}

awaitable<void> HttpLogStream::RunRead(std::uint64_t from, ReadHandler done) {
  auto result = co_await ReadPage(from, milliseconds(0));
  done(std::move(result));
}

awaitable<Result<AppendAck>> HttpLogStream::AppendRecord(std::string data) {
  appends_.Add();
  net::Request request =
      net::MakeRequest(net::http::verb::post, path_, std::move(data),
                       "application/octet-stream");
  net::CallOptions options;
  options.connect_timeout = options_.timeout;
  options.answer_timeout = options_.timeout;
  options.total_timeout = 3 * options_.timeout;
  auto response = co_await client_.Call(address_, std::move(request), options);
  if (!response.ok()) {
    failures_.Add();
    Error error = response.error();
    error.id = ErrorId::kLogUnavailable;
    co_return error;
  }
  const int status = static_cast<int>(response.value().result_int());
  if (status != 200) {
    failures_.Add();
    co_return StatusError(path_, status);
  }
  const json body = json::parse(response.value().body(), nullptr, false);
  if (!body.is_object() || !body.contains("offset") ||
      !body.contains("time_ms")) {
    failures_.Add();
    co_return InvalidResponseError(
        path_,
        "invalid append response: expected a JSON object with "
        "offset and time_ms");
  }
  AppendAck ack;
  ack.offset = body["offset"].get<std::uint64_t>();
  ack.time = WallTime(milliseconds(body["time_ms"].get<std::int64_t>()));
  co_return ack;
}

awaitable<Result<LogPage>> HttpLogStream::ReadPage(std::uint64_t from,
                                                   milliseconds wait) {
  reads_.Add();
  net::Request request = net::MakeRequest(
      net::http::verb::get,
      fmt::format("{}?from={}&wait_ms={}", path_, from, wait.count()));
  net::CallOptions options;
  options.connect_timeout = options_.timeout;
  options.answer_timeout = options_.timeout + wait;
  options.total_timeout = 3 * options_.timeout + wait;
  auto response = co_await client_.Call(address_, std::move(request), options);
  if (!response.ok()) {
    failures_.Add();
    Error error = response.error();
    error.id = ErrorId::kLogUnavailable;
    co_return error;
  }
  const int status = static_cast<int>(response.value().result_int());
  if (status != 200) {
    failures_.Add();
    co_return StatusError(path_, status);
  }
  try {
    const json body = json::from_cbor(response.value().body());
    LogPage page = DecodePage(body);
    co_return page;
  } catch (const json::exception& e) {
    failures_.Add();
    co_return InvalidResponseError(path_, e.what());
  }
}

}  // namespace beryllane::platform
