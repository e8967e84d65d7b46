// What a client of the store believes when the store returns from a copy.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "platform/store_client.h"
#include "src/caller/error_response.h"
#include "src/net/http_server.h"

namespace beryllane::platform {
namespace {

using nlohmann::json;

// Answers with the era and body that are set.
class StoreEraTest : public ::testing::Test {
 protected:
  struct Scripted {
    std::string era;
    std::string body;
  };

  StoreEraTest()
      : server_(
            pool_, {}, [this](net::Exchange& e) { return Answer(e); },
            caller::ErrorResponse),
        client_(pool_.at(0)),
        store_(client_, server_.Listen({"127.0.0.1", 0}).value(), metrics_) {
    store_.OnRestore([this] { ++restores_; });
  }

  net::asio::awaitable<void> Answer(net::Exchange& exchange) {
    const Scripted next = script_.front();
    script_.erase(script_.begin());
    net::Response answer =
        net::MakeResponse(200, next.body, "application/json");
    answer.set("Store-Era", next.era);
    co_await exchange.Respond(std::move(answer));
  }
  static std::string Page(const std::string& key, bool has_more) {
    const json item{{"key", key}, {"value", ""}, {"offset", 1}};
    return json{{"items", json::array({item})}, {"more", has_more}, {"end", 2}}
        .dump();
  }
  // Runs one call to its end.
  template <typename Outcome>
  std::optional<Outcome> Await(net::asio::awaitable<Outcome> call) {
    std::optional<Outcome> outcome;
    net::asio::co_spawn(
        pool_.at(0),
        [&]() -> net::asio::awaitable<void> {
          outcome = co_await std::move(call);
        },
        net::asio::detached);
    while (!outcome && pool_.at(0).run_one_for(std::chrono::seconds(5)) > 0) {
    }
    return outcome;
  }

  net::ContextPool pool_{1};
  MetricRegistry metrics_;
  net::HttpServer server_;
  net::HttpClient client_;
  StoreClient store_;
  std::vector<Scripted> script_;
  int restores_ = 0;
};

TEST_F(StoreEraTest, TheFirstEraIsNoReturn) {
  script_ = {{"7", Page("a", false)}};
  EXPECT_TRUE(Await(store_.ReadNewest("t"))->ok());
  EXPECT_EQ(store_.era().number, 7U);
  EXPECT_EQ(restores_, 0);
}

TEST_F(StoreEraTest, PagesOfTwoErasAreNotPutTogether) {
  script_ = {{"7", Page("a", true)}, {"8", Page("b", false)}};
  EXPECT_FALSE(Await(store_.ReadNewest("t"))->ok());
  EXPECT_EQ(store_.era().number, 8U);
  EXPECT_EQ(restores_, 1);
}

TEST_F(StoreEraTest, AnAnswerOfAnEarlierEraIsNotBelieved) {
  script_ = {{"8", Page("a", false)}, {"7", Page("b", false)}};
  EXPECT_TRUE(Await(store_.ReadNewest("t"))->ok());
  EXPECT_FALSE(Await(store_.ReadNewest("t"))->ok());
  EXPECT_EQ(store_.era().number, 8U);
}

TEST_F(StoreEraTest, AnAppendOverAReturnHasNoOutcome) {
  script_ = {{"7", Page("a", false)}, {"8", R"({"offset":5,"end":6})"}};
  EXPECT_TRUE(Await(store_.ReadNewest("t"))->ok());
  const auto appended = Await(store_.Append("t", "k", "v", 5));
  ASSERT_FALSE(appended->ok());
  EXPECT_EQ(appended->error().verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(restores_, 1);
}

// A field of another type ended the loop that follows the store.
TEST_F(StoreEraTest, AnAnswerWithFieldsOfOtherTypesIsAnError) {
  script_ = {{"7", R"({"items":[{"key":1,"value":2,"offset":"x"}],"end":"2"})"},
             {"7", R"({"offset":"5","end":{}})"}};
  const auto read = Await(store_.ReadNewest("t"));
  ASSERT_TRUE(read.has_value());
  EXPECT_FALSE(read->ok());
  const auto appended = Await(store_.Append("t", "k", "v", std::nullopt));
  ASSERT_TRUE(appended.has_value());
  EXPECT_FALSE(appended->ok());
}

}  // namespace
}  // namespace beryllane::platform
