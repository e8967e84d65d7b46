// Blocking HTTP/1.1 over sockets, and lines of a record, for the small
// stand-ins of this review.
#ifndef BERYLLANE_REVIEW_LAB_3_HTTP_H_
#define BERYLLANE_REVIEW_LAB_3_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>

namespace lab {

struct IgnoreCase {
  bool operator()(const std::string& a, const std::string& b) const {
    return strcasecmp(a.c_str(), b.c_str()) < 0;
  }
};
using Headers = std::map<std::string, std::string, IgnoreCase>;

inline std::int64_t NowMs(clockid_t clock = CLOCK_MONOTONIC) {
  timespec time{};
  clock_gettime(clock, &time);
  return static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1000000;
}

inline void SleepMs(std::int64_t ms) {
  if (ms > 0) usleep(static_cast<useconds_t>(ms * 1000));
}

// Parses `ip:port`.
inline sockaddr_in ParseAddress(const std::string& text) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const std::size_t colon = text.rfind(':');
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  return address;
}

inline int Connect(const std::string& to, std::int64_t timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in address = ParseAddress(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int Listen(const std::string& at) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = ParseAddress(at);
  const bool ok = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                       sizeof address) == 0 &&
                  listen(fd, 128) == 0;
  if (ok) return fd;
  std::perror(at.c_str());
  std::exit(2);
}

inline bool Send(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Reads from a socket with a buffer.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  // A line without its end; false at the end of the connection.
  bool Line(std::string& line) {
    line.clear();
    for (char c = 0; Byte(c);) {
      if (c == '\n') {
        if (!line.empty() && line.back() == '\r') line.pop_back();
        return true;
      }
      line += c;
    }
    return false;
  }
  bool Bytes(std::size_t count, std::string& out) {
    for (char c = 0; count > 0; --count) {
      if (!Byte(c)) return false;
      out += c;
    }
    return true;
  }
  void ToEnd(std::string& out) {
    for (char c = 0; Byte(c);) out += c;
  }
  // Whether the connection ended by a reset or a time-out.
  bool has_failed() const { return has_failed_; }

 private:
  bool Byte(char& c) {
    if (at_ == end_) {
      const ssize_t n = recv(fd_, buffer_, sizeof buffer_, 0);
      if (n < 0) has_failed_ = true;
      if (n <= 0) return false;
      at_ = 0;
      end_ = static_cast<std::size_t>(n);
    }
    c = buffer_[at_++];
    return true;
  }

  int fd_;
  char buffer_[16384];
  std::size_t at_ = 0;
  std::size_t end_ = 0;
  bool has_failed_ = false;
};

struct Message {
  std::string start;
  Headers headers;
  std::string body;
  // Whether the body came to its proper end.
  bool is_whole = false;

  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

// Reads a message; false if there is not even a head.
inline bool Read(Reader& reader, Message& message, bool is_answer) {
  message = Message();
  if (!reader.Line(message.start) || message.start.empty()) return false;
  std::string line;
  for (;;) {
    if (!reader.Line(line)) return false;
    if (line.empty()) break;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    message.headers[line.substr(0, colon)] = line.substr(value);
  }
  if (strcasecmp(message.Header("Transfer-Encoding").c_str(), "chunked") == 0) {
    for (;;) {
      if (!reader.Line(line)) return true;
      const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
      if (size > 0 && !reader.Bytes(size, message.body)) return true;
      if (!reader.Line(line)) return true;
      if (size == 0) break;
    }
    message.is_whole = true;
  } else if (message.headers.contains("Content-Length")) {
    message.is_whole = reader.Bytes(
        std::stoul(message.Header("Content-Length")), message.body);
  } else if (is_answer) {
    reader.ToEnd(message.body);
    message.is_whole = !reader.has_failed();
  } else {
    message.is_whole = true;
  }
  return true;
}

}  // namespace lab

#endif  // BERYLLANE_REVIEW_LAB_3_HTTP_H_
