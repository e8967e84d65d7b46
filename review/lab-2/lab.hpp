// Small stand-ins for the cases of the second review: the platform's store,
// runners and clients as threads of one process, and the router's processes.
// Only POSIX and the standard library. Every address is a loopback address.
#ifndef REVIEW_LAB_2_LAB_HPP_
#define REVIEW_LAB_2_LAB_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
      .count();
}
inline std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline std::string Format(const char* format, ...) {
  va_list args;
  va_start(args, format);
  va_list again;
  va_copy(again, args);
  const int size = std::vsnprintf(nullptr, 0, format, args);
  va_end(args);
  std::string text(static_cast<std::size_t>(size) + 1, '\0');
  std::vsnprintf(text.data(), text.size(), format, again);
  va_end(again);
  text.resize(static_cast<std::size_t>(size));
  return text;
}

// The record of a run: one line an event, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8.3f %s\n", static_cast<double>(NowMs()) / 1000,
                 text.c_str());
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};
inline Record*& TheRecord() {
  static Record* record = nullptr;
  return record;
}
inline void Note(const std::string& text) {
  if (TheRecord() != nullptr) TheRecord()->Line(text);
}

// One HTTP message.
struct Message {
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return "";
  }
  int Status() const {
    return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const auto at = start.find(' ');
    const auto end = start.rfind(' ');
    return at == std::string::npos ? "" : start.substr(at + 1, end - at - 1);
  }
};

enum class ReadEnd { kOk, kClosed, kReset, kTimeout };

// A connection with its read buffer.
class Channel {
 public:
  explicit Channel(int fd = -1) : fd_(fd) {
    if (fd_ >= 0) {
      const int one = 1;
      setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
  }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel() { Close(); }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  bool IsOpen() const { return fd_ >= 0; }
  int fd() const { return fd_; }

  bool Connect(const std::string& ip, int port, int timeout_ms = 1000) {
    Close();
    buffer_.clear();
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    const int code = connect(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at);
    bool is_open = code == 0;
    if (!is_open && errno == EINPROGRESS) {
      pollfd wait{fd_, POLLOUT, 0};
      int error = 0;
      socklen_t size = sizeof error;
      is_open = poll(&wait, 1, timeout_ms) == 1 &&
                getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
                error == 0;
    }
    if (!is_open) {
      Close();
      return false;
    }
    fcntl(fd_, F_SETFL, 0);
    const int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return true;
  }
  bool Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (fd_ >= 0 && sent < bytes.size()) {
      const ssize_t n =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return fd_ >= 0;
  }
  // Whether the peer has closed the connection; unread bytes are left alone.
  bool IsPeerGone() {
    char byte = 0;
    const ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  // Receives some bytes.
  ReadEnd Fill(std::int64_t until_ms) {
    const std::int64_t left = until_ms - NowMs();
    if (fd_ < 0) return ReadEnd::kClosed;
    if (left <= 0) return ReadEnd::kTimeout;
    pollfd wait{fd_, POLLIN, 0};
    if (poll(&wait, 1, static_cast<int>(left)) <= 0) return ReadEnd::kTimeout;
    char bytes[16384];
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    if (n == 0) return ReadEnd::kClosed;
    if (n < 0) return ReadEnd::kReset;
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return ReadEnd::kOk;
  }
  // Reads a head; `message.body` stays empty.
  ReadEnd ReadHead(Message& message, std::int64_t until_ms) {
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      const ReadEnd how = Fill(until_ms);
      if (how != ReadEnd::kOk) return how;
    }
    std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    message = Message();
    std::size_t at = head.find("\r\n");
    message.start = head.substr(0, at);
    at += 2;
    while (at < head.size()) {
      const std::size_t line_end = head.find("\r\n", at);
      const std::string line = head.substr(at, line_end - at);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') ++value;
        message.headers.emplace_back(line.substr(0, colon), line.substr(value));
      }
      at = line_end + 2;
    }
    return ReadEnd::kOk;
  }
  // Reads the body that the head announces. A head without a length or chunks
  // has none, unless `to_close`.
  ReadEnd ReadBody(Message& message, std::int64_t until_ms,
                   bool to_close = false) {
    if (message.Get("Transfer-Encoding") == "chunked") {
      for (;;) {
        std::size_t end = std::string::npos;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
          const ReadEnd how = Fill(until_ms);
          if (how != ReadEnd::kOk) return how;
        }
        const std::size_t size =
            std::strtoul(buffer_.substr(0, end).c_str(), nullptr, 16);
        while (buffer_.size() < end + 2 + size + 2) {
          const ReadEnd how = Fill(until_ms);
          if (how != ReadEnd::kOk) return how;
        }
        message.body += buffer_.substr(end + 2, size);
        buffer_.erase(0, end + 2 + size + 2);
        if (size == 0) return ReadEnd::kOk;
      }
    }
    const std::string length = message.Get("Content-Length");
    if (length.empty() && to_close) {
      for (;;) {
        const ReadEnd how = Fill(until_ms);
        if (how == ReadEnd::kClosed) break;
        if (how != ReadEnd::kOk) return how;
      }
      message.body = std::exchange(buffer_, "");
      return ReadEnd::kOk;
    }
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer_.size() < size) {
      const ReadEnd how = Fill(until_ms);
      if (how != ReadEnd::kOk) return how;
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return ReadEnd::kOk;
  }
  ReadEnd Read(Message& message, std::int64_t until_ms) {
    const ReadEnd how = ReadHead(message, until_ms);
    return how == ReadEnd::kOk ? ReadBody(message, until_ms) : how;
  }

 private:
  int fd_;
  std::string buffer_;
};

