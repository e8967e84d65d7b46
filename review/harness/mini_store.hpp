// The platform's store for the review's scripts, where the project's own
// stand-in lacks something: answers to reads end at `maxKb`, each router has
// an address of its own, and the store may turn away those who use it.
#ifndef REVIEW_MINI_STORE_H_
#define REVIEW_MINI_STORE_H_

#include <condition_variable>
#include <deque>
#include <list>

#include "review/harness/harness.hpp"

namespace review {

class MiniStore {
 public:
  // One address of the store.
  struct Door {
    int listener = -1;
    int port = 0;
    std::atomic<bool> turns_away{false};
    std::thread acceptor;
  };

  // `answer_ms`: time of an answer, with the way there and back.
  explicit MiniStore(int answer_ms) : answer_ms_(answer_ms) {}
  ~MiniStore() { Stop(); }

  Door& AddDoor() {
    doors_.emplace_back();
    Door& door = doors_.back();
    door.listener = Listen("127.0.0.1", 0);
    door.port = PortOf(door.listener);
    door.acceptor = std::thread([this, &door] { Accept(door); });
    return door;
  }
  // What the operator and the runners write.
  void Put(const std::string& topic, const std::string& key,
           const json& value) {
    PutRaw(topic, key, value.dump());
  }
  void PutRaw(const std::string& topic, const std::string& key,
              const std::string& value) {
    std::lock_guard<std::mutex> lock(mutex_);
    Append(topics_[topic], key, value);
  }
  std::uint64_t End(const std::string& topic) {
    std::lock_guard<std::mutex> lock(mutex_);
    return topics_[topic].records.size();
  }
  void Stop() {
    if (is_stopped_.exchange(true)) return;
    changed_.notify_all();
    for (auto& door : doors_) {
      shutdown(door.listener, SHUT_RDWR);
      door.acceptor.join();
      close(door.listener);
    }
    {
      std::lock_guard<std::mutex> lock(mutex_);
      for (auto& connection : open_) shutdown(connection->fd(), SHUT_RDWR);
    }
    for (auto& thread : threads_) thread.join();
  }

 private:
  struct Topic {
    std::vector<std::pair<std::string, std::string>> records;
    std::map<std::string, std::uint64_t> newest;
  };

