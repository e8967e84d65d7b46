#include "tests/support/fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "src/net/http_client.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kZones[] = {"iasi-a", "cluj-a", "bucuresti-a"};
constexpr const char* kRegions[] = {"iasi", "cluj", "bucuresti"};

// Each test process has a loopback address of its own, so that tests that run
// at once cannot take each other's ports.
std::string OwnLoopback() {
  const auto id = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + (id >> 16) % 250) + "." +
         std::to_string(id >> 8 & 0xFF) + "." + std::to_string(id & 0xFF);
}

bool Answers(const net::Address& address, const std::string& target) {
  const auto answer = Call(address, net::http::verb::get, target, "", {},
                           std::chrono::seconds(1));
  return answer.ok() && answer.value().result_int() == 200;
}

}  // namespace

net::Address FreeAddress() {
  constexpr std::uint16_t kFirstPort = 20000;
  static std::uint16_t next_port = kFirstPort;
  return {OwnLoopback(), next_port++};
}

json ControlAt(const net::Address& address, const json& change) {
  const auto answer =
      Call(address, net::http::verb::post, "/control", change.dump());
  if (!answer.ok()) return nullptr;
  return json::parse(answer.value().body(), nullptr, false);
}

double ReadMetric(const net::Address& address, const std::string& prefix) {
  const auto answer = Call(address, net::http::verb::get, "/metrics");
  if (!answer.ok()) return 0;
  std::istringstream lines(answer.value().body());
  double sum = 0;
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with(prefix)) continue;
    sum += std::strtod(line.substr(line.rfind(' ') + 1).c_str(), nullptr);
  }
  return sum;
}

Process::Process(const std::string& path,
                 const std::vector<std::string>& arguments,
                 const std::string& log_file) {
  std::vector<char*> argv{const_cast<char*>(path.c_str())};
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int code =
      posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (code != 0) throw std::runtime_error("cannot start " + path);
}

Process::~Process() { Kill(); }

Process::Process(Process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)) {}

Process& Process::operator=(Process&& other) noexcept {
  if (this != &other) {
    Kill();
    pid_ = std::exchange(other.pid_, -1);
  }
  return *this;
}

void Process::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