// A server with a thread for each connection.
class Server {
 public:
  using Serve = std::function<void(Channel&)>;
  Server() = default;
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server() { Stop(); }

  bool Listen(const std::string& ip, int port, Serve serve) {
    serve_ = std::move(serve);
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    const bool is_bound =
        bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
        listen(fd_, 512) == 0;
    if (!is_bound) return false;
    socklen_t size = sizeof at;
    getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    ip_ = ip;
    port_ = ntohs(at.sin_port);
    is_up_ = true;
    accepter_ = std::thread([this] { Accept(); });
    return true;
  }
  // Closes the port and all connections, as a process does that ends.
  void Stop() {
    if (!is_up_.exchange(false)) return;
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
    accepter_.join();
    {
      const std::lock_guard lock(mutex_);
      for (const int fd : open_) shutdown(fd, SHUT_RDWR);
    }
    while (serving_ > 0) SleepMs(5);
  }
  bool IsUp() const { return is_up_; }
  const std::string& ip() const { return ip_; }
  int port() const { return port_; }
  std::string Address() const { return ip_ + ":" + std::to_string(port_); }

 private:
  void Accept() {
    while (is_up_) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (!is_up_) return;
        SleepMs(5);
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        open_.insert(fd);
      }
      ++serving_;
      std::thread([this, fd] {
        {
          Channel channel(fd);
          serve_(channel);
          const std::lock_guard lock(mutex_);
          open_.erase(fd);
        }
        --serving_;
      }).detach();
    }
  }

  Serve serve_;
  int fd_ = -1;
  std::string ip_;
  int port_ = 0;
  std::atomic<bool> is_up_{false};
  std::atomic<int> serving_{0};
  std::mutex mutex_;
  std::set<int> open_;
  std::thread accepter_;
};

inline std::string Reply(int status, const std::string& body,
                         const std::string& headers = "",
                         const std::string& type = "application/json") {
  return Format(
             "HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: "
             "%zu\r\n%s\r\n",
             status, type.c_str(), body.size(), headers.c_str()) +
         body;
}

inline std::string QueryOf(const std::string& target, const std::string& name) {
  const auto at = target.find('?');
  if (at == std::string::npos) return "";
  std::string query = "&" + target.substr(at + 1);
  const auto found = query.find("&" + name + "=");
  if (found == std::string::npos) return "";
  const auto from = found + name.size() + 2;
  return query.substr(from, query.find('&', from) - from);
}