  static std::string BigEndian(std::uint64_t value, int bytes) {
    std::string out;
    for (int i = bytes - 1; i >= 0; --i)
      out += static_cast<char>(value >> (8 * i) & 0xFF);
    return out;
  }
  static std::string Base64(const std::string& in) {
    static const char* const kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
      const auto byte = [&](std::size_t at) {
        return at < in.size() ? static_cast<unsigned char>(in[at]) : 0U;
      };
      const unsigned bits = byte(i) << 16 | byte(i + 1) << 8 | byte(i + 2);
      out += kDigits[bits >> 18];
      out += kDigits[bits >> 12 & 63];
      out += i + 1 < in.size() ? kDigits[bits >> 6 & 63] : '=';
      out += i + 2 < in.size() ? kDigits[bits & 63] : '=';
    }
    return out;
  }
  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    std::size_t at = target.find("?" + name + "=");
    if (at == std::string::npos) at = target.find("&" + name + "=");
    if (at == std::string::npos) return "";
    at += name.size() + 2;
    return target.substr(at, target.find('&', at) - at);
  }
  static void Append(Topic& topic, const std::string& key,
                     const std::string& value) {
    if (value.empty()) {
      topic.newest.erase(key);
    } else {
      topic.newest[key] = topic.records.size();
    }
    topic.records.emplace_back(key, value);
  }

  void Accept(Door& door) {
    while (!is_stopped_) {
      const int fd = accept4(door.listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) break;
      auto connection = std::make_shared<Connection>(fd);
      std::lock_guard<std::mutex> lock(mutex_);
      open_.push_back(connection);
      threads_.emplace_back([this, &door, connection] {
        Head head;
        while (!is_stopped_ && ReadHead(*connection, head) &&
               Handle(door, *connection, head)) {
        }
        shutdown(connection->fd(), SHUT_RDWR);
      });
    }
  }

  static bool Answer(Connection& connection, int status,
                     const std::string& body) {
    return connection.Write(AnswerText(status, {{"Store-Era", "1"}}, body));
  }

  bool Handle(Door& door, Connection& connection, const Head& head) {
    std::string body;
    if (!ReadBody(connection, head, body)) return false;
    SleepMs(answer_ms_);
    if (door.turns_away) return Answer(connection, 503, "{}");
    const std::string target = head.Word(1);
    const std::string name = Parameter(target, "topic");
    std::unique_lock<std::mutex> lock(mutex_);
    Topic& topic = topics_[name];
    if (target.starts_with("/api/log-append")) {
      const std::string at = Parameter(target, "at");
      if (!at.empty() &&
          strtoull(at.c_str(), nullptr, 10) != topic.records.size()) {
        return Answer(connection, 412,
                      json{{"end", topic.records.size()}}.dump());
      }
      const std::uint64_t offset = topic.records.size();
      for (std::size_t i = 0; i + 5 <= body.size();) {
        std::size_t length = 0;
        for (int k = 0; k < 4; ++k)
          length = length << 8 | static_cast<unsigned char>(body[i + k]);
        const std::string record = body.substr(i + 4, length);
        const std::size_t key_length = static_cast<unsigned char>(record[0]);
        Append(topic, record.substr(1, key_length),
               record.substr(1 + key_length));
        i += 4 + length;
      }
      changed_.notify_all();
      return Answer(
          connection, 200,
          json{{"offset", offset}, {"end", topic.records.size()}}.dump());
    }
    if (target.starts_with("/api/log-newest")) {
      json items = json::array();
      const std::string after = Parameter(target, "after");
      bool has_more = false;
      for (const auto& [key, offset] : topic.newest) {
        if (!after.empty() && key <= after) continue;
        if (items.size() == 500) {
          has_more = true;
          break;
        }
        items.push_back({{"key", key},
                         {"value", Base64(topic.records[offset].second)},
                         {"offset", offset}});
      }
      return Answer(connection, 200,
                    json{{"items", items},
                         {"more", has_more},
                         {"end", topic.records.size()}}
                        .dump());
    }
    if (!target.starts_with("/api/log-read"))
      return Answer(connection, 404, "{}");
    const std::uint64_t from =
        strtoull(Parameter(target, "from").c_str(), nullptr, 10);
    const auto until =
        Clock::now() + milliseconds(atoi(Parameter(target, "waitMs").c_str()));
    const std::string max_kb = Parameter(target, "maxKb");
    const std::size_t most =
        1024 * (max_kb.empty() ? 1024 : strtoull(max_kb.c_str(), nullptr, 10));
    while (from == topic.records.size() && Clock::now() < until &&
           !is_stopped_ && !door.turns_away) {
      lock.unlock();
      SleepMs(5);
      lock.lock();
    }
    if (door.turns_away) return Answer(connection, 503, "{}");
    if (from > topic.records.size())
      return Answer(connection, 410, json{{"first", 0}}.dump());
    std::string out = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
    const std::size_t start = out.size();
    for (std::uint64_t i = from; i < topic.records.size(); ++i) {
      const auto& [key, value] = topic.records[i];
      const std::size_t size = 1 + key.size() + value.size();
      if (out.size() > start && out.size() - start + 4 + size > most) break;
      out += BigEndian(size, 4) + static_cast<char>(key.size()) + key + value;
    }
    return Answer(connection, 200, out);
  }

  int answer_ms_;
  std::atomic<bool> is_stopped_{false};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  std::list<Door> doors_;
  std::vector<std::shared_ptr<Connection>> open_;
  std::vector<std::thread> threads_;
};

}  // namespace review

#endif  // REVIEW_MINI_STORE_H_
