// Lists of the store in which other writers' keys hold any bytes.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "fmt/format.h"
#include "platform/config_codec.h"
#include "platform/store_client.h"
#include "src/caller/error_response.h"
#include "src/net/http_server.h"
#include "src/net/percent_encoding.h"
#include "standins/support.h"

namespace beryllane::platform {
namespace {

using nlohmann::json;

// How a store writes a key that is not UTF-8.
enum class KeyText { kRaw, kSurrogates };

std::string ToJsonString(const std::string& key, KeyText form) {
  std::string text = "\"";
  for (const char c : key) {
    const auto byte = static_cast<unsigned char>(c);
    const bool is_escaped = byte < ' ' || c == '"' || c == '\\' ||
                            (byte >= 0x80 && form == KeyText::kSurrogates);
    const int code = byte >= 0x80 ? 0xDC00 + byte : byte;
    text += is_escaped ? fmt::format("\\u{:04x}", code) : std::string(1, c);
  }
  return text + '"';
}

class StoreListTest : public ::testing::Test {
 protected:
  StoreListTest()
      : server_(
            pool_, {}, [this](net::Exchange& e) { return Answer(e); },
            caller::ErrorResponse),
        client_(pool_.at(0)),
        store_(client_, server_.Listen({"127.0.0.1", 0}).value(), metrics_) {}

  net::asio::awaitable<void> Answer(net::Exchange& exchange) {
    const auto call = static_cast<std::size_t>(calls_++);
    const auto target = standins::ParseTarget(net::Target(exchange.request()));
    const auto after = target.query.find("after");
    std::string body =
        fixed_pages_.empty()
            ? Page(after == target.query.end() ? "" : after->second)
            : fixed_pages_[call % fixed_pages_.size()];
    co_await exchange.Respond(
        net::MakeResponse(200, std::move(body), "application/json"));
  }
  std::string Page(const std::string& after) const {
    std::string items;
    auto it = keys_.upper_bound(after);
    for (int i = 0; i < page_size_ && it != keys_.end(); ++i, ++it) {
      items +=
          fmt::format("{}{{\"key\":{},\"value\":\"djE=\",\"offset\":1}}",
                      items.empty() ? "" : ",", ToJsonString(*it, key_text_));
    }
    return fmt::format("{{\"items\":[{}],\"more\":{},\"end\":{}}}", items,
                       it != keys_.end(), keys_.size());
  }
  Result<RecordPage> List(ListScope scope) {
    std::optional<Result<RecordPage>> outcome;
    net::asio::co_spawn(
        pool_.at(0),
        [&]() -> net::asio::awaitable<void> {
          outcome = co_await store_.ReadNewest("t", scope);
        },
        net::asio::detached);
    while (!outcome && pool_.at(0).run_one_for(std::chrono::seconds(5)) > 0) {
    }
    return std::move(outcome.value());
  }
  // Each key must be listed once, with each size of a page.
  void ExpectAllListed() {
    for (page_size_ = 1; page_size_ <= 3; ++page_size_) {
      const auto list = List(ListScope::kWhole);
      ASSERT_TRUE(list.ok()) << list.error().message;
      std::multiset<std::string> listed;
      for (const auto& record : list.value().records) {
        EXPECT_EQ(record.value, "v1");
        listed.insert(record.key);
      }
      EXPECT_EQ(listed, std::multiset<std::string>(keys_.begin(), keys_.end()));
    }
  }
  double Unreadable() {
    return static_cast<double>(
        metrics_.GetCounter("beryllane_store_unreadable_records_total", "")
            .value());
  }

