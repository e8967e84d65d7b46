// Targets that send unusual or endless bytes, as scripted TCP servers behind a
// router.
#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <mutex>
#include <thread>
#include <vector>

#include "src/net/runtime.h"
#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Answers each request with fixed bytes, then repeats others until the router
// closes the connection, or closes or resets it if there are none.
class ScriptedTarget {
 public:
  ScriptedTarget(std::string answer, std::string repeated,
                 milliseconds pause = milliseconds(0))
      : answer_(std::move(answer)),
        repeated_(std::move(repeated)),
        pause_(pause),
        acceptor_(loop_, {net::asio::ip::make_address("127.0.0.1"), 0}),
        thread_([this] { Serve(); }) {}
  ~ScriptedTarget() {
    is_stopping_ = true;
    net::error_code ignored;
    net::tcp::socket(loop_).connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }
  ScriptedTarget(const ScriptedTarget&) = delete;
  ScriptedTarget& operator=(const ScriptedTarget&) = delete;

  net::Address address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  // Most bytes that the router took on one connection.
  std::size_t most_bytes() const { return most_bytes_; }
  void set_answer(std::string answer, bool is_reset) {
    const std::lock_guard lock(mutex_);
    answer_ = std::move(answer);
    is_reset_ = is_reset;
  }
  int requests() const { return requests_; }

 private:
  // The router also polls a target, beside the request of a test.
  void Serve() {
    std::vector<std::thread> connections;
    for (;;) {
      net::tcp::socket socket = acceptor_.accept();
      if (is_stopping_) break;
      connections.emplace_back(
          [this, taken = std::move(socket)]() mutable { Answer(taken); });
    }
    for (std::thread& connection : connections) connection.join();
  }

  void Answer(net::tcp::socket& socket) {
    net::error_code code;
    std::string request;
    net::asio::read_until(socket, net::asio::dynamic_buffer(request),
                          "\r\n\r\n", code);
    if (code) return;
    ++requests_;
    const std::string answer = PrepareAnswer(socket);
    std::size_t sent =
        net::asio::write(socket, net::asio::buffer(answer), code);
    while (!repeated_.empty() && !code && !is_stopping_) {
      sent += net::asio::write(socket, net::asio::buffer(repeated_), code);
      {
        const std::lock_guard lock(mutex_);
        most_bytes_ = std::max(most_bytes_.load(), sent);
      }
      std::this_thread::sleep_for(pause_);
    }
    // The destructor would not reset.
    socket.close(code);
  }

  std::string PrepareAnswer(net::tcp::socket& socket) {
    const std::lock_guard lock(mutex_);
    if (is_reset_) socket.set_option(net::asio::socket_base::linger(true, 0));
    return answer_;
  }

  std::mutex mutex_;
  std::string answer_;
  bool is_reset_ = false;
  std::string repeated_;
  milliseconds pause_;
  net::asio::io_context loop_;
  net::tcp::acceptor acceptor_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<std::size_t> most_bytes_{0};
  std::atomic<int> requests_{0};
  std::thread thread_;
};

class TargetBytes : public ::testing::Test {
 protected:
  // Bytes of one answer that a router may hold.
  static constexpr std::size_t kMaxAnswerBytes = 16 * 1024 * 1024;

