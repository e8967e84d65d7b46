// Targets that announce in their answers that they leave, as a router sees it.
#include <gtest/gtest.h>

#include <algorithm>

#include "src/fleet/runner_protocol.h"

namespace beryllane::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class Leaving : public ::testing::Test {
 protected:
  Leaving() {
    RuntimeClock::Pause();
    fleet_.set_drain_timeout(milliseconds(2500));
    fleet_.set_on_leaving(
        [this](Runner& runner, const platform::TargetNotice&) {
          announced_.push_back(runner.entry.id);
        });
    service_.name = "s";
    route_.repeatability = Repeatability::kIdempotent;
    config_ = std::make_shared<FleetConfig>();
    List("a", 1);
    List("b", 2);
  }
  ~Leaving() override { RuntimeClock::Resume(); }

  // Lists a target at its own port.
  void List(const std::string& id, std::uint16_t port, std::int64_t born = 10) {
    TargetEntry entry;
    entry.id = id;
    entry.start_time = born;
    entry.service = "s";
    entry.address = {"10.0.0.1", port};
    entry.slots = 8;
    entry.sequence = ++beats_;
    fleet_.SetTarget(entry);
  }
  std::shared_ptr<Runner> At(const std::string& id) const {
    return fleet_.targets().at(id);
  }
  // Receives the head of an answer to a call of `asked`.
  void Receive(Runner& asked, int status, const std::string& giver = "") {
    net::CallOptions options;
    fleet_.WatchAnswers(asked, options);
    net::Response answer = net::MakeResponse(status, "", "");
    answer.set("Server-Leaving", "1");
    if (!giver.empty()) answer.set("Instance-Id", giver);
    options.on_head(answer.base());
  }
  std::vector<std::string> Open() const {
    std::vector<std::string> ids;
    for (const auto& runner : fleet_.AvailableTargets("s")) {
      ids.push_back(runner->entry.id);
    }
    return ids;
  }

  Fleet fleet_;
  std::vector<std::string> announced_;
  Service service_;
  Route route_;
  std::shared_ptr<FleetConfig> config_;
  std::uint64_t beats_ = 0;
};

using Ids = std::vector<std::string>;

TEST_F(Leaving, AnyAnswerTakesTheTargetOutOnce) {
  for (const int status : {200, 202, 409, 421, 429, 500, 503}) {
    const std::string id = "t" + std::to_string(status);
    List(id, static_cast<std::uint16_t>(status));
    Receive(*At(id), status);
    Receive(*At(id), status);
    EXPECT_EQ(Open(), (Ids{"a", "b"})) << status;
    EXPECT_EQ(std::count(announced_.begin(), announced_.end(), id), 1);
  }
}

TEST_F(Leaving, NoBeatOrReturnOfTheIncarnationBringsItBack) {
  Receive(*At("a"), 200);
  List("a", 1);
  EXPECT_EQ(Open(), Ids{"b"});
  fleet_.RemoveTarget("a");
  List("a", 1);
  EXPECT_EQ(Open(), Ids{"b"});
  List("a", 3);
  EXPECT_EQ(Open(), Ids{"b"});
  List("a", 3, 11);
  EXPECT_EQ(Open(), (Ids{"a", "b"}));
}

TEST_F(Leaving, ALateAnswerCountsForItsIncarnation) {
  const auto old = At("a");
  fleet_.RemoveTarget("a");
  Receive(*old, 200);
  List("a", 1);
  EXPECT_EQ(Open(), Ids{"b"});
  List("a", 1, 11);
  Receive(*old, 200);
  EXPECT_EQ(Open(), (Ids{"a", "b"}));
}

TEST_F(Leaving, AnAnswerIsCreditedToTheOwnerOfTheAddress) {
  const auto old = At("a");
  List("c", 1);
  Receive(*old, 421, "c");
  EXPECT_EQ(Open(), (Ids{"a", "b"}));
  List("d", 2);
  Receive(*At("b"), 421);
  EXPECT_EQ(Open(), (Ids{"a", "b"}));
  Receive(*At("b"), 200);
  EXPECT_EQ(Open(), Ids{"a"});
  Receive(*old, 421, "unknown");
  EXPECT_EQ(Open(), Ids{"a"});
}