std::chrono::nanoseconds Process::ProcessorTime() const {
  clockid_t clock{};
  timespec time{};
  if (clock_getcpuclockid(pid_, &clock) != 0) return {};
  clock_gettime(clock, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

void Process::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  Wait();
}

int Process::Wait() {
  if (pid_ <= 0) return -1;
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::optional<int> Process::EndedWith() {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

Result<net::Response> Call(const net::Address& address, net::http::verb method,
                           const std::string& target, const std::string& body,
                           const Headers& headers, milliseconds timeout) {
  net::asio::io_context loop(1);
  net::HttpClient client(loop);
  net::Request request =
      net::MakeRequest(method, target, body, "application/json");
  for (const auto& [name, value] : headers) request.set(name, value);
  net::CallOptions options;
  options.answer_timeout = timeout;
  Result<net::Response> result = Error{
      ErrorId::kTargetFailed, "the call did not finish", Verdict::kMayHaveRun};
  net::asio::co_spawn(
      loop,
      [&]() -> net::asio::awaitable<void> {
        result = co_await client.Call(address, std::move(request), options);
        loop.stop();
      },
      net::asio::detached);
  loop.run();
  return result;
}

std::string CallRaw(const net::Address& address, const std::string& bytes,
                    milliseconds timeout) {
  net::asio::io_context loop(1);
  net::tcp::socket socket(loop);
  net::error_code code;
  socket.connect({net::asio::ip::make_address(address.ip), address.port}, code);
  net::asio::write(socket, net::asio::buffer(bytes), code);
  std::string received;
  net::asio::async_read(socket, net::asio::dynamic_buffer(received),
                        [](const net::error_code&, std::size_t) {});
  loop.run_for(timeout);
  return received;
}

std::string HeaderOf(const net::Response& answer, const std::string& name) {
  return std::string(net::Header(answer, name));
}

bool Eventually(const std::function<bool()>& is_true) {
  constexpr milliseconds kPoll{20};
  constexpr int kPolls = 3000;
  for (int i = 0; i < kPolls; ++i) {
    if (is_true()) return true;
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

json ExampleConfig() {
  std::ifstream in(BERYLLANE_SOURCE_DIR
                   "/examples/config/umplutura-moale.json");
  return json::parse(in);
}

Fleet::Fleet(int routers, int engines,
             std::vector<std::string> engine_arguments,
             std::vector<std::string> router_arguments)
    : router_arguments_(std::move(router_arguments)) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "beryllane-XXXXXX").string();
  directory_ = mkdtemp(pattern.data());
  platform_address_ = FreeAddress();
  platform_control_ = FreeAddress();
  service_address_ = FreeAddress();
  service_control_ = FreeAddress();
  platform_ = Process(BERYLLANE_PLATFORM,
                      {"--listen", net::ToString(platform_address_),
                       "--control_listen", net::ToString(platform_control_)},
                      LogFile("platform"));
  service_ = Process(BERYLLANE_SERVICE,
                     {"--listen", net::ToString(service_address_),
                      "--control_listen", net::ToString(service_control_)},
                     LogFile("service"));
  for (int i = 0; i < engines; ++i) {
    engine_ports_.push_back(FreeAddress());
    engine_controls_.push_back(FreeAddress());
    std::vector<std::string> arguments{"--listen",
                                       net::ToString(engine_ports_.back()),
                                       "--control_listen",
                                       net::ToString(engine_controls_.back()),
                                       "--id",
                                       "runner-" + std::to_string(i),
                                       "--seed",
                                       std::to_string(i + 1)};
    arguments.insert(arguments.end(), engine_arguments.begin(),
                     engine_arguments.end());
    engines_.emplace_back(BERYLLANE_ENGINE, arguments,
                          LogFile("runner-" + std::to_string(i)));
  }
  for (int i = 0; i < routers; ++i) {
    router_ports_.push_back(FreeAddress());
    admin_ports_.push_back(FreeAddress());
    peer_ports_.push_back(FreeAddress());
    routers_.emplace_back();
  }
  if (!Eventually([&] { return Answers(platform_address_, "/v1/hosts"); })) {
    throw std::runtime_error("the platform stand-in did not start");
  }
  for (int i = 0; i < routers; ++i) {
    PutHost("router-" + std::to_string(i),
            {{"role", "router"},
             {"zone", kZones[i % 3]},
             {"address", net::ToString(router_ports_[i])},
             {"peer_address", net::ToString(peer_ports_[i])},
             {"state", "live"}});
  }
  for (int i = 0; i < engines; ++i) {
    PutHost("runner-" + std::to_string(i), EngineHost(i, "live"));
  }
  PutHost("desk-0", {{"role", "service"},
                     {"pool", "order-desk"},
                     {"zone", "cluj-a"},
                     {"address", net::ToString(service_address_)},
                     {"state", "live"}});
  Publish(0, ExampleConfig(), "first");
  for (int i = 0; i < engines; ++i) {
    if (!Eventually([&] { return Answers(engine_ports_[i], "/load"); })) {
      throw std::runtime_error("an engine stand-in did not start");
    }
  }
  for (int i = 0; i < routers; ++i) StartRouter(i);
  for (int i = 0; i < routers; ++i) {
    const bool is_ready =
        WaitReady(i) && Eventually([&] {
          const json status = StatusOf(i);
          return status.is_object() &&
                 status["targets"].size() ==
                     static_cast<std::size_t>(engines) + 1 &&
                 status["routers"].size() == static_cast<std::size_t>(routers);
        });
    if (!is_ready) throw std::runtime_error("a router did not become ready");
  }
}

std::string Fleet::LogFile(const std::string& name) const {
  return directory_ + "/" + name + ".log";
}

void Fleet::StartRouter(int i) {
  std::string peers;
  for (std::size_t p = 0; p < peer_ports_.size() && p < 3; ++p) {
    if (!peers.empty()) peers += ',';
    peers += net::ToString(peer_ports_[p]);
  }
  std::vector<std::string> arguments{"--listen",
                                     net::ToString(router_ports_[i]),
                                     "--admin_listen",
                                     net::ToString(admin_ports_[i]),
                                     "--peer_listen",
                                     net::ToString(peer_ports_[i]),
                                     "--host_id",
                                     "router-" + std::to_string(i),
                                     "--availability_zone",
                                     kZones[i % 3],
                                     "--region",
                                     kRegions[i % 3],
                                     "--log_service",
                                     net::ToString(platform_address_),
                                     "--host_list",
                                     net::ToString(platform_address_),
                                     "--peers",
                                     peers,
                                     "--fatal_invariants"};
  arguments.insert(arguments.end(), router_arguments_.begin(),
                   router_arguments_.end());
  routers_[i] = Process(BERYLLANE_ROUTER, arguments,
                        LogFile("router-" + std::to_string(i)));
}

bool Fleet::WaitReady(int i) const {
  return Eventually([&] { return Answers(router_ports_[i], "/readyz"); });
}

Result<net::Response> Fleet::Complete(int router, const std::string& prompt,
                                      int tokens, bool is_stream,
                                      const Headers& headers) const {
  const json body{
      {"model", "bead-7b"},
      {"stream", is_stream},
      {"max_tokens", tokens},
      {"messages", json::array({{{"role", "system"}, {"content", prompt}},
                                {{"role", "user"}, {"content", "verdict?"}}})}};
  Headers all = headers;
  all.emplace_back("Authorization", std::string("Bearer ") + kKey);
  return Call(router_ports_[router], net::http::verb::post,
              "/v1/chat/completions", body.dump(), all);
}

Result<net::Response> Fleet::Book(int router, const std::string& key,
                                  const std::string& body,
                                  const Headers& headers) const {
  Headers all = headers;
  all.emplace_back("Authorization", std::string("Bearer ") + kKey);
  all.emplace_back("Idempotency-Key", key);
  return Call(router_ports_[router], net::http::verb::post,
              "/services/order-desk/refills", body, all);
}

json Fleet::ControlEngine(int i, const json& change) const {
  return ControlAt(engine_controls_[i], change);
}

json Fleet::ControlPlatform(const json& change) const {
  return ControlAt(platform_control_, change);
}

json Fleet::ControlService(const json& change) const {
  return ControlAt(service_control_, change);
}

void Fleet::Publish(std::uint64_t base, const json& patch,
                    const std::string& id) const {
  const json change{{"type", "change"}, {"id", id},      {"base", base},
                    {"author", "test"}, {"comment", ""}, {"patch", patch}};
  const auto answer = Call(platform_address_, net::http::verb::post,
                           "/v1/streams/config/records", change.dump());
  if (!answer.ok()) throw std::runtime_error(answer.error().message);
}

void Fleet::PutHost(const std::string& id, const json& host) const {
  const auto answer = Call(platform_address_, net::http::verb::put,
                           "/v1/hosts/" + id, host.dump());
  if (!answer.ok()) throw std::runtime_error(answer.error().message);
}

json Fleet::EngineHost(int i, const std::string& state) const {
  return {{"role", "runner"},
          {"pool", "assistant"},
          {"zone", kZones[i % 3]},
          {"address", net::ToString(engine_ports_[i])},
          {"state", state}};
}

json Fleet::StatusOf(int router) const {
  const auto answer =
      Call(admin_ports_[router], net::http::verb::get, "/status");
  if (!answer.ok()) return nullptr;
  return json::parse(answer.value().body(), nullptr, false);
}

double Fleet::Metric(int router, const std::string& prefix) const {
  return ReadMetric(admin_ports_[router], prefix);
}

std::string Fleet::NewKey(const std::string& name) {
  return std::to_string(RuntimeClock::WallNow().time_since_epoch().count()) +
         "-" + name;
}

std::string StreamText(const std::string& events) {
  std::istringstream lines(events);
  std::string text;
  for (std::string line; std::getline(lines, line);) {
    constexpr std::string_view kData = "data: ";
    if (!line.starts_with(kData)) continue;
    const json event = json::parse(line.substr(kData.size()), nullptr, false);
    if (!event.is_object() || !event.contains("choices")) continue;
    text +=
        event["choices"][0].value("delta", json::object()).value("content", "");
  }
  return text;
}

}  // namespace beryllane::testing