  // Makes `target` the only one of a service.
  void Register(const ScriptedTarget& target, const std::string& service) {
    for (int i = 0; i < PlatformFleet::kRunners; ++i) fleet_.runner(i).Kill();
    for (int i = 0; i < PlatformFleet::kDesks; ++i) fleet_.desk(i).Kill();
    for (const char* id :
         {"runner-0", "runner-1", "runner-2", "desk-0", "desk-1"}) {
      fleet_.ControlStore(
          {{"drop", {{"topic", "keyed.servers"}, {"key", id}}}});
    }
    const json models = json::array({{{"name", PlatformFleet::kModel},
                                      {"version", 1},
                                      {"adapters", json::array()}}});
    fleet_.Put("keyed.servers", "scripted",
               {{"service", service},
                {"address", net::ToString(target.address())},
                {"zone", "zone-a"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"models", models},
                {"sequence", 1},
                {"born", 1}});
    EXPECT_TRUE(
        Eventually([&] { return fleet_.Metric(0, "beryllane_targets") == 1; }));
  }
  std::string Chat(const std::string& path,
                   milliseconds deadline = milliseconds(3000),
                   milliseconds patience = milliseconds(4000)) const {
    return CallRaw(
        fleet_.router_address(0),
        "POST " + path + " HTTP/1.1\r\nHost: " + PlatformFleet::kHost +
            "\r\nCredential: " + PlatformFleet::kKey +
            "\r\nAttempt-Id: c\r\nModel: m1\r\nToken-Usage: 10,20\r\n"
            "Prompt-Prefix: a:5,b:5\r\nDeadline-Ms: " +
            std::to_string(deadline.count()) +
            "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        patience);
  }

  PlatformFleet fleet_;
};

std::string StreamHead() {
  return "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n"
         "Content-Type: text/event-stream\r\n\r\n";
}

TEST_F(TargetBytes, AnAnswerWithNeitherLengthNorChunksEndsWithItsConnection) {
  const ScriptedTarget target("HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n\r\nall",
                              "");
  Register(target, "desk");
  const auto answer = fleet_.Send(0, "/book/x", "r");
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer.value().result_int(), 200U);
  EXPECT_EQ(answer.value().body(), "all");
}

TEST_F(TargetBytes, AStreamWithNeitherLengthNorChunksEndsAfterItsLastEvent) {
  const ScriptedTarget target(StreamHead() + "id: 1\ndata: a\n\n", "");
  Register(target, "scribe");
  for (const char* path : {"/chat/x", "/advice/x"}) {
    const std::string answer = Chat(path);
    EXPECT_NE(answer.find("data: a\n\n"), std::string::npos) << answer;
    EXPECT_TRUE(answer.ends_with(kLastChunk)) << answer;
  }
}

TEST_F(TargetBytes, AStreamThatEndsInsideAnEventNeverLooksComplete) {
  const ScriptedTarget target(StreamHead() + "id: 1\ndata: a\n\nid: 2\nda", "");
  Register(target, "scribe");
  for (const char* path : {"/chat/x", "/advice/x"}) {
    const std::string answer = Chat(path);
    EXPECT_NE(answer.find("data: a\n\n"), std::string::npos) << answer;
    EXPECT_FALSE(answer.ends_with(kLastChunk)) << answer;
  }
}

// Cuts that leave no whole answer, in its head and in its body.
const std::vector<std::string> kCutHeads{
    "HTTP/1.1 2",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Le",
    "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 0\r\n",
    "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r",
    "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n"};

TEST_F(TargetBytes, ACutHeadIsNeverASuccess) {
  ScriptedTarget target("", "");
  Register(target, "desk");
  for (const std::string& head : kCutHeads) {
    for (const bool is_reset : {false, true}) {
      target.set_answer(head, is_reset);
      const auto answer = fleet_.Send(0, "/book/x", "r");
      ASSERT_TRUE(answer.ok()) << head;
      EXPECT_EQ(answer.value().result_int(), 502U) << head;
    }
  }
}

TEST_F(TargetBytes, ACutHeadOfAStreamIsNeverASuccess) {
  ScriptedTarget target("", "");
  Register(target, "scribe");
  for (const std::string& head : kCutHeads) {
    for (const bool is_reset : {false, true}) {
      target.set_answer(head, is_reset);
      for (const char* path : {"/chat/x", "/advice/x"}) {
        const std::string answer = Chat(path);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 50")) << head << answer;
      }
    }
  }
}

TEST_F(TargetBytes, ACutBodyIsNeverASuccess) {
  const std::string head = "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  ScriptedTarget target("", "");
  Register(target, "desk");
  for (const std::string& bytes :
       {head + "Content-Length: 5\r\n\r\nhel", chunked, chunked + "5",
        chunked + "5\r\nhel", chunked + "5\r\nhello\r\n",
        chunked + "5\r\nhello\r\n0\r\n"}) {
    for (const bool is_reset : {false, true}) {
      target.set_answer(bytes, is_reset);
      const auto answer = fleet_.Send(0, "/book/x", "r");
      ASSERT_TRUE(answer.ok()) << bytes;
      EXPECT_EQ(answer.value().result_int(), 502U) << bytes;
    }
  }
}

