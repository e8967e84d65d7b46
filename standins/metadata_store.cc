#include "standins/metadata_store.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <utility>

namespace beryllane::standins {
namespace {

using net::asio::awaitable;
using nlohmann::json;
using std::chrono::milliseconds;

void AppendBigEndian(std::string& out, std::uint64_t value, int bytes) {
  constexpr int kBitsPerByte = 8;
  for (int i = bytes - 1; i >= 0; --i) {
    out += static_cast<char>(value >> (i * kBitsPerByte) & 0xFF);
  }
}

std::string Base64(const std::string& bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string out(base64::encoded_size(bytes.size()), '\0');
  out.resize(base64::encode(out.data(), bytes.data(), bytes.size()));
  return out;
}

std::string Parameter(const ParsedTarget& target, const std::string& name) {
  const auto it = target.query.find(name);
  return it == target.query.end() ? "" : it->second;
}

}  // namespace

awaitable<void> MetadataStore::Respond(net::Exchange& exchange,
                                       net::Response answer) const {
  answer.set("Store-Era", std::to_string(era_));
  co_await exchange.Respond(std::move(answer));
}

awaitable<void> MetadataStore::Handle(net::Exchange& exchange) {
  ++calls_;
  if (faults_.silent) {
    co_await StaySilent();
  }
  co_await net::Sleep(faults_.answer_time);
  if (faults_.down) {
    co_await Respond(exchange, JsonAnswer(503, json::object()));
    co_return;
  }
  const ParsedTarget target = ParseTarget(net::Target(exchange.request()));
  if (target.path == "/api/log-read") {
    co_await Read(exchange, target);
  } else if (target.path == "/api/log-newest") {
    co_await Newest(exchange, target);
  } else if (target.path == "/api/log-append") {
    co_await Append(exchange, target);
  } else {
    co_await Respond(exchange, JsonAnswer(404, json::object()));
  }
}

awaitable<void> MetadataStore::Read(net::Exchange& exchange,
                                    const ParsedTarget& target) {
  constexpr milliseconds kPoll{5};
  constexpr int kOffsetBytes = 8;
  constexpr int kLengthBytes = 4;
  const std::string name = Parameter(target, "topic");
  ++reads_[name];
  const auto from = static_cast<std::uint64_t>(target.Number("from", 0));
  const auto limit =
      RuntimeClock::now() + milliseconds(target.Number("waitMs", 0));
  while (from == topics_[name].end() && RuntimeClock::now() < limit) {
    co_await net::Sleep(kPoll);
  }
  if (faults_.silent) {
    co_await StaySilent();
  }
  const Topic& topic = topics_[name];
  if (from < topic.first || from > topic.end()) {
    const json deleted{{"first", topic.first}};
    co_await Respond(exchange, JsonAnswer(410, deleted));
    co_return;
  }
  std::string body;
  AppendBigEndian(body, topic.end(), kOffsetBytes);
  AppendBigEndian(body, topic.first, kOffsetBytes);
  constexpr std::int64_t kDefaultKb = 1024;
  constexpr std::size_t kBytesPerKb = 1024;
  const auto most =
      std::min(faults_.answer_bytes,
               static_cast<std::size_t>(target.Number("maxKb", kDefaultKb)) *
                   kBytesPerKb);
  for (std::uint64_t offset = from;
       offset < topic.end() && (offset == from || body.size() < most);
       ++offset) {
    const Record& record = topic.records[offset - topic.first];
    AppendBigEndian(body, 1 + record.key.size() + record.value.size(),
                    kLengthBytes);
    body += static_cast<char>(record.key.size());
    body += record.key + record.value;
  }
  co_await Respond(exchange, net::MakeResponse(200, std::move(body),
                                               "application/octet-stream"));
}

awaitable<void> MetadataStore::Newest(net::Exchange& exchange,
                                      const ParsedTarget& target) {
  // Small pages, so that callers meet more than one.
  constexpr std::size_t kPage = 4;
  const Topic& topic = topics_[Parameter(target, "topic")];
  json items = json::array();
  auto it = topic.newest.upper_bound(Parameter(target, "after"));
  for (; it != topic.newest.end() && items.size() < kPage; ++it) {
    items.push_back({{"key", it->first},
                     {"value", Base64(it->second.second)},
                     {"offset", it->second.first}});
  }
  const json page{{"items", items},
                  {"more", it != topic.newest.end()},
                  {"end", topic.end()}};
  co_await Respond(exchange, JsonAnswer(200, page));
}

awaitable<void> MetadataStore::Append(net::Exchange& exchange,
                                      const ParsedTarget& target) {
  constexpr std::size_t kLengthBytes = 4;
  Topic& topic = topics_[Parameter(target, "topic")];
  const std::int64_t expected = target.Number("at", -1);
  if (expected >= 0 && static_cast<std::uint64_t>(expected) != topic.end()) {
    const json other_end{{"end", topic.end()}};
    co_await Respond(exchange, JsonAnswer(412, other_end));
    co_return;
  }
  const std::string body = exchange.TakeBody();
  const std::uint64_t offset = topic.end();
  const std::string content =
      body.size() > kLengthBytes ? body.substr(kLengthBytes) : "";
  const std::size_t key_length =
      content.empty() ? 0 : static_cast<unsigned char>(content[0]);
  if (content.size() <= key_length) {
    co_await Respond(exchange, JsonAnswer(400, json::object()));
    co_return;
  }
  Put(topic, content.substr(1, key_length), content.substr(1 + key_length));
  if (std::bernoulli_distribution(faults_.lose_answers)(random_)) {
    ++answers_lost_;
    exchange.CloseAfter();
    co_return;
  }
  const json appended{{"offset", offset}, {"end", topic.end()}};
  co_await Respond(exchange, JsonAnswer(200, appended));
}

void MetadataStore::Put(Topic& topic, std::string key, std::string value) {
  if (value.empty()) {
    topic.newest.erase(key);
  } else {
    topic.newest[key] = {topic.end(), value};
  }
  topic.records.push_back({std::move(key), std::move(value)});
}

void MetadataStore::ApplyChange(const json& change) {
  faults_.down = change.value("down", faults_.down);
  faults_.silent = change.value("silent", faults_.silent);
  faults_.answer_bytes = change.value("answer_bytes", faults_.answer_bytes);
  faults_.lose_answers = change.value("lose_answers", faults_.lose_answers);
  faults_.answer_time = std::chrono::milliseconds(
      change.value("answer_ms", std::int64_t{faults_.answer_time.count()}));
  if (change.contains("put")) {
    const json& put = change["put"];
    Put(topics_[put["topic"].get<std::string>()], put["key"].get<std::string>(),
        put["value"].is_string() ? put["value"].get<std::string>()
                                 : put["value"].dump());
  }
  if (change.contains("drop")) {
    const json& drop = change["drop"];
    Put(topics_[drop["topic"].get<std::string>()],
        drop["key"].get<std::string>(), "");
  }
  if (change.value("copy", false)) copy_ = topics_;
  if (change.value("restore", false)) {
    topics_ = copy_;
    ++era_;
  }
  if (change.contains("forget_history")) {
    Topic& topic = topics_[change["forget_history"].get<std::string>()];
    topic.first = topic.end();
    topic.records.clear();
  }
}

awaitable<void> MetadataStore::Control(net::Exchange& exchange) {
  const json change = json::parse(exchange.request().body(), nullptr, false);
  if (change.is_object()) ApplyChange(change);
  json ends = json::object();
  for (const auto& [name, topic] : topics_) ends[name] = topic.end();
  const json counts{{"calls", calls_},
                    {"answers_lost", answers_lost_},
                    {"reads", reads_},
                    {"ends", ends}};
  co_await exchange.Respond(JsonAnswer(200, counts));
}

}  // namespace beryllane::standins