// The platform's store: keyed topics of one partition.
class Store {
 public:
  Store() = default;
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  ~Store() { server_->Stop(); }

  bool Listen(const std::string& ip) {
    server_ = std::make_unique<Server>();
    return server_->Listen(ip, 0, [this](Channel& c) { Serve(c); });
  }
  // It goes on at another address, with all that it holds.
  bool Move() {
    const std::string ip = server_->ip();
    server_->Stop();
    return Listen(ip);
  }
  const Server& server() const { return *server_; }
  // A record of the operator or a runner. An empty value deletes the key.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(mutex_);
    PutLocked(topic, key, value);
  }
  // While it is away, all calls get 503.
  void SetAway(bool is_away) { is_away_ = is_away; }
  // Takes the copy from which `Restore` returns.
  void Copy() {
    const std::lock_guard lock(mutex_);
    copy_ = topics_;
  }
  // The store is as it was when the copy was made, in a new era.
  void Restore() {
    const std::lock_guard lock(mutex_);
    topics_ = copy_;
    ++era_;
    changed_.notify_all();
  }

 private:
  struct Topic {
    std::vector<std::pair<std::string, std::string>> records;
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
  };
  std::uint64_t PutLocked(const std::string& topic, const std::string& key,
                          const std::string& value) {
    Topic& t = topics_[topic];
    if (value.empty()) {
      t.newest.erase(key);
    } else {
      t.newest[key] = {t.records.size(), value};
    }
    t.records.emplace_back(key, value);
    changed_.notify_all();
    return t.records.size() - 1;
  }
  static std::string BigEndian(std::uint64_t value, int bytes) {
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) {
      out += static_cast<char>(value >> (8 * i) & 0xFF);
    }
    return out;
  }
  static std::string Base64(const std::string& in) {
    static const char* kAlphabet =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
      std::uint32_t three = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        three = three << 8 |
                (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0);
      }
      for (int j = 3; j >= 0; --j) {
        const bool is_padding = i + static_cast<std::size_t>(3 - j) > in.size();
        out += is_padding ? '=' : kAlphabet[three >> (6 * j) & 63];
      }
    }
    return out;
  }
  static std::string Quote(const std::string& text) {
    std::string out = "\"";
    for (const char c : text) {
      if (c == '"' || c == '\\') out += '\\';
      out += c;
    }
    return out + "\"";
  }
  void Serve(Channel& channel) {
    Message request;
    while (channel.Read(request, NowMs() + 60000) == ReadEnd::kOk) {
      const std::string answer = is_away_ ? Reply(503, "{}") : Answer(request);
      // All answers name the era.
      const std::size_t at = answer.find("\r\n") + 2;
      const bool is_sent = channel.Send(
          answer.substr(0, at) + Format("Store-Era: %d\r\n", era_.load()) +
          answer.substr(at));
      if (!is_sent) return;
    }
  }
  std::string Answer(const Message& request) {
    SleepMs(4);
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string topic = QueryOf(target, "topic");
    std::unique_lock lock(mutex_);
    if (path == "/api/log-read") {
      const std::uint64_t from = std::stoull("0" + QueryOf(target, "from"));
      const std::int64_t wait = std::stoll("0" + QueryOf(target, "waitMs"));
      changed_.wait_for(lock, std::chrono::milliseconds(wait),
                        [&] { return from < topics_[topic].records.size(); });
      const Topic& t = topics_[topic];
      if (from > t.records.size()) return Reply(410, "{\"first\":0}");
      std::string body = BigEndian(t.records.size(), 8) + BigEndian(0, 8);
      for (std::uint64_t i = from;
           i < t.records.size() && (i == from || body.size() < 1024 * 1024);
           ++i) {
        const auto& [key, value] = t.records[i];
        body += BigEndian(1 + key.size() + value.size(), 4);
        body += static_cast<char>(key.size());
        body += key + value;
      }
      return Reply(200, body, "", "application/octet-stream");
    }
    if (path == "/api/log-newest") {
      const Topic& t = topics_[topic];
      const std::string after = QueryOf(target, "after");
      std::string items;
      std::size_t count = 0;
      auto it = after.empty() ? t.newest.begin() : t.newest.upper_bound(after);
      for (; it != t.newest.end() && count < 500; ++it, ++count) {
        items += Format("%s{\"key\":%s,\"offset\":%llu,\"value\":\"%s\"}",
                        items.empty() ? "" : ",", Quote(it->first).c_str(),
                        static_cast<unsigned long long>(it->second.first),
                        Base64(it->second.second).c_str());
      }
      return Reply(
          200,
          Format("{\"items\":[%s],\"more\":%s,\"end\":%zu}", items.c_str(),
                 it == t.newest.end() ? "false" : "true", t.records.size()));
    }
    if (path == "/api/log-append") {
      Topic& t = topics_[topic];
      const std::string at = QueryOf(target, "at");
      if (!at.empty() && std::stoull(at) != t.records.size()) {
        return Reply(412, Format("{\"end\":%zu}", t.records.size()));
      }
      const std::string content =
          request.body.substr(std::min<std::size_t>(4, request.body.size()));
      if (content.empty()) return Reply(400, "{}");
      const auto length = static_cast<unsigned char>(content[0]);
      if (content.size() < 1U + length) return Reply(400, "{}");
      const std::uint64_t offset = PutLocked(topic, content.substr(1, length),
                                             content.substr(1U + length));
      return Reply(200, Format("{\"offset\":%llu,\"end\":%zu}",
                               static_cast<unsigned long long>(offset),
                               t.records.size()));
    }
    return Reply(404, "{}");
  }

  std::unique_ptr<Server> server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  std::map<std::string, Topic> copy_;
  std::atomic<bool> is_away_{false};
  std::atomic<int> era_{1};
};