TEST_F(TargetBytes, ACutBodyOfAStreamNeverLooksComplete) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n"
      "Content-Type: text/event-stream\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string event = "f\r\nid: 1\ndata: a\n\n\r\n";
  ScriptedTarget target("", "");
  Register(target, "scribe");
  for (const std::string& bytes :
       {head + "Content-Length: 30\r\n\r\nid: 1\ndata: a\n\n", chunked,
        chunked + event, chunked + event + "f", chunked + event + "0\r\n"}) {
    for (const bool is_reset : {false, true}) {
      target.set_answer(bytes, is_reset);
      for (const char* path : {"/chat/x", "/advice/x"}) {
        EXPECT_FALSE(Chat(path).ends_with(kLastChunk)) << bytes;
      }
    }
  }
  target.set_answer(head + "\r\nid: 1\ndata: a\n\n", true);
  for (const char* path : {"/chat/x", "/advice/x"}) {
    EXPECT_FALSE(Chat(path).ends_with(kLastChunk));
  }
}

TEST_F(TargetBytes, ABodyWithoutEndIsCutAtABound) {
  const ScriptedTarget target("HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n\r\n",
                              std::string(65536, 'x'));
  Register(target, "desk");
  const auto answer = fleet_.Send(0, "/book/x", "r");
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer.value().result_int(), 502U);
  EXPECT_LT(target.most_bytes(), kMaxAnswerBytes);
}

TEST_F(TargetBytes, ABodyThatDripsIsCutAtTheDeadline) {
  const ScriptedTarget target("HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n\r\n",
                              "x", milliseconds(50));
  Register(target, "desk");
  const auto start = std::chrono::steady_clock::now();
  const auto answer = fleet_.Send(0, "/book/x", "r", {{"Deadline-Ms", "600"}});
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer.value().result_int(), 504U);
  EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds(2000));
}

TEST_F(TargetBytes, AnswersToOtherRequestsDoNotExtendTheDeadline) {
  const std::string other =
      "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n";
  const ScriptedTarget target(other, other, milliseconds(300));
  Register(target, "desk");
  const auto answer = fleet_.Send(0, "/book/x", "r", {{"Deadline-Ms", "600"}});
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer.value().result_int(), 504U);
}

TEST_F(TargetBytes, AnEventWithoutEndIsCutAtABound) {
  const ScriptedTarget target(StreamHead() + "id: 1\ndata: ",
                              std::string(65536, 'x'));
  Register(target, "scribe");
  for (const char* path : {"/chat/x", "/advice/x"}) {
    EXPECT_FALSE(Chat(path).ends_with(kLastChunk));
  }
  EXPECT_LT(target.most_bytes(), kMaxAnswerBytes);
}

TEST_F(TargetBytes, AHeadWithoutEndIsCutAtABound) {
  const ScriptedTarget target("HTTP/1.1 200 OK\r\n", "X-More: of the same\r\n");
  Register(target, "desk");
  const auto answer = fleet_.Send(0, "/book/x", "r");
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer.value().result_int(), 502U);
  EXPECT_LT(target.most_bytes(), kMaxAnswerBytes);
}

TEST_F(TargetBytes, InterimHeadsWithoutEndAreCutAtABound) {
  const ScriptedTarget target("", "HTTP/1.1 100 Continue\r\n\r\n");
  Register(target, "desk");
  const auto answer = fleet_.Send(0, "/book/x", "r");
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer.value().result_int(), 502U);
  EXPECT_LT(target.most_bytes(), kMaxAnswerBytes);
}

// Begins of chunked bodies whose next line has no end: that of a chunk, the
// same after a whole chunk, and a trailer.
std::vector<std::string> EndlessLines() {
  const std::string head =
      "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string event = "f\r\nid: 1\ndata: a\n\n\r\n";
  return {head + "5;", head + event + "5;", head + event + "0\r\n"};
}

