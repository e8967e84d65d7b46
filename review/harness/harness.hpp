// Stand-ins for the review's scripts: clients, runners and the operator, as
// threads of one program, and the system's own programs as child processes.
// All addresses are loopback addresses, all ports are free ones.
#ifndef REVIEW_HARNESS_H_
#define REVIEW_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void SleepMs(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

inline std::int64_t NowMs() {
  static const auto start = Clock::now();
  return std::chrono::duration_cast<milliseconds>(Clock::now() - start).count();
}

// The record of a play: one line an event, with the time since the start.
class Record {
 public:
  static void Open(const std::string& path) {
    File() = fopen(path.c_str(), "w");
  }
  static void Line(const char* format, ...)
      __attribute__((format(printf, 1, 2))) {
    static std::mutex mutex;
    std::lock_guard<std::mutex> lock(mutex);
    va_list args;
    va_start(args, format);
    if (File()) {
      fprintf(File(), "%8.3f ", static_cast<double>(NowMs()) / 1000);
      vfprintf(File(), format, args);
      fputc('\n', File());
      fflush(File());
    }
    va_end(args);
  }

 private:
  static FILE*& File() {
    static FILE* file = nullptr;
    return file;
  }
};

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

inline bool HasTrouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline sockaddr_in Endpoint(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const std::string& ip, int port, int receive_buffer = 0,
                  int segment = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof receive_buffer);
  }
  if (segment > 0)
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  const sockaddr_in address = Endpoint(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// A loopback address on which all of these ports are free.
inline std::string FreeIp(const std::vector<int>& ports) {
  static std::mutex mutex;
  static std::mt19937 random(std::random_device{}());
  std::lock_guard<std::mutex> lock(mutex);
  for (;;) {
    const std::string ip = "127." + std::to_string(16 + random() % 200) + "." +
                           std::to_string(random() % 250) + "." +
                           std::to_string(1 + random() % 250);
    bool is_free = true;
    for (const int port : ports) {
      const int fd = Listen(ip, port);
      is_free = is_free && fd >= 0;
      if (fd >= 0) close(fd);
    }
    if (is_free) return ip;
  }
}

// One TCP connection with a buffer and a deadline for each call.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> Open(const std::string& ip, int port,
                                          int timeout_ms) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = Endpoint(ip, port);
    connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    pollfd waiting{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&waiting, 1, timeout_ms) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return nullptr;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Connection>(fd);
  }

  void Close() {
    if (fd_ >= 0) close(std::exchange(fd_, -1));
  }
  bool Write(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Reads what there is; false at the end, on an error or at `until`.
  bool Fill(Clock::time_point until = Clock::time_point::max()) {
    if (fd_ < 0) return false;
    if (until != Clock::time_point::max()) {
      const auto left =
          std::chrono::duration_cast<milliseconds>(until - Clock::now())
              .count();
      pollfd waiting{fd_, POLLIN, 0};
      if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) != 1) {
        is_late_ = true;
        return false;
      }
    }
    char bytes[65536];
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) return false;
    buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  bool is_late() const { return is_late_; }
  int fd() const { return fd_; }

  std::string buffer;

 private:
  int fd_;
  bool is_late_ = false;
};

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(tolower(c));
  return text;
}

// The head of a request or of an answer.
struct Head {
  std::string start;
  std::map<std::string, std::string> fields;  // Names in lower case.
  std::string Field(const std::string& name) const {
    const auto it = fields.find(Lower(name));
    return it == fields.end() ? "" : it->second;
  }
  int Status() const { return start.size() > 9 ? atoi(start.c_str() + 9) : 0; }
  std::string Word(int index) const {
    std::size_t at = 0;
    for (int i = 0; i < index; ++i) at = start.find(' ', at) + 1;
    return start.substr(at, start.find(' ', at) - at);
  }
};

