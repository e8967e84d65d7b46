// The quarantine of prompt parts in one process: several routers' quarantines
// on one store stand-in, with runners whose ports refuse connections.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "beryllane/hash/hash.h"
#include "src/caller/error_response.h"
#include "src/fleet/part_quarantine.h"
#include "src/net/http_server.h"
#include "standins/metadata_store.h"

namespace beryllane::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

// Nothing listens on the port of `tcpmux`.
const net::Address kRefusedAddress{"127.0.0.1", 1};

platform::CallerRequest RequestWith(const std::string& part) {
  platform::CallerRequest request;
  request.model = "m";
  request.parts = {{"shared", 100}, {part, 100}, {"own", 10}};
  return request;
}

// One router's quarantine and what it needs.
struct Router {
  Router(net::asio::io_context& loop, platform::StoreClient& store,
         const std::string& host)
      : peers(loop, store, fleet, {host, "z", "127.0.0.1:2", "127.0.0.1:3"},
              metrics),
        quarantine(loop, store, fleet, peers, host, metrics) {
    net::asio::co_spawn(loop, quarantine.Run(), net::asio::detached);
  }

  MetricRegistry metrics;
  Fleet fleet;
  Peers peers;
  PartQuarantine quarantine;
};

class PartQuarantineTest : public ::testing::Test {
 protected:
  PartQuarantineTest()
      : store_server_(
            pool_, {},
            [this](net::Exchange& e) { return store_standin_.Handle(e); },
            caller::ErrorResponse),
        client_(pool_.at(0)),
        store_address_(store_server_.Listen({"127.0.0.1", 0}).value()),
        store_(client_, store_address_, metrics_) {
    for (const char* host : {"a", "b"}) {
      routers_.push_back(std::make_unique<Router>(pool_.at(0), store_, host));
    }
  }

  void RunFor(milliseconds time) { pool_.at(0).run_for(time); }

  std::shared_ptr<Runner> RunnerAt(const std::string& id,
                                   const net::Address& address) {
    auto runner = std::make_shared<Runner>();
    runner->entry.id = id;
    runner->entry.address = address;
    runner->id_hash = HashBytes(id).low;
    return runner;
  }
  // A request that its runner breaks off after the head of the answer; whether
  // it was admitted.
  bool BreakOff(Router& router, const std::string& part,
                const std::shared_ptr<Runner>& runner) {
    PromptRequest request(RequestWith(part), pool_.at(0).get_executor());
    if (router.quarantine.Admit(request)) return false;
    request.OnSent(runner, RuntimeClock::now());
    request.OnHead(RuntimeClock::now());
    router.quarantine.OnBroken(request);
    router.quarantine.Leave(request);
    RunFor(milliseconds(30));
    return true;
  }
  // Crashes runners until `part` is quarantined at the first router, and waits
  // until the store has the verdict.
  void Convict(const std::string& part) {
    for (int i = 0; i < 3; ++i) {
      const std::string id = "runner-" + std::to_string(i);
      EXPECT_TRUE(BreakOff(*routers_[0], part, RunnerAt(id, kRefusedAddress)));
    }
    RunFor(milliseconds(300));
    ReadStore();
  }
  // Lets all routers read the store's verdicts.
  void ReadStore() {
    const auto read = [this]() -> net::asio::awaitable<void> {
      auto page =
          co_await store_.ReadNewest(std::string(platform::kQuarantineTopic));
      EXPECT_TRUE(page.ok());
      if (!page.ok()) co_return;
      for (auto& router : routers_) {
        router->quarantine.OnRecordSet(page.value());
      }
    };
    net::asio::co_spawn(pool_.at(0), read(), net::asio::detached);
    RunFor(milliseconds(50));
  }
  bool IsAdmitted(Router& router, const std::string& part) {
    PromptRequest request(RequestWith(part), pool_.at(0).get_executor());
    const bool is_admitted = !router.quarantine.Admit(request);
    router.quarantine.Leave(request);
    return is_admitted;
  }
  // The request that a router admits as a trial; null if there is none.
  std::unique_ptr<PromptRequest> TakeTrial(Router& router) {
    auto request = std::make_unique<PromptRequest>(RequestWith("dead"),
                                                   pool_.at(0).get_executor());
    if (router.quarantine.Admit(*request)) return nullptr;
    return request;
  }
  // Lets the quarantine lapse and both routers ask the store for the trial.
  void AskForTrials() {
    RuntimeClock::Advance(quarantine::QuarantineTable::kFirstDuration);
    for (auto& router : routers_) EXPECT_FALSE(IsAdmitted(*router, "dead"));
    RunFor(milliseconds(100));
    ReadStore();
  }