// Chunk extensions and trailers were kept without a bound.
TEST_F(TargetBytes, ALineWithoutEndInABodyIsCutAtABound) {
  ScriptedTarget target("", std::string(65536, 'x'));
  Register(target, "desk");
  for (const std::string& begin : EndlessLines()) {
    target.set_answer(begin, /*is_reset=*/false);
    const auto answer = fleet_.Send(0, "/book/x", "r");
    ASSERT_TRUE(answer.ok()) << begin;
    EXPECT_EQ(answer.value().result_int(), 502U) << begin;
    EXPECT_LT(target.most_bytes(), kMaxAnswerBytes) << begin;
  }
}

// Chunk extensions and trailers were kept without a bound.
TEST_F(TargetBytes, ALineWithoutEndInAStreamIsCutAtABound) {
  ScriptedTarget target("", std::string(65536, 'x'));
  Register(target, "scribe");
  for (const std::string& begin : EndlessLines()) {
    target.set_answer(begin, /*is_reset=*/false);
    for (const char* path : {"/chat/x", "/advice/x"}) {
      EXPECT_FALSE(Chat(path).ends_with(kLastChunk)) << begin;
    }
    EXPECT_LT(target.most_bytes(), kMaxAnswerBytes) << begin;
  }
}

// The wait for an answer to this request began anew with each byte of another.
TEST_F(TargetBytes, AnAnswerToAnotherRequestWithoutEndIsCutAtABound) {
  const std::string other = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\n";
  const ScriptedTarget target(other, std::string(65536, 'x'));
  Register(target, "desk");
  const auto answer = fleet_.Send(0, "/book/x", "r", {{"Deadline-Ms", "2000"}});
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer.value().result_int(), 502U);
  EXPECT_LT(target.most_bytes(), kMaxAnswerBytes);
}

// The wait for an answer to this request began anew with each byte of another.
TEST_F(TargetBytes, AnAnswerToAnotherRequestThatDripsIsCutAtTheDeadline) {
  const ScriptedTarget target("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\n",
                              "x", milliseconds(50));
  Register(target, "desk");
  const auto start = std::chrono::steady_clock::now();
  const auto answer = fleet_.Send(0, "/book/x", "r", {{"Deadline-Ms", "600"}});
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer.value().result_int(), 504U);
  EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds(1500));
}

// Bytes that came in quick succession kept an answer beyond its deadline.
TEST_F(TargetBytes, ASteadyAnswerIsCutAtTheDeadline) {
  ScriptedTarget target("", "x");
  Register(target, "desk");
  for (const char* status : {"200 OK", "500 Error"}) {
    target.set_answer(
        std::string("HTTP/1.1 ") + status + "\r\nResponse-Seal: s\r\n\r\n",
        /*is_reset=*/false);
    const auto start = std::chrono::steady_clock::now();
    const auto answer =
        fleet_.Send(0, "/book/x", "r", {{"Deadline-Ms", "800"}});
    ASSERT_TRUE(answer.ok());
    EXPECT_GE(answer.value().result_int(), 500U);
    EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds(1300));
  }
}

// Bytes that came in quick succession kept a stream beyond its deadline.
TEST_F(TargetBytes, ASteadyStreamIsCutAtTheDeadline) {
  const ScriptedTarget target(StreamHead(), "data: a\n\n");
  Register(target, "scribe");
  for (const char* path : {"/chat/x", "/advice/x"}) {
    const auto start = std::chrono::steady_clock::now();
    const std::string answer =
        Chat(path, /*deadline=*/milliseconds(1000), milliseconds(1500));
    EXPECT_NE(answer.find("data: a\n\n"), std::string::npos)
        << path << answer.substr(0, 1000);
    EXPECT_FALSE(answer.ends_with(kLastChunk));
    EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds(1500));
  }
}

TEST_F(TargetBytes, BytesThatAreNoAnswerAreCutAtABound) {
  const ScriptedTarget target("", std::string(65536, 'x'));
  Register(target, "desk");
  const auto answer = fleet_.Send(0, "/book/x", "r");
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer.value().result_int(), 502U);
  EXPECT_LT(target.most_bytes(), kMaxAnswerBytes);
}

}  // namespace
}  // namespace beryllane::testing