inline bool ReadHead(Connection& from, Head& head,
                     Clock::time_point until = Clock::time_point::max()) {
  std::size_t end = 0;
  // Empty lines before a start line are skipped, as by common servers.
  for (;;) {
    const std::size_t first = from.buffer.find_first_not_of("\r\n");
    from.buffer.erase(0, std::min(first, from.buffer.size()));
    if (!from.buffer.empty()) break;
    if (!from.Fill(until)) return false;
  }
  while ((end = from.buffer.find("\r\n\r\n")) == std::string::npos) {
    if (from.buffer.size() > 65536 || !from.Fill(until)) return false;
  }
  const std::string text = from.buffer.substr(0, end + 2);
  from.buffer.erase(0, end + 4);
  head = {};
  std::size_t at = text.find("\r\n");
  head.start = text.substr(0, at);
  for (at += 2; at < text.size();) {
    const std::size_t next = text.find("\r\n", at);
    const std::string line = text.substr(at, next - at);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      head.fields[Lower(line.substr(0, colon))] = line.substr(value);
    }
    at = next + 2;
  }
  return true;
}

// Reads a body with a length or in chunks; false if it is not complete.
inline bool ReadBody(Connection& from, const Head& head, std::string& body,
                     Clock::time_point until = Clock::time_point::max()) {
  body.clear();
  if (Lower(head.Field("Transfer-Encoding")) == "chunked") {
    for (;;) {
      std::size_t line = 0;
      while ((line = from.buffer.find("\r\n")) == std::string::npos) {
        if (!from.Fill(until)) return false;
      }
      const std::size_t size = strtoul(from.buffer.c_str(), nullptr, 16);
      from.buffer.erase(0, line + 2);
      while (from.buffer.size() < size + 2) {
        if (!from.Fill(until)) return false;
      }
      body += from.buffer.substr(0, size);
      from.buffer.erase(0, size + 2);
      if (size == 0) return true;
    }
  }
  const std::string length = head.Field("Content-Length");
  const std::size_t size =
      length.empty() ? 0 : strtoul(length.c_str(), nullptr, 10);
  while (from.buffer.size() < size) {
    if (!from.Fill(until)) return false;
  }
  body = from.buffer.substr(0, size);
  from.buffer.erase(0, size);
  return true;
}

// What a client got for one attempt.
struct Answer {
  enum class Kind { kAnswered, kClosed, kLate, kNoConnection };
  Kind kind = Kind::kNoConnection;
  Head head;
  std::string body;
  std::int64_t took_ms = 0;
  int status() const { return kind == Kind::kAnswered ? head.Status() : 0; }
  std::string Text() const {
    if (kind == Kind::kAnswered) return std::to_string(head.Status());
    return kind == Kind::kClosed ? "closed"
           : kind == Kind::kLate ? "none"
                                 : "no-connection";
  }
};

// Sends one request on a new connection and waits until `deadline_ms`.
inline Answer Ask(const std::string& ip, int port, const std::string& request,
                  int deadline_ms) {
  const auto start = Clock::now();
  const auto until = start + milliseconds(deadline_ms);
  Answer answer;
  auto connection = Connection::Open(ip, port, 1000);
  if (connection) {
    answer.kind = Answer::Kind::kClosed;
    std::thread writer([&] { connection->Write(request); });
    if (ReadHead(*connection, answer.head, until) &&
        ReadBody(*connection, answer.head, answer.body, until)) {
      answer.kind = Answer::Kind::kAnswered;
    } else if (connection->is_late()) {
      answer.kind = Answer::Kind::kLate;
    }
    shutdown(connection->fd(), SHUT_RDWR);
    writer.join();
  }
  answer.took_ms =
      std::chrono::duration_cast<milliseconds>(Clock::now() - start).count();
  return answer;
}

inline std::string Request(
    const std::string& method, const std::string& path,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body) {
  std::string out = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : fields) out += name + ": " + value + "\r\n";
  if (method != "GET" || !body.empty()) {
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return out + "\r\n" + body;
}

