// Answers that are cut at each byte, by a close or a reset, are never whole.
#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <mutex>
#include <optional>
#include <thread>

#include "fmt/format.h"
#include "src/net/http_client.h"
#include "src/net/runtime.h"

namespace beryllane::net {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kWholeAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// The body of a whole answer; nothing if the call failed.
using Body = std::optional<std::string>;

struct Cut {
  std::string bytes;
  bool is_reset = false;
  // Whether a whole answer comes first on the connection.
  bool is_kept = false;
};

// Answers on each connection as `Cut` says, then closes it.
class CuttingServer {
 public:
  CuttingServer()
      : acceptor_(loop_, {asio::ip::make_address("127.0.0.1"), 0}),
        thread_([this] { Serve(); }) {}
  ~CuttingServer() {
    is_stopping_ = true;
    error_code ignored;
    tcp::socket(loop_).connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }
  CuttingServer(const CuttingServer&) = delete;
  CuttingServer& operator=(const CuttingServer&) = delete;

  Address address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  int connections() const { return connections_; }
  // Holds from the next connection on.
  void set_cut(Cut cut) {
    const std::lock_guard lock(mutex_);
    cut_ = std::move(cut);
  }

 private:
  void Serve() {
    for (;;) {
      tcp::socket socket = acceptor_.accept();
      if (is_stopping_) return;
      ++connections_;
      const Cut cut = TakeCut();
      if (cut.is_kept) Answer(socket, kWholeAnswer);
      Answer(socket, cut.bytes);
      error_code ignored;
      if (cut.is_reset) {
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
      }
      socket.close(ignored);
    }
  }
  Cut TakeCut() {
    const std::lock_guard lock(mutex_);
    return cut_;
  }
  static void Answer(tcp::socket& socket, std::string_view bytes) {
    error_code ignored;
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), kHeadEnd, ignored);
    asio::write(socket, asio::buffer(bytes.data(), bytes.size()), ignored);
  }

  std::mutex mutex_;
  Cut cut_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<int> connections_{0};
  asio::io_context loop_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

class CutAnswers : public ::testing::Test {
 protected:
  // Reads an answer in parts; its body.
  asio::awaitable<Body> ReadParts() {
    Request request = MakeRequest(http::verb::get, "/");
    const CallOptions options;
    auto opened =
        co_await client_->Open(server_.address(), std::move(request), options);
    if (!opened.ok()) co_return std::nullopt;
    std::string body;
    for (;;) {
      auto part = co_await opened.value()->Read();
      if (!part.ok()) co_return std::nullopt;
      if (part.value().empty()) co_return body;
      body += part.value();
    }
  }
  asio::awaitable<Body> ReadWhole() {
    Request request = MakeRequest(http::verb::get, "/");
    const CallOptions options;
    auto answer =
        co_await client_->Call(server_.address(), std::move(request), options);
    if (!answer.ok()) co_return std::nullopt;
    co_return answer.value().body();
  }
  // What a new client gets.
  Body Get(const Cut& cut, bool in_parts) {
    client_.emplace(context_);
    server_.set_cut(cut);
    const int connections = server_.connections();
    if (cut.is_kept) {
      EXPECT_EQ(Run(ReadWhole()), "ok");
    }
    auto body = Run(in_parts ? ReadParts() : ReadWhole());
    EXPECT_EQ(server_.connections(), connections + 1);
    return body;
  }
  // Calls `check` with the result of each way to cut and to read.
  template <typename Check>
  void ForEachWay(const std::string& bytes, Check check) {
    for (const bool is_reset : {false, true}) {
      for (const bool is_kept : {false, true}) {
        for (const bool in_parts : {false, true}) {
          const Cut cut{bytes, is_reset, is_kept};
          SCOPED_TRACE(::testing::Message()
                       << "after \"" << bytes << "\", reset " << is_reset
                       << ", kept " << is_kept << ", in parts " << in_parts);
          check(Get(cut, in_parts), is_reset);
        }
      }
    }
  }
  void ExpectWholeOnlyAtTheEnd(const std::string& answer,
                               const std::string& body) {
    for (std::size_t size = 1; size < answer.size(); ++size) {
      ForEachWay(answer.substr(0, size), [](const auto& got, bool /*reset*/) {
        EXPECT_EQ(got, std::nullopt);
      });
    }
    ForEachWay(answer,
               [&](const auto& got, bool /*reset*/) { EXPECT_EQ(got, body); });
  }

