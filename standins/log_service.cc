#include "standins/log_service.h"

#include <algorithm>

namespace beryllane::standins {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view kPrefix = "/v1/streams/";
constexpr std::string_view kSuffix = "/records";
constexpr std::size_t kMaxPage = 1000;
constexpr std::size_t kMaxPageBytes = 4 * 1024 * 1024;
constexpr milliseconds kReadPoll{20};

std::int64_t NowMs() {
  return RuntimeClock::WallNow().time_since_epoch().count();
}

json Binary(const std::string& data) {
  return json::binary(std::vector<std::uint8_t>(data.begin(), data.end()));
}

}  // namespace

void LogService::SetFaults(const json& change) {
  faults_.down = change.value("down", faults_.down);
  faults_.silent = change.value("silent", faults_.silent);
  faults_.lose_answers = change.value("lose_answers", faults_.lose_answers);
  faults_.stale_records = change.value("stale_records", faults_.stale_records);
  faults_.appends_per_second =
      change.value("appends_per_second", faults_.appends_per_second);
  faults_.append_time =
      milliseconds(change.value("append_ms", faults_.append_time.count()));
  faults_.retention =
      milliseconds(change.value("retention_ms", faults_.retention.count()));
}

json LogService::Report() const {
  json streams = json::object();
  for (const auto& [name, stream] : streams_) {
    streams[name] = {{"first", stream.first}, {"end", stream.end()}};
  }
  return {{"appends", appends_},  {"answers_lost", answers_lost_},
          {"reads", reads_},      {"streams", streams},
          {"down", faults_.down}, {"silent", faults_.silent}};
}

net::asio::awaitable<void> LogService::Handle(net::Exchange& exchange,
                                              const ParsedTarget& target) {
  if (faults_.silent) {
    co_await StaySilent();
  }
  if (faults_.down) {
    net::Response answer = JsonAnswer(503, {{"error", "down"}});
    co_await exchange.Respond(std::move(answer));
    co_return;
  }
  const std::string_view path = target.path;
  if (!path.ends_with(kSuffix) || path.size() <= kPrefix.size()) {
    net::Response answer = JsonAnswer(404, {{"error", "no such path"}});
    co_await exchange.Respond(std::move(answer));
    co_return;
  }
  const std::string name(path.substr(
      kPrefix.size(), path.size() - kPrefix.size() - kSuffix.size()));
  Stream& stream = streams_[name];
  if (exchange.request().method() == net::http::verb::post) {
    co_await Append(exchange, stream);
  } else {
    co_await Read(exchange, stream, target);
  }
}

net::asio::awaitable<void> LogService::WaitForSlot() {
  const auto now = RuntimeClock::now();
  const auto step = std::chrono::nanoseconds(std::chrono::seconds(1)) /
                    std::max<std::int64_t>(faults_.appends_per_second, 1);
  next_slot_ = std::max(next_slot_, now) + step;
  co_await net::Sleep(next_slot_ - step - now + faults_.append_time);
}

net::asio::awaitable<void> LogService::Append(net::Exchange& exchange,
                                              Stream& stream) {
  co_await WaitForSlot();
  if (faults_.down) {
    net::Response answer = JsonAnswer(503, {{"error", "down"}});
    co_await exchange.Respond(std::move(answer));
    co_return;
  }
  ++appends_;
  const std::uint64_t offset = stream.end();
  const std::int64_t time_ms = NowMs();
  stream.records.push_back({time_ms, exchange.TakeBody()});
  std::uniform_real_distribution<double> chance(0, 1);
  if (chance(random_) < faults_.lose_answers) {
    ++answers_lost_;
    exchange.CloseAfter();
    co_return;
  }
  net::Response answer =
      JsonAnswer(200, {{"offset", offset}, {"time_ms", time_ms}});
  co_await exchange.Respond(std::move(answer));
}

net::asio::awaitable<void> LogService::Read(net::Exchange& exchange,
                                            Stream& stream,
                                            const ParsedTarget& target) {
  ++reads_;
  Truncate(stream);
  const auto from = std::max<std::uint64_t>(
      static_cast<std::uint64_t>(target.Number("from", 0)), stream.first);
  const auto wait = milliseconds(target.Number("wait_ms", 0));
  const auto until = RuntimeClock::now() + wait;
  while (from >= stream.end() && RuntimeClock::now() < until) {
    co_await net::Sleep(kReadPoll);
    if (faults_.silent) {
      co_await StaySilent();
    }
    if (faults_.down) break;
  }
  const auto hidden = std::min<std::uint64_t>(
      static_cast<std::uint64_t>(faults_.stale_records), stream.records.size());
  const std::uint64_t end = stream.end() - hidden;
  json records = json::array();
  std::size_t bytes = 0;
  for (std::uint64_t offset = from;
       offset < end && records.size() < kMaxPage && bytes < kMaxPageBytes;
       ++offset) {
    const Record& record = stream.records[offset - stream.first];
    bytes += record.data.size();
    records.push_back(
        json::array({offset, record.time_ms, Binary(record.data)}));
  }
  std::string body;
  json::to_cbor(
      json{{"first", stream.first}, {"end", end}, {"records", records}}, body);
  co_await exchange.Respond(
      net::MakeResponse(200, std::move(body), "application/cbor"));
}

void LogService::Truncate(Stream& stream) const {
  const std::int64_t horizon = NowMs() - faults_.retention.count();
  while (!stream.records.empty() && stream.records.front().time_ms < horizon) {
    stream.records.pop_front();
    ++stream.first;
  }
}

}  // namespace beryllane::standins