inline std::string AnswerText(
    int status, const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : fields) out += name + ": " + value + "\r\n";
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// A child process; ended with the object.
class Process {
 public:
  Process() = default;
  ~Process() { End(SIGKILL); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start(const std::vector<std::string>& command, const std::string& log,
             const std::vector<std::string>& environment = {}) {
    std::vector<char*> arguments;
    for (const auto& word : command)
      arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    pid_ = fork();
    if (pid_ != 0) return;
    // It ends with this program, also where that is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    for (const auto& entry : environment)
      putenv(const_cast<char*>(entry.c_str()));
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  void Signal(int number) const {
    if (pid_ > 0) kill(pid_, number);
  }
  // Whether it still runs; sets `status()` once it has ended.
  bool IsRunning() {
    if (pid_ <= 0) return false;
    if (waitpid(pid_, &status_, WNOHANG) != pid_) return true;
    pid_ = -1;
    return false;
  }
  int status() const { return status_; }
  void End(int number) {
    if (pid_ <= 0) return;
    kill(pid_, number);
    waitpid(pid_, &status_, 0);
    pid_ = -1;
  }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int status_ = 0;
};

// The platform's store and what operator and runners write there.
class Store {
 public:
  bool Start(const std::string& build, const std::string& folder) {
    port = 8784;
    control_ = 8785;
    ip = FreeIp({port, control_});
    process.Start({build + "/standins/beryllane-store-standin",
                   "--listen=" + ip + ":" + std::to_string(port),
                   "--control_listen=" + ip + ":" + std::to_string(control_)},
                  folder + "/store.log");
    for (int i = 0; i < 200; ++i) {
      if (Change(json::object())) return true;
      SleepMs(25);
    }
    return false;
  }
  bool Change(const json& change) {
    const Answer answer =
        Ask(ip, control_,
            Request("POST", "/", {{"Host", "store"}}, change.dump()), 2000);
    return answer.status() == 200;
  }
  bool Put(const std::string& topic, const std::string& key,
           const json& value) {
    return Change(
        {{"put", {{"topic", topic}, {"key", key}, {"value", value}}}});
  }
  bool Drop(const std::string& topic, const std::string& key) {
    return Change({{"drop", {{"topic", topic}, {"key", key}}}});
  }

  std::string ip;
  int port = 0;
  Process process;

 private:
  int control_ = 0;
};

// A runner: answers each request with the handler; writes its entry into the
// store like a heartbeat.
class Runner {
 public:
  // Writes a record of the list of servers: id and entry.
  using Writer = std::function<void(const std::string&, const json&)>;
  // Called for each request, once its head is read. Returns whether the
  // connection is kept.
  using Handler = std::function<bool(Runner&, Connection&, const Head&)>;

  Runner(Store& store, std::string id, std::string service, std::string zone,
         std::string model, int slots, Handler handler)
      : Runner(Writer([&store](const std::string& key, const json& entry) {
                 store.Put("keyed.servers", key, entry);
               }),
               std::move(id), std::move(service), std::move(zone),
               std::move(model), slots, std::move(handler)) {}
  Runner(Writer writer, std::string id, std::string service, std::string zone,
         std::string model, int slots, Handler handler)
      : id(std::move(id)),
        writer_(std::move(writer)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        model_(std::move(model)),
        slots_(slots),
        handler_(std::move(handler)) {}
  ~Runner() { Stop(); }

  // `segment`: TCP's segment size, as of a link between machines; 0 is the
  // loopback's own.
  void Start(int receive_buffer = 0, int segment = 0) {
    listener_ = Listen(ip, 0, receive_buffer, segment);
    port = PortOf(listener_);
    born_ = std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    acceptor_ = std::thread([this] { Accept(); });
    heart_ = std::thread([this] {
      while (!is_stopped_) {
        Beat();
        for (int i = 0; i < 24 && !is_stopped_; ++i) SleepMs(50);
      }
    });
  }
  void Beat() {
    json models = json::array();
    if (!model_.empty()) {
      models.push_back({{"name", model_},
                        {"version", version.load()},
                        {"adapters", json::array()}});
    }
    writer_(id, {{"service", service_},
                 {"address", ip + ":" + std::to_string(port)},
                 {"zone", zone_},
                 {"version", "v1"},
                 {"slots", slots_},
                 {"state", "ready"},
                 {"coldRemainingMs", 0},
                 {"stage", "unified"},
                 {"models", models},
                 {"sequence", ++sequence_},
                 {"born", born_}});
  }
  // Ends all threads.
  void Stop() {
    if (is_stopped_.exchange(true)) return;
    if (listener_ >= 0) shutdown(listener_, SHUT_RDWR);
    if (acceptor_.joinable()) acceptor_.join();
    if (heart_.joinable()) heart_.join();
    if (listener_ >= 0) close(listener_);
    {
      std::lock_guard<std::mutex> lock(mutex_);
      for (auto& connection : open_) shutdown(connection->fd(), SHUT_RDWR);
    }
    for (auto& thread : threads_) thread.join();
  }
  bool is_stopped() const { return is_stopped_; }
  // The report of the runner's state.
  std::string Report() const {
    json models = json::array();
    if (!model_.empty()) {
      models.push_back({{"name", model_},
                        {"version", version.load()},
                        {"adapters", json::array()}});
    }
    return json{{"stage", "unified"},  {"models", models},
                {"busy", busy.load()}, {"sequence", orders.load()},
                {"queued", 0},         {"active", active.load()},
                {"kvUsed", 0},         {"kvTotal", 90000},
                {"handles", 0},        {"born", born_}}
        .dump();
  }

  std::string id;
  std::string ip = "127.0.0.1";
  int port = 0;
  std::atomic<std::uint64_t> version{1};
  std::atomic<int> orders{0};
  std::atomic<bool> busy{false};
  std::atomic<int> active{0};

 private:
  void Accept() {
    while (!is_stopped_) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) break;
      auto connection = std::make_shared<Connection>(fd);
      std::lock_guard<std::mutex> lock(mutex_);
      open_.push_back(connection);
      threads_.emplace_back([this, connection] {
        Head head;
        while (!is_stopped_ && ReadHead(*connection, head)) {
          if (!handler_(*this, *connection, head)) break;
        }
        shutdown(connection->fd(), SHUT_RDWR);
      });
    }
  }

  Writer writer_;
  std::string service_;
  std::string zone_;
  std::string model_;
  int slots_;
  Handler handler_;
  int listener_ = -1;
  std::int64_t born_ = 0;
  int sequence_ = 0;
  std::atomic<bool> is_stopped_{false};
  std::thread acceptor_;
  std::thread heart_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Connection>> open_;
  std::vector<std::thread> threads_;
};

// One router, started with the command of the deploy file.
class Router {
 public:
  void Start(const Store& store, const std::string& folder, int number,
             const std::string& zone, const std::string& region) {
    Start(store.ip + ":" + std::to_string(store.port), folder, number, zone,
          region);
  }
  void Start(const std::string& store, const std::string& folder, int number,
             const std::string& zone, const std::string& region) {
    // The metrics port is fixed there, so each router has its own address.
    if (ip.empty()) {
      ip = FreeIp({front, ready, control, first_port, first_port + 1, 9464});
    }
    name = "front-" + zone + "-" + std::to_string(number);
    const std::string path = folder + "/" + name + ".toml";
    std::ofstream out(path);
    out << "node = \"" << name
        << "\"\nrole = \"router\"\nmachineClass = \"front\"\n"
        << "serves = [\"front\"]\nip = \"" << ip << "\"\nzone = \"" << zone
        << "\"\nregion = \"" << region << "\"\ninternalPortRange = ["
        << first_port << "," << first_port + 15
        << "]\nseeds = []\nfirstStart = true\nlossCounts = false\n"
        << "discovery = \"platform\"\nentry = \"vip\"\nheartbeatIntervalMs = "
           "1200\n"
        << "contracts = "
           "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
        << "\"kvcache\",\"stream\",\"engine\",\"tenants\",\"platform\"]\n"
        << "[zones]\nakl-a = \"auckland\"\nwlg-a = \"wellington\"\nchc-a = "
           "\"christchurch\"\n"
        << "[listen]\nfront = \"" << ip << ":" << front << "\"\nready = \""
        << ip << ":" << ready << "\"\ncontrol = \"" << ip << ":" << control
        << "\"\n"
        << "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = "
           "4100\n"
        << "linkMbps = 1000.0\ndiskMb = 0\n"
        << "[faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n"
        << "[bounds]\nseedLagS = 3\naddressReuseS = 2\nstableWindowMs = 4000\n"
        << "ackTimeoutMs = 5000\ncatchUpS = 4\ndrainTimeoutMs = 2500\ngraceS = "
           "8\n"
        << "lossSlackMs = 200\nconfigPropagationMs = 2500\nrollbackSlackMs = "
           "250\n"
        << "maxStretchMs = 6000\nstrictRevocation = true\nrevokeMs = 5000\n"
        << "retryBudgetRatio = 0.2\nretryWindowS = 10\nretryBudgetSlack = 52\n"
        << "recoveryS = 12\ndeliveryDelayMs = 250\nretryAfterS = 10\n"
        << "fencingRequired = true\nleaseMs = 3000\nthawSlackMs = "
           "300\nversionMs = 8000\n"
        << "versionAllMs = 11000\n"
        << "[platform]\naddress = \"" << store
        << "\"\nform = \"log\"\nwritesPerS = 400\nreadsPerS = 2000\nparts = 8\n"
        << "appendMs = 4.0\npartMbS = 20.0\nreadMbS = 80.0\nrecordBytes = "
           "262144\n"
        << "callBytes = 2097152\nkeep_s = 300\npartMb = 200\nttlMinMs = 1000\n";
    out.close();
    const char* program = getenv("REVIEW_ROUTER");
    process.Start({program ? program : "target/apps/beryllaned", "--platform",
                   "--metrics_port=9464"},
                  folder + "/" + name + ".log", {"BERYLLANE_SETTINGS=" + path});
  }
  bool IsReady() const {
    return Ask(ip, ready, Request("GET", "/api/ready", {{"Host", "x"}}, ""),
               1000)
               .status() == 200;
  }
  bool WaitReady(int ms) {
    for (int i = 0; i < ms / 50; ++i) {
      if (IsReady()) return true;
      SleepMs(50);
    }
    return false;
  }