// A runner, or an instance of a plain service.
class Runner {
 public:
  // Answers one request; false ends the connection.
  using Handle = std::function<bool(Runner&, const Message&, Channel&)>;

  std::string id;
  std::string service;
  std::string zone;
  std::string model;  // empty for a plain service
  int slots = 6;
  std::int64_t born = WallMs();
  std::atomic<std::uint64_t> version{1};
  std::atomic<std::uint64_t> beats{0};
  std::atomic<int> orders{0};
  std::atomic<int> running{0};
  Handle handle;

  bool Start(Store& store, const std::string& ip, int port = 0) {
    store_ = &store;
    return server_.Listen(ip, port, [this](Channel& c) { Serve(c); });
  }
  const Server& server() const { return server_; }
  void Stop() { server_.Stop(); }
  std::string Models() const {
    return model.empty()
               ? "[]"
               : Format("[{\"name\":\"%s\",\"version\":%llu,\"adapters\":[]}]",
                        model.c_str(),
                        static_cast<unsigned long long>(version.load()));
  }
  // The entry that it writes into the store.
  std::string Entry(const std::string& state) {
    return Format(
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
        "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
        "\"coldRemainingMs\":0,\"stage\":\"unified\",\"models\":%s,"
        "\"sequence\":%llu,\"born\":%lld}",
        service.c_str(), server_.Address().c_str(), zone.c_str(), slots,
        state.c_str(), Models().c_str(),
        static_cast<unsigned long long>(++beats), static_cast<long long>(born));
  }
  void Write(const std::string& state) {
    store_->Put("keyed.servers", id, Entry(state));
  }
  void Remove() { store_->Put("keyed.servers", id, ""); }
  // Headers of an answer to the request.
  std::string Headers(const Message& request) const {
    return Format(
        "Attempt-Id: %s\r\nResponse-Seal: %s.%llx\r\nInstance-Id: %s\r\n"
        "Instance-Load: %d,0,%d\r\nKeep-Alive: timeout=5\r\n",
        request.Get("Attempt-Id").c_str(), id.c_str(),
        static_cast<unsigned long long>(
            std::hash<std::string>()(request.Get("Attempt-Id"))),
        id.c_str(), running.load(), slots);
  }