  net::ContextPool pool_{1};
  MetricRegistry metrics_;
  net::HttpServer server_;
  net::HttpClient client_;
  StoreClient store_;
  std::set<std::string> keys_;
  KeyText key_text_ = KeyText::kRaw;
  int page_size_ = 1;
  // If set, the answers, in turn.
  std::vector<std::string> fixed_pages_;
  int calls_ = 0;
};

// A key was put into the query as it was, so that the list was never read.
TEST_F(StoreListTest, GoesOnAfterKeysWithCharactersOfAQuery) {
  keys_ = {"a&b", "a+b",  "a#b",  "a%b",  "a%41b",     "a b", " ",
           "a=b", "a/?b", "a\"b", "a\\b", "a\r\nX: y", "i-7", "z"};
  ExpectAllListed();
}

// One key that is not UTF-8 made the whole page unreadable.
TEST_F(StoreListTest, GoesOnAfterKeysThatAreNotUtf8) {
  keys_ = {"\x80", "\xff",     "a\xff",    "a\xc3", "a\xc3\xa9", "b",
           "c",    "\xef\x9e", "d\\udcff", "i-7",   "\xf0\x9f"};
  key_text_ = KeyText::kRaw;
  ExpectAllListed();
  key_text_ = KeyText::kSurrogates;
  ExpectAllListed();
}

TEST_F(StoreListTest, GoesOnAfterTheLongestKey) {
  keys_ = {"a", std::string(255, '&'), std::string(255, '\xfe'), "z"};
  ExpectAllListed();
}

// A page that named no further key was asked for again for ever.
TEST_F(StoreListTest, EndsWhereAPageDoesNotMoveOn) {
  for (const char* items :
       {R"([])", R"([{"key":"a","value":"djE=","offset":1}])",
        R"([{"key":"","value":"djE="}])", R"([{"key":7},8,null])"}) {
    SCOPED_TRACE(items);
    fixed_pages_ = {
        fmt::format(R"({{"items":{},"more":true,"end":9}})", items)};
    calls_ = 0;
    EXPECT_FALSE(List(ListScope::kWhole).ok());
    EXPECT_LE(calls_, 2);
    const auto list = List(ListScope::kReadable);
    ASSERT_TRUE(list.ok());
    EXPECT_FALSE(list.value().is_whole);
    EXPECT_EQ(list.value().next, 9U);
  }
}

// Pages that name the same keys in turn were asked for again for ever.
TEST_F(StoreListTest, EndsWherePagesRepeatTheirKeys) {
  fixed_pages_ = {R"({"items":[{"key":"a"}],"more":true,"end":5})",
                  R"({"items":[{"key":"b"}],"more":true,"end":5})"};
  EXPECT_FALSE(List(ListScope::kReadable).value().is_whole);
  EXPECT_LE(calls_, 6);
}

TEST_F(StoreListTest, ItemsThatCannotBeReadHideNoOthers) {
  fixed_pages_ = {
      R"({"items":[7,{"key":1},{"key":"a","value":"!"},{"key":"b"},)"
      R"({"key":"c","value":"djE=","offset":"x"}],"more":false,"end":9})"};
  const auto list = List(ListScope::kWhole);
  ASSERT_TRUE(list.ok());
  ASSERT_EQ(list.value().records.size(), 1U);
  EXPECT_EQ(list.value().records[0].key, "c");
  EXPECT_EQ(Unreadable(), 4);
}

// An id became part of a head as it was, so that it could add lines to it.
TEST(TargetIds, ThatCannotStandInAHeadNameNoTarget) {
  const json value{{"service", "desk"}, {"address", "10.0.0.1:80"},
                   {"zone", "a"},       {"slots", 1},
                   {"state", "ready"},  {"version", "v1"},
                   {"sequence", 1},     {"coldRemainingMs", 0}};
  for (const char* id : {"i-7", "a&b", "a b", "a%41", "a+b#c"}) {
    EXPECT_TRUE(DecodeTarget(id, value.dump()).ok()) << id;
  }
  for (const char* id : {"", " a", "a ", "a\r\nX: y", "a\nb", "a\tb", "a\x7f",
                         "a\xff", "\xc3\xa9"}) {
    EXPECT_FALSE(DecodeTarget(id, value.dump()).ok()) << id;
  }
}

}  // namespace
}  // namespace beryllane::platform
