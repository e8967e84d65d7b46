// Peers that read slowly, and connections that nobody uses any more.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "src/net/http_client.h"
#include "src/net/http_server.h"
#include "src/net/socket_options.h"

namespace beryllane::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMuch = 4 * 1024 * 1024;
// Longer than the kernel waits for the acknowledgement of sent bytes at first.
constexpr milliseconds kPause = 2 * kUnacknowledgedTimeout;

tcp::acceptor ListenWithSmallWindow(asio::io_context& loop) {
  constexpr int kWindow = 16 * 1024;
  tcp::acceptor acceptor(loop, tcp::v4());
  acceptor.set_option(asio::socket_base::receive_buffer_size(kWindow));
  acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
  acceptor.listen();
  return acceptor;
}

// The kernel ended the connection to a target that paused in its reading.
TEST(SlowPeer, ATargetMayPauseInALongRequest) {
  asio::io_context loop(1);
  tcp::acceptor acceptor = ListenWithSmallWindow(loop);
  HttpClient client(loop);
  Result<Response> answer =
      Error{ErrorId::kTargetSilent, "no answer", Verdict::kMayHaveRun};
  const auto serve = [&]() -> asio::awaitable<void> {
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    co_await Sleep(kPause);
    std::string received;
    co_await asio::async_read(socket, asio::dynamic_buffer(received),
                              asio::transfer_at_least(kMuch), kAsTuple);
    static const std::string kAnswer =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(kAnswer), kAsTuple);
  };
  const auto call = [&]() -> asio::awaitable<void> {
    const Address address{"127.0.0.1", acceptor.local_endpoint().port()};
    Request request = MakeRequest(http::verb::post, "/",
                                  std::string(kMuch, 'x'), "text/plain");
    answer = co_await client.Call(address, std::move(request), {});
    loop.stop();
  };
  asio::co_spawn(loop, serve(), asio::detached);
  asio::co_spawn(loop, call(), asio::detached);
  loop.run_for(seconds(30));
  EXPECT_TRUE(answer.ok()) << answer.error().message;
}

// The kernel ended the connection to a caller that paused in its reading.
TEST(SlowPeer, ACallerMayPauseInALongAnswer) {
  ContextPool pool(1);
  const Handler handler = [](Exchange& exchange) -> asio::awaitable<void> {
    Response response =
        MakeResponse(200, std::string(kMuch, 'x'), "text/plain");
    EXPECT_TRUE(co_await exchange.Respond(std::move(response)));
  };
  HttpServer server(pool, {}, handler, [](const Error& error) {
    return MakeResponse(400, error.message, "text/plain");
  });
  const auto address = server.Listen({"127.0.0.1", 0});
  ASSERT_TRUE(address.ok());
  pool.Start();
  asio::io_context loop(1);
  tcp::socket caller(loop, tcp::v4());
  constexpr int kWindow = 16 * 1024;
  caller.set_option(asio::socket_base::receive_buffer_size(kWindow));
  caller.connect({asio::ip::make_address("127.0.0.1"), address.value().port});
  asio::write(caller,
              asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: h\r\n"
                                            "Connection: close\r\n\r\n")));
  std::this_thread::sleep_for(kPause);
  std::string received;
  error_code code;
  asio::read(caller, asio::dynamic_buffer(received), code);
  EXPECT_EQ(code, asio::error::eof) << code.message();
  EXPECT_GT(received.size(), kMuch);
  pool.Stop();
  pool.Join();
}

// Idle connections to a target that was not called again stayed open for ever.
TEST(IdleConnection, IsClosedWhenItsTimeHasPassed) {
  asio::io_context loop(1);
  tcp::acceptor acceptor = ListenWithSmallWindow(loop);
  HttpClient client(loop);
  bool is_closed = false;
  const auto serve = [&]() -> asio::awaitable<void> {
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::string received;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(received),
                                    "\r\n\r\n", kAsTuple);
    static const std::string kAnswer =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(kAnswer), kAsTuple);
    const auto [code, bytes] = co_await asio::async_read(
        socket, asio::dynamic_buffer(received), kAsTuple);
    is_closed = code == asio::error::eof;
    loop.stop();
  };
  const auto call = [&]() -> asio::awaitable<void> {
    const Address address{"127.0.0.1", acceptor.local_endpoint().port()};
    CallOptions options;
    options.unstated_idle_limit = milliseconds(200);
    Request request = MakeRequest(http::verb::get, "/");
    const auto answer =
        co_await client.Call(address, std::move(request), options);
    EXPECT_TRUE(answer.ok());
    client.CloseExpired();
    EXPECT_EQ(client.idle_connections(), 1U);
    co_await Sleep(milliseconds(250));
    client.CloseExpired();
    EXPECT_EQ(client.idle_connections(), 0U);
  };
  asio::co_spawn(loop, serve(), asio::detached);
  asio::co_spawn(loop, call(), asio::detached);
  loop.run_for(seconds(10));
  EXPECT_TRUE(is_closed);
}

}  // namespace
}  // namespace beryllane::net