TEST_F(Leaving, AnIdleConnectionIsKeptOnlyWhileTheTargetStays) {
  net::CallOptions options;
  fleet_.WatchAnswers(*At("a"), options);
  EXPECT_TRUE(options.may_reuse());
  Receive(*At("a"), 200);
  EXPECT_FALSE(options.may_reuse());
}

// A request on its way through placement.
class LeavingRequest : public Leaving {
 protected:
  LeavingRequest()
      : client_(loop_),
        store_(client_, {"127.0.0.1", 1}, registry_),
        peers_(loop_, store_, fleet_, {"h", "z", "127.0.0.1:2", "127.0.0.1:3"},
               registry_),
        quarantine_(loop_, store_, fleet_, peers_, "h", registry_),
        metrics_(registry_) {
    routed_.config = config_;
    routed_.route = &route_;
    routed_.service = &service_;
    routed_.started = RuntimeClock::now();
    routed_.deadline = routed_.started + seconds(60);
    prompt_.emplace(routed_.request, loop_.get_executor());
    protocol_.emplace(fleet_, peers_, quarantine_, settings_, metrics_,
                      received_, routed_, *prompt_);
  }

  // Sends the request unless it is withdrawn, which is returned.
  bool IsWithdrawn(const exchange::Target& target) {
    protocol_->Encode(target);
    if (protocol_->Options().may_send()) return false;
    Error error{ErrorId::kTargetWithdrawn, "", Verdict::kNotRun};
    protocol_->OnAttemptEnd(target, &error);
    EXPECT_TRUE(protocol_->ShouldRetry(error, ++attempts_));
    return true;
  }

  MetricRegistry registry_;
  net::asio::io_context loop_;
  net::HttpClient client_;
  platform::StoreClient store_;
  Peers peers_;
  PartQuarantine quarantine_;
  PlacementSettings settings_;
  FleetMetrics metrics_;
  net::Request received_;
  RoutedRequest routed_;
  std::optional<PromptRequest> prompt_;
  std::optional<RunnerProtocol> protocol_;
  int attempts_ = 0;
};

TEST_F(LeavingRequest, OneThatWaitsIsPlacedAnew) {
  const auto first = protocol_->Choose();
  ASSERT_TRUE(first.ok());
  Receive(*At(first.value().id), 200);
  ASSERT_TRUE(IsWithdrawn(first.value()));
  const auto second = protocol_->Choose();
  ASSERT_TRUE(second.ok());
  EXPECT_NE(second.value().id, first.value().id);
  EXPECT_FALSE(IsWithdrawn(second.value()));
  EXPECT_EQ(protocol_->attempts(), 1);
}

TEST_F(LeavingRequest, TheLastTargetServesUntilTheRuleEnds) {
  fleet_.RemoveTarget("b");
  const auto first = protocol_->Choose();
  ASSERT_TRUE(first.ok());
  Receive(*At("a"), 200);
  ASSERT_TRUE(IsWithdrawn(first.value()));
  const auto second = protocol_->Choose();
  ASSERT_TRUE(second.ok());
  RuntimeClock::Advance(seconds(30));
  EXPECT_FALSE(IsWithdrawn(second.value()));
}

TEST_F(LeavingRequest, ALateRequestIsRefusedAsNotRun) {
  Receive(*At("a"), 200);
  Receive(*At("b"), 200);
  routed_.started += milliseconds(2400);
  EXPECT_TRUE(protocol_->Choose().ok());
  routed_.started += milliseconds(1);
  const auto refused = protocol_->Choose();
  ASSERT_FALSE(refused.ok());
  EXPECT_EQ(refused.error().verdict, Verdict::kNotRun);
}

}  // namespace
}  // namespace beryllane::fleet