  std::string name;
  std::string ip;
  int front = 8782;
  int ready = 8789;
  int control = 8783;
  int first_port = 7340;
  Process process;
};

// A folder of its own for logs and settings; removed at the end.
class Folder {
 public:
  Folder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    path = mkdtemp(name.data());
  }
  ~Folder() {
    if (getenv("REVIEW_KEEP")) return;
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
  }
  std::string path;
};

inline std::string NewId() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  std::lock_guard<std::mutex> lock(mutex);
  char text[17];
  snprintf(text, sizeof text, "%016llx",
           static_cast<unsigned long long>(random()));
  return text;
}

// The parts of a configuration that all cases share.
inline json Limits() {
  return {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}};
}
inline json PlainService(const std::string& name) {
  return {{"name", name},
          {"healthPath", "/health"},
          {"maxConnections", 96},
          {"protocol", "h1"},
          {"tls", false}};
}
inline json EngineService(const std::string& name, const std::string& model) {
  return {{"name", name},
          {"healthPath", "/health"},
          {"maxConnections", 360},
          {"protocol", "h1"},
          {"tls", false},
          {"engine",
           {{"slots", 64},
            {"kvCapacityTokens", 114242},
            {"kvTokenBytes", 327680},
            {"linkMbps", 180000.0},
            {"moves", true},
            {"backups", true},
            {"stride", 4},
            {"maxConcurrency", 12},
            {"pinMs", 4000.0},
            {"holdMs", 2000.0},
            {"handle_s", 5.0},
            {"models", json::array({{{"name", model}}})}}}};
}
inline json RouteOf(const std::string& name, const std::string& host,
                    const std::string& prefix, const std::string& kind,
                    const std::string& service, int timeout_ms, int target_ms,
                    int attempts) {
  json route{{"name", name},
             {"host", host},
             {"pathPrefix", prefix},
             {"kind", kind},
             {"timeoutMs", timeout_ms},
             {"targetLatencyMs", target_ms},
             {"priority", 1},
             {"service", service},
             {"maxAttempts", attempts},
             {"public", false}};
  if (kind == "streaming") {
    route["sticky"] = true;
    route["resumable"] = false;
    route["gapTargetMs"] = 400;
  }
  return route;
}

}  // namespace review

#endif  // REVIEW_HARNESS_H_