  net::ContextPool pool_{1};
  standins::MetadataStore store_standin_{1};
  net::HttpServer store_server_;
  net::HttpClient client_;
  MetricRegistry metrics_;
  net::Address store_address_;
  platform::StoreClient store_;
  std::vector<std::unique_ptr<Router>> routers_;
};

TEST_F(PartQuarantineTest, AVerdictHoldsAtRoutersThatReadItFromTheStore) {
  Convict("dead");
  for (auto& router : routers_) {
    EXPECT_FALSE(IsAdmitted(*router, "dead"));
    EXPECT_TRUE(IsAdmitted(*router, "fine"));
  }
}

TEST_F(PartQuarantineTest, ABrokenAnswerOfALivingTargetIsNoCrash) {
  for (int i = 0; i < 6; ++i) {
    const auto runner = RunnerAt("runner-" + std::to_string(i), store_address_);
    EXPECT_TRUE(BreakOff(*routers_[0], "fine", runner));
  }
  EXPECT_TRUE(IsAdmitted(*routers_[0], "fine"));
}

TEST_F(PartQuarantineTest, ARequestIsSentAgainAfterOneCrashButNotAfterTwo) {
  PromptRequest request(RequestWith("dead"), pool_.at(0).get_executor());
  EXPECT_FALSE(routers_[0]->quarantine.IsRepeatUnsafe(request));
  BreakOff(*routers_[0], "dead", RunnerAt("runner-0", kRefusedAddress));
  EXPECT_TRUE(routers_[0]->quarantine.IsRepeatUnsafe(request));
}

TEST_F(PartQuarantineTest, AVerdictStopsRequestsThatHaveNoAnswerYet) {
  PromptRequest waiting(RequestWith("dead"), pool_.at(0).get_executor());
  PromptRequest sound(RequestWith("fine"), pool_.at(0).get_executor());
  int stopped = 0;
  for (PromptRequest* request : {&waiting, &sound}) {
    EXPECT_FALSE(routers_[0]->quarantine.Admit(*request));
    net::asio::co_spawn(pool_.at(0), request->WaitForQuarantine(),
                        [&stopped](const std::exception_ptr&) { ++stopped; });
  }
  Convict("dead");
  EXPECT_EQ(stopped, 1);
  for (PromptRequest* request : {&waiting, &sound}) {
    routers_[0]->quarantine.Leave(*request);
  }
}

TEST_F(PartQuarantineTest, OneRouterTriesALapsedPartAndItsAnswerEndsIt) {
  Convict("dead");
  AskForTrials();
  int trials = 0;
  for (auto& router : routers_) {
    auto taken = TakeTrial(*router);
    if (!taken) continue;
    ++trials;
    EXPECT_FALSE(IsAdmitted(*router, "dead"));
    router->quarantine.OnComplete(*taken);
    router->quarantine.Leave(*taken);
  }
  EXPECT_EQ(trials, 1);
  RunFor(milliseconds(100));
  ReadStore();
  for (auto& router : routers_) EXPECT_TRUE(IsAdmitted(*router, "dead"));
}

TEST_F(PartQuarantineTest, ATrialThatCrashesDoublesTheQuarantine) {
  Convict("dead");
  AskForTrials();
  for (auto& router : routers_) {
    BreakOff(*router, "dead", RunnerAt("runner-0", kRefusedAddress));
  }
  PromptRequest request(RequestWith("dead"), pool_.at(0).get_executor());
  for (auto& router : routers_) {
    EXPECT_FALSE(IsAdmitted(*router, "dead"));
    EXPECT_GT(router->quarantine.TimeToTrial(request), minutes(3));
  }
}

// The id of a part that is no UTF-8 ended the loop that writes verdicts.
TEST_F(PartQuarantineTest, APartWhoseIdIsNoTextIsWrittenToTheStore) {
  const std::string part = "\xff\xfe";
  Convict(part);
  EXPECT_FALSE(IsAdmitted(*routers_[1], part));
}

TEST_F(PartQuarantineTest, AnUnreadableVerdictIsIgnored) {
  for (const char* value :
       {"x", "{}", R"({"strikes":"1"})", R"({"strikes":0})"}) {
    routers_[0]->quarantine.OnRecord({"00000000000000aa", value, 1});
  }
  routers_[0]->quarantine.OnRecord({"no hash", R"({"strikes":1})", 2});
  EXPECT_NE(routers_[0]->metrics.Serialize().find(
                "beryllane_fleet_quarantined_parts 0"),
            std::string::npos);
}

}  // namespace
}  // namespace beryllane::fleet
