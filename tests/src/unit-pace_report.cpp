// What answers of targets teach a router about their pace.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

#include "src/fleet/runner_protocol.h"

namespace beryllane::fleet {
namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;
using std::chrono::seconds;

class PaceReport : public ::testing::Test {
 protected:
  static constexpr std::uint32_t kTokens = 8000;

  PaceReport()
      : acceptor_(loop_, {net::asio::ip::make_address("127.0.0.1"), 0}),
        client_(loop_),
        store_(client_, {"127.0.0.1", 1}, registry_),
        peers_(loop_, store_, fleet_, {"h", "z", "127.0.0.1:2", "127.0.0.1:3"},
               registry_),
        quarantine_(loop_, store_, fleet_, peers_, "h", registry_),
        metrics_(registry_) {
    RuntimeClock::Pause();
    service_.name = "s";
    service_.engine = EngineProperties{100000, 327680, 200000, 8};
    route_.repeatability = Repeatability::kIdempotent;
    route_.is_stream = true;
    TargetEntry entry;
    entry.id = "a";
    entry.service = "s";
    entry.address = {"127.0.0.1", acceptor_.local_endpoint().port()};
    entry.slots = 8;
    entry.weights["m"] = 1;
    fleet_.SetTarget(entry);
  }
  ~PaceReport() override { RuntimeClock::Resume(); }

  // Answers one request with the given load header.
  awaitable<void> Serve(std::string load) {
    auto socket = co_await acceptor_.async_accept(net::asio::use_awaitable);
    std::string received;
    co_await net::asio::async_read_until(socket,
                                         net::asio::dynamic_buffer(received),
                                         "\r\n\r\n", net::asio::use_awaitable);
    const std::string answer =
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n"
        "Content-Type: text/event-stream\r\nResponse-Seal: seal\r\n"
        "Instance-Load: " +
        load + "\r\n\r\n";
    co_await net::asio::async_write(socket, net::asio::buffer(answer),
                                    net::asio::use_awaitable);
  }
  // Runs one request whose head arrives after `elapsed` and whose events follow
  // one another in steps of `gap`.
  awaitable<void> Request(milliseconds elapsed, milliseconds gap) {
    constexpr int kEvents = 20;
    RoutedRequest routed;
    routed.config = config_;
    routed.route = &route_;
    routed.service = &service_;
    routed.request.id = "r" + std::to_string(++requests_);
    routed.request.model = "m";
    routed.request.parts = {{"own", kTokens}};
    routed.request.prompt_tokens = kTokens;
    routed.started = RuntimeClock::now();
    routed.deadline = routed.started + seconds(60);
    PromptRequest prompt(routed.request, loop_.get_executor());
    const net::Request received;
    RunnerProtocol protocol(fleet_, peers_, quarantine_, settings_, metrics_,
                            received, routed, prompt);
    const auto target = protocol.Choose();
    EXPECT_TRUE(target.ok());
    if (!target.ok()) co_return;
    protocol.Encode(target.value());
    RuntimeClock::Advance(elapsed);
    auto answer = co_await client_.Open(
        target.value().address,
        net::MakeRequest(net::http::verb::post, "/", "", ""), {});
    EXPECT_TRUE(answer.ok());
    if (!answer.ok()) co_return;
    EXPECT_EQ(protocol.Classify(*answer.value(), target.value()).kind,
              exchange::Classification::Kind::kRelay);
    for (int i = 1; i <= kEvents; ++i) {
      RuntimeClock::Advance(gap);
      EXPECT_TRUE(
          protocol.Feed("id: " + std::to_string(i) + "\ndata: w\n\n").ok());
    }
    protocol.OnAttemptEnd(target.value(), nullptr);
  }
  // Runs requests one after another.
  void Run(int count, const std::string& load, milliseconds elapsed,
           milliseconds gap) {
    for (int i = 0; i < count; ++i) {
      net::asio::co_spawn(loop_, Serve(load), net::asio::detached);
      net::asio::co_spawn(loop_, Request(elapsed, gap),
                          [this](const std::exception_ptr& error) {
                            EXPECT_FALSE(error);
                            loop_.stop();
                          });
      loop_.restart();
      loop_.run_for(seconds(10));
    }
  }
  Runner& Target() { return *fleet_.targets().at("a"); }

  net::asio::io_context loop_{1};
  net::asio::ip::tcp::acceptor acceptor_;
  MetricRegistry registry_;
  net::HttpClient client_;
  platform::StoreClient store_;
  Fleet fleet_;
  Peers peers_;
  PartQuarantine quarantine_;
  PlacementSettings settings_;
  FleetMetrics metrics_;
  Service service_;
  Route route_;
  std::shared_ptr<FleetConfig> config_ = std::make_shared<FleetConfig>();
  int requests_ = 0;
};

TEST_F(PaceReport, ATargetThatReportsItsPaceIsEstimatedFromItsAnswers) {
  Run(5, "1,0,8,100", milliseconds(204), milliseconds(9));
  const auto now = RuntimeClock::now();
  ASSERT_TRUE(Target().HasPace(now));
  // 8000 tokens in 204 ms, 4 ms of them outside of the prefill.
  EXPECT_NEAR(Target().PrefillTokensPerMs(now), 40, 1);
  EXPECT_NEAR(Target().StepTimeFactor(now), 1.5, 0.01);
  Run(16, "1,0,8,100", milliseconds(104), milliseconds(9));
  EXPECT_NEAR(Target().PrefillTokensPerMs(RuntimeClock::now()), 80, 1);
}

// Targets of the earlier deployments report three figures.
TEST_F(PaceReport, ATargetThatReportsNoPaceIsNotEstimated) {
  Run(5, "1,0,8", milliseconds(104), milliseconds(9));
  auto now = RuntimeClock::now();
  EXPECT_FALSE(Target().HasPace(now));
  EXPECT_EQ(Target().PrefillTokensPerMs(now), 40);
  EXPECT_EQ(Target().StepTimeFactor(now), 1);
  // Nothing was learned from these answers either.
  Target().RecordPace(100, now);
  EXPECT_EQ(Target().PrefillTokensPerMs(now), 40);
  EXPECT_EQ(Target().StepTimeFactor(now), 1);
}

}  // namespace
}  // namespace beryllane::fleet