 private:
  void Serve(Channel& channel) {
    Message request;
    while (channel.Read(request, NowMs() + 5000) == ReadEnd::kOk) {
      const std::string target = request.Target();
      const std::string path = target.substr(0, target.find('?'));
      const std::string expected = request.Get("Expect-Instance");
      bool is_open = true;
      if (!expected.empty() && expected != id) {
        is_open = channel.Send(Reply(
            421, "{}",
            "Not-Executed: 1\r\nAttempt-Id: " + request.Get("Attempt-Id") +
                "\r\nInstance-Id: " + id + "\r\n"));
      } else if (path == "/api/report") {
        is_open = channel.Send(Reply(
            200, Format("{\"stage\":\"unified\",\"models\":%s,\"busy\":false,"
                        "\"sequence\":%d,\"queued\":0,\"active\":%d,"
                        "\"kvUsed\":0,\"kvTotal\":99532,\"handles\":0,"
                        "\"born\":%lld}",
                        Models().c_str(), orders.load(), running.load(),
                        static_cast<long long>(born))));
      } else if (path == "/api/kv-events") {
        const std::string since = QueryOf(target, "since");
        const std::string wait = request.Get("Wait-Ms");
        SleepMs(wait.empty() ? 0 : std::min(1000, std::atoi(wait.c_str())));
        is_open = channel.Send(
            Reply(200, Format("{\"bootEpoch\":1,\"next\":%s,\"lost\":false,"
                              "\"events\":[]}",
                              since.empty() ? "0" : since.c_str())));
      } else if (path == "/health") {
        is_open = channel.Send(Reply(200, "{}", "Instance-Id: " + id + "\r\n"));
      } else if (path == "/api/order") {
        ++orders;
        is_open = channel.Send(Reply(202, "{}"));
      } else {
        ++running;
        is_open = handle(*this, request, channel);
        --running;
      }
      if (!is_open) return;
    }
  }

  Store* store_ = nullptr;
  Server server_;
};

// One process of the router, started with the command of the deploy file.
class Router {
 public:
  std::string name;
  std::string ip;
  std::string zone;
  std::string region;
  int front = 0;
  int ready = 0;
  int control = 0;
  int first_internal = 0;
  int memory_mb = 110;
  int drain_timeout_ms = 2500;
  std::string directory;
  std::string store;
  std::string zones;  // lines of the table of zones