 private:
  Body Run(asio::awaitable<Body> operation) {
    Body result;
    bool is_done = false;
    asio::co_spawn(context_, std::move(operation),
                   [&](const std::exception_ptr& failure, Body body) {
                     EXPECT_FALSE(failure);
                     result = std::move(body);
                     is_done = true;
                   });
    // Timers that nothing waits for may still be pending.
    context_.restart();
    while (!is_done) context_.run_one();
    return result;
  }

  CuttingServer server_;
  asio::io_context context_{1};
  std::optional<HttpClient> client_;
};

TEST_F(CutAnswers, WithALength) {
  ExpectWholeOnlyAtTheEnd(
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nhello", "hello");
}

TEST_F(CutAnswers, WithoutABody) {
  ExpectWholeOnlyAtTheEnd(
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: y\r\n\r\n", "");
  ExpectWholeOnlyAtTheEnd("HTTP/1.1 204 No Content\r\nX: y\r\n\r\n", "");
}

TEST_F(CutAnswers, InChunks) {
  ExpectWholeOnlyAtTheEnd(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n"
      "5\r\nhello\r\n0010;x=y\r\n, and good bye..\r\n0\r\nT: t\r\n\r\n",
      "hello, and good bye..");
}

TEST_F(CutAnswers, AfterAnInterimHead) {
  ExpectWholeOnlyAtTheEnd(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
      "hi");
}

TEST_F(CutAnswers, WithNeitherLengthNorChunks) {
  const std::string head = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n";
  const std::string body = "hello";
  for (std::size_t size = 1; size < head.size(); ++size) {
    ForEachWay(head.substr(0, size), [](const auto& got, bool /*reset*/) {
      EXPECT_EQ(got, std::nullopt);
    });
  }
  for (std::size_t size = 0; size <= body.size(); ++size) {
    const std::string part = body.substr(0, size);
    ForEachWay(head + part, [&](const auto& got, bool is_reset) {
      EXPECT_EQ(got, is_reset ? Body() : Body(part));
    });
  }
}

// An answer with status 000 was skipped as an interim one.
TEST_F(CutAnswers, WithAStatusThatIsNone) {
  for (const char* status : {"000", "001", "099", "600", "999"}) {
    for (const char* body : {"Content-Length: 2\r\n\r\nok",
                             "Content-Length: 0\r\n\r\n", "\r\nok"}) {
      ForEachWay(
          fmt::format("HTTP/1.1 {} X\r\n{}{}", status, body, kWholeAnswer),
          [](const auto& got, bool /*reset*/) {
            EXPECT_EQ(got, std::nullopt);
          });
    }
  }
}

TEST_F(CutAnswers, WithALineThatIsNoField) {
  for (const std::string& line :
       {std::string("X Y: z"), std::string("X\tY: z"), std::string("X\x01: z"),
        std::string("X\x7f: z"), std::string("X : z"), std::string("X\0: z", 5),
        std::string(": z"), std::string("X"), std::string("\xc3\xa9: z"),
        std::string("X(: z"), std::string("X: \x01z"), std::string("X: z\0", 5),
        std::string("X: z\rY: z")}) {
    for (const std::string& head :
         {line + "\r\nContent-Length: 2", "Content-Length: 2\r\n" + line,
          "X: y\r\n" + line}) {
      ForEachWay("HTTP/1.1 200 OK\r\n" + head + "\r\n\r\nok",
                 [](const auto& got, bool /*reset*/) {
                   EXPECT_EQ(got, std::nullopt);
                 });
    }
  }
}

}  // namespace
}  // namespace beryllane::net