  std::string SettingsPath() const { return directory + "/" + name + ".toml"; }
  void WriteSettings() const {
    const std::string path = SettingsPath();
    std::FILE* file = std::fopen((path + ".new").c_str(), "w");
    std::fprintf(
        file,
        "node = \"%s\"\nrole = \"router\"\nmachineClass = \"front\"\n"
        "serves = [\"front\"]\nip = \"%s\"\nzone = \"%s\"\nregion = \"%s\"\n"
        "internalPortRange = [%d,%d]\nseeds = []\nfirstStart = false\n"
        "lossCounts = false\ndiscovery = \"platform\"\nentry = \"vip\"\n"
        "heartbeatIntervalMs = 1200\n"
        "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
        "\"recover\",\"kvcache\",\"stream\",\"engine\",\"tenants\","
        "\"platform\"]\n"
        "[zones]\n%s"
        "[listen]\nfront = \"%s:%d\"\nready = \"%s:%d\"\ncontrol = \"%s:%d\"\n"
        "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = %d\nmaxFds = 4100\n"
        "linkMbps = 1000.0\ndiskMb = 0\n"
        "[faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n"
        "[bounds]\nseedLagS = 3\naddressReuseS = 2\nstableWindowMs = 4000\n"
        "ackTimeoutMs = 5000\ncatchUpS = 4\ndrainTimeoutMs = %d\ngraceS = 8\n"
        "lossSlackMs = 200\nconfigPropagationMs = 2500\n"
        "rollbackSlackMs = 250\nmaxStretchMs = 6000\n"
        "strictRevocation = true\nrevokeMs = 5000\nretryBudgetRatio = 0.2\n"
        "retryWindowS = 10\nretryBudgetSlack = 54\nrecoveryS = 12\n"
        "deliveryDelayMs = 250\nretryAfterS = 10\nfencingRequired = true\n"
        "leaseMs = 3000\nthawSlackMs = 300\nversionMs = 8000\n"
        "versionAllMs = 11000\n"
        "[platform]\naddress = \"%s\"\nform = \"log\"\nwritesPerS = 400\n"
        "readsPerS = 2000\nparts = 8\nappendMs = 4.0\npartMbS = 20.0\n"
        "readMbS = 80.0\nrecordBytes = 262144\ncallBytes = 2097152\n"
        "keep_s = 20\npartMb = 200\nttlMinMs = 1000\n",
        name.c_str(), ip.c_str(), zone.c_str(), region.c_str(), first_internal,
        first_internal + 15, zones.c_str(), ip.c_str(), front, ip.c_str(),
        ready, ip.c_str(), control, memory_mb, drain_timeout_ms, store.c_str());
    std::fclose(file);
    std::rename((path + ".new").c_str(), path.c_str());
  }
  void Start() {
    const std::string log = directory + "/" + name + ".log";
    const std::string settings = "BERYLLANE_SETTINGS=" + SettingsPath();
    // The command of deploy/system.toml, from the root of the repository.
    char program[] = "target/apps/beryllaned";
    char platform[] = "--platform";
    char metrics[] = "--metrics_port=9464";
    char* const arguments[] = {program, platform, metrics, nullptr};
    char* const variables[] = {const_cast<char*>(settings.c_str()), nullptr};
    // Opened before the fork: a child of a process with threads may do little.
    const int out =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = fork();
    if (pid_ == 0) {
      dup2(out, 1);
      dup2(out, 2);
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      execve(program, arguments, variables);
      _exit(127);
    }
    close(out);
  }
  void Signal(int signal) const {
    if (pid_ > 0) kill(pid_, signal);
  }
  // Whether the process has ended; its status is kept.
  bool HasEnded() {
    if (pid_ <= 0) return true;
    if (waitpid(pid_, &status_, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  int status() const { return status_; }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
    pid_ = -1;
  }
  double MemoryMb() const {
    std::FILE* file = std::fopen(Format("/proc/%d/status", pid_).c_str(), "r");
    if (file == nullptr) return 0;
    char line[256];
    double mb = 0;
    while (std::fgets(line, sizeof line, file) != nullptr) {
      if (std::strncmp(line, "VmRSS:", 6) == 0) mb = std::atof(line + 6) / 1024;
    }
    std::fclose(file);
    return mb;
  }
  bool IsReady() const {
    Channel channel;
    Message answer;
    return channel.Connect(ip, ready) &&
           channel.Send("GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n") &&
           channel.Read(answer, NowMs() + 1000) == ReadEnd::kOk &&
           answer.Status() == 200;
  }
  bool WaitReady(std::int64_t timeout_ms) const {
    const std::int64_t until = NowMs() + timeout_ms;
    while (NowMs() < until) {
      if (IsReady()) return true;
      SleepMs(50);
    }
    return false;
  }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int status_ = 0;
};

// A loopback network of its own for each run, so that runs do not share ports.
inline std::string Network() {
  std::random_device random;
  return Format("127.%u.%u.", 1 + random() % 250, random() % 250);
}

inline bool IsPortFree(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  const bool is_free =
      bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
  close(fd);
  return is_free;
}

// What one request of a client came to.
struct Outcome {
  // 0 if the channel ended, or nothing came in time, before a whole answer.
  int status = 0;
  bool has_timed_out = false;
  std::string start;  // first line of the answer
  std::string seal;
  std::string body;
  std::string text;
};

// Sends one request on an open channel and waits for the whole answer.
inline Outcome Ask(Channel& channel, const std::string& method,
                   const std::string& path, const std::string& host,
                   const std::string& id, const std::string& key,
                   std::int64_t deadline_ms, const std::string& headers = "",
                   const std::string& body = "") {
  Outcome outcome;
  const std::string length =
      method == "GET" ? "" : Format("Content-Length: %zu\r\n", body.size());
  const std::string wire =
      Format(
          "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n"
          "Deadline-Ms: %lld\r\nCredential: %s\r\n%s%s\r\n",
          method.c_str(), path.c_str(), host.c_str(), id.c_str(),
          static_cast<long long>(deadline_ms), key.c_str(), headers.c_str(),
          length.c_str()) +
      body;
  if (!channel.Send(wire)) {
    outcome.text = "the channel was closed before the request was sent";
    channel.Close();
    return outcome;
  }
  Message answer;
  const ReadEnd how = channel.Read(answer, NowMs() + deadline_ms + 1500);
  if (how != ReadEnd::kOk) {
    outcome.has_timed_out = how == ReadEnd::kTimeout;
    outcome.text = outcome.has_timed_out ? "no whole answer in time"
                                         : "the channel ended without a whole "
                                           "answer";
    channel.Close();
    return outcome;
  }
  outcome.start = answer.start;
  outcome.status = answer.Status();
  outcome.seal = answer.Get("Response-Seal");
  outcome.body = answer.body;
  outcome.text = std::to_string(outcome.status);
  if (strcasecmp(answer.Get("Connection").c_str(), "close") == 0) {
    channel.Close();
  }
  return outcome;
}

// Whether the run has its disruption; TROUBLE=0 leaves it out.
inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

// A small deployment: the store, runners that write their entries as runners
// do, and routers. The zones and bounds are those of umplutura-cluj.
class Site {
 public:
  static constexpr const char* kHost = "shop.example";
  static constexpr int kHeartbeatMs = 1200;

  explicit Site(std::string directory) : directory_(std::move(directory)) {
    signal(SIGPIPE, SIG_IGN);
    while (!store.Listen(net_ + "1")) net_ = Network();
  }
  ~Site() {
    is_stopping_ = true;
    if (beats_.joinable()) beats_.join();
    for (auto& router : routers_) router->Kill();
    for (auto& runner : runners_) runner->Stop();
  }

  Store store;

  Runner& AddRunner(const std::string& id, const std::string& service,
                    const std::string& zone, const std::string& model,
                    int slots, Runner::Handle handle) {
    auto runner = std::make_unique<Runner>();
    runner->id = id;
    runner->service = service;
    runner->zone = zone;
    runner->model = model;
    runner->slots = slots;
    runner->handle = std::move(handle);
    Runner& added = *runner;
    if (!added.Start(store, net_ + std::to_string(next_host_++))) {
      Fail("a runner cannot listen");
    }
    const std::lock_guard lock(mutex_);
    runners_.push_back(std::move(runner));
    listed_.insert(id);
    added.Write("ready");
    return added;
  }
  // Writes the entries of all runners that are listed, again and again.
  void StartHeartbeats() {
    beats_ = std::thread([this] {
      std::int64_t next = NowMs();
      while (!is_stopping_) {
        if (NowMs() >= next) {
          next += kHeartbeatMs;
          const std::lock_guard lock(mutex_);
          for (auto& runner : runners_) {
            if (listed_.contains(runner->id)) runner->Write("ready");
          }
        }
        SleepMs(20);
      }
    });
  }
  // The runner writes its entry no more.
  void Silence(Runner& runner) {
    const std::lock_guard lock(mutex_);
    listed_.erase(runner.id);
  }
  // The runner leaves the list, and writes there no more.
  void Unlist(Runner& runner) {
    const std::lock_guard lock(mutex_);
    listed_.erase(runner.id);
    runner.Remove();
  }
  // The store goes on at another address.
  void MoveStore() {
    if (!store.Move()) Fail("the store cannot listen");
  }
  // A router that is not started yet.
  Router& AddRouter(const std::string& name, const std::string& zone) {
    auto router = std::make_unique<Router>();
    router->name = name;
    router->ip = net_ + std::to_string(next_host_++);
    router->zone = zone;
    router->region = zone == "iasi-a"   ? "ro-nord"
                     : zone == "cluj-a" ? "ro-centru"
                                        : "ro-sud";
    router->front = 8782;
    router->ready = 8789;
    router->control = 8783;
    router->first_internal = 7340;
    for (const int port : {8782, 8789, 8783, 7340, 7341, 9464}) {
      if (!IsPortFree(router->ip, port)) Fail("a port is in use");
    }
    router->directory = directory_;
    router->store = store.server().Address();
    router->zones =
        "iasi-a = \"ro-nord\"\ncluj-a = \"ro-centru\"\n"
        "bucuresti-a = \"ro-sud\"\n";
    router->WriteSettings();
    routers_.push_back(std::move(router));
    return *routers_.back();
  }
  // Ends the run: the case could not run.
  [[noreturn]] void Fail(const std::string& why) {
    Note("the case could not run: " + why);
    std::fprintf(stderr, "%s\n", why.c_str());
    for (auto& router : routers_) router->Kill();
    std::fflush(nullptr);
    _exit(2);
  }
  // A configuration with the deployment's services and kinds of request, and
  // tenants as a JSON list.
  static std::string Config(int version, const std::string& tenants) {
    const auto route = [](const char* name, const char* kind,
                          const char* service, int timeout_ms, int target_ms,
                          int priority, int attempts, bool is_resumable,
                          bool is_sticky) {
      return Format(
          "{\"name\":\"%s\",\"host\":\"%s\",\"pathPrefix\":\"/%s/\","
          "\"kind\":\"%s\",\"service\":\"%s\",\"timeoutMs\":%d,"
          "\"targetLatencyMs\":%d,\"gapTargetMs\":400,\"priority\":%d,"
          "\"maxAttempts\":%d,\"resumable\":%s,\"sticky\":%s,"
          "\"public\":false}",
          name, kHost, name, kind, service, timeout_ms, target_ms, priority,
          attempts, is_resumable ? "true" : "false",
          is_sticky ? "true" : "false");
    };
    return Format("{\"version\":%d,\"routes\":[", version) +
           route("fit", "streaming", "asistent", 6000, 800, 1, 2, true, true) +
           "," +
           route("chat", "streaming", "asistent", 15000, 500, 0, 1, false,
                 true) +
           "," +
           route("book", "unsafe", "birou-comenzi", 2000, 150, 2, 2, false,
                 false) +
           "," +
           route("stock", "safe", "birou-comenzi", 2000, 150, 2, 2, false,
                 false) +
           "],\"services\":["
           "{\"name\":\"asistent\",\"healthPath\":\"/health\","
           "\"maxConnections\":360,\"engine\":{\"slots\":64,"
           "\"kvCapacityTokens\":99532,\"kvTokenBytes\":327680,"
           "\"linkMbps\":260000.0}},"
           "{\"name\":\"birou-comenzi\",\"healthPath\":\"/health\","
           "\"maxConnections\":100}],"
           "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
           "\"headerTimeoutMs\":5000,\"idleTimeoutMs\":30000},"
           "\"tenants\":" +
           tenants + "}";
  }
  const std::string& directory() const { return directory_; }

 private:
  std::string directory_;
  std::string net_ = Network();
  int next_host_ = 10;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Runner>> runners_;
  std::set<std::string> listed_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::atomic<bool> is_stopping_{false};
  std::thread beats_;
};

// Ends the run with its verdict: 1 if the rule was broken, 0 if it held.
[[noreturn]] inline void Finish(bool is_broken, const std::string& text) {
  Note(std::string(is_broken ? "BROKEN: " : "held: ") + text);
  std::printf("%s: %s\n", is_broken ? "broken" : "held", text.c_str());
  std::fflush(nullptr);
  _exit(is_broken ? 1 : 0);
}

}  // namespace lab

#endif  // REVIEW_LAB_2_LAB_HPP_
