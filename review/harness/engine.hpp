// A sound model runner for the review's scripts: reads the parts of a prompt,
// keeps them under the cache salt, streams events, takes orders.
#ifndef REVIEW_ENGINE_H_
#define REVIEW_ENGINE_H_

#include <set>

#include "review/harness/harness.hpp"

namespace review {

class Engine {
 public:
  // Faults of this runner; a sound runner has none.
  struct Faults {
    // The body of an answer to an order comes without end, until the caller
    // closes.
    std::atomic<bool> endless_order_answer{false};
  };
  // One use of a part that was made for an earlier request.
  struct Use {
    std::string part;
    std::string salt;
    std::string maker;
    std::string user;
    std::string runner;
  };

  Engine(Store& store, const std::string& id, const std::string& service,
         const std::string& zone, const std::string& model, int events = 5)
      : runner(store, id, service, zone, model, 64,
               [this](Runner&, Connection& c, const Head& h) {
                 return Handle(c, h);
               }),
        events_(events) {}

  Runner runner;
  Faults faults;
  std::atomic<int> runs{0};
  std::atomic<int> orders_received{0};

  // Each use of a part that another request had made.
  static std::vector<Use> Uses() {
    std::lock_guard<std::mutex> lock(UsesMutex());
    return AllUses();
  }

 private:
  struct Part {
    std::string tenant;
    std::uint64_t version;
  };

  static std::mutex& UsesMutex() {
    static std::mutex mutex;
    return mutex;
  }
  static std::vector<Use>& AllUses() {
    static std::vector<Use> uses;
    return uses;
  }

  bool Handle(Connection& connection, const Head& head) {
    std::string body;
    if (!ReadBody(connection, head, body)) return false;
    const std::string expected = head.Field("Expect-Instance");
    if (!expected.empty() && expected != runner.id) {
      return connection.Write(
          AnswerText(421, {{"Instance-Id", runner.id}}, ""));
    }
    const std::string path = head.Word(1);
    if (path == "/api/report") {
      return connection.Write(AnswerText(
          200, {{"Content-Type", "application/json"}}, runner.Report()));
    }
    if (path.starts_with("/api/kv-events")) {
      for (int i = 0; i < 16 && !runner.is_stopped(); ++i) SleepMs(50);
      return connection.Write(
          AnswerText(200, {{"Content-Type", "application/json"}},
                     R"({"bootEpoch":1,"next":0,"lost":false,"events":[]})"));
    }
    if (path == "/api/order") return Order(connection, body);
    if (path == "/health")
      return connection.Write(
          AnswerText(200, {{"Instance-Id", runner.id}}, ""));
    return Run(connection, head);
  }

  bool Order(Connection& connection, const std::string& body) {
    ++orders_received;
    const json order = json::parse(body, nullptr, false);
    if (!order.is_object() || !order.contains("holder") ||
        !order.contains("fencingToken")) {
      return connection.Write(AnswerText(400, {}, ""));
    }
    const auto version = order.value("version", std::uint64_t{0});
    int status = 202;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      const auto token = order.value("fencingToken", std::uint64_t{0});
      const bool is_expected =
          !order.contains("expect") ||
          order["expect"].get<int>() == runner.orders.load();
      if (token < highest_token_) {
        status = 412;
      } else if (runner.busy || !is_expected) {
        status = 409;
      } else if (runner.version.load() == version) {
        status = 200;
      }
      highest_token_ = std::max(highest_token_, token);
      if (status == 202) {
        runner.busy = true;
        ++runner.orders;
      }
    }
    Record::Line("%s got the order for version %llu from %s, token %llu: %d",
                 runner.id.c_str(), static_cast<unsigned long long>(version),
                 order["holder"].get<std::string>().c_str(),
                 order["fencingToken"].get<unsigned long long>(), status);
    if (status == 202) {
      std::thread([this, version] {
        SleepMs(430);
        {
          std::lock_guard<std::mutex> lock(mutex_);
          parts_.clear();
          runner.version = version;
          runner.busy = false;
        }
        Record::Line("%s has version %llu", runner.id.c_str(),
                     static_cast<unsigned long long>(version));
        if (!runner.is_stopped()) runner.Beat();
      }).detach();
    }
    if (faults.endless_order_answer) {
      // Bytes that are no answer come without end, until the caller closes.
      std::string head = "HTTP/1.1 " + std::to_string(status) +
                         " X\r\nTransfer-Encoding: chunked\r\n\r\n";
      bool is_open = connection.Write(head);
      const auto start = NowMs();
      while (is_open && !runner.is_stopped()) {
        SleepMs(100);
        is_open = connection.Write("1\r\n.\r\n") && !IsClosed(connection);
      }
      Record::Line("%s: its answer to an order was read for %lld ms",
                   runner.id.c_str(), static_cast<long long>(NowMs() - start));
      return false;
    }
    return connection.Write(AnswerText(status, {}, ""));
  }

  static bool IsClosed(Connection& connection) {
    pollfd waiting{connection.fd(), POLLIN, 0};
    char byte = 0;
    return poll(&waiting, 1, 0) == 1 &&
           recv(connection.fd(), &byte, 1, MSG_PEEK) <= 0;
  }

  bool Run(Connection& connection, const Head& head) {
    const std::string id = head.Field("Attempt-Id");
    const std::string salt = head.Field("Cache-Salt");
    const std::string tenant = head.Field("Tenant");
    const std::string expected = head.Field("Expect-Version");
    const std::uint64_t version = runner.version.load();
    if (runner.busy) {
      return connection.Write(
          AnswerText(503, {{"Attempt-Id", id}, {"Not-Executed", "1"}}, ""));
    }
    if (!expected.empty() &&
        strtoull(expected.c_str(), nullptr, 10) != version) {
      return connection.Write(AnswerText(
          421,
          {{"Attempt-Id", id}, {"Weight-Versions", std::to_string(version)}},
          ""));
    }
    ++runner.active;
    ++runs;
    const std::string parts = head.Field("Prompt-Prefix");
    {
      std::lock_guard<std::mutex> lock(mutex_);
      std::size_t at = 0;
      bool is_cached =
          true;  // A part is used if all parts before it are cached, too.
      while (at < parts.size()) {
        std::size_t end = parts.find(',', at);
        if (end == std::string::npos) end = parts.size();
        const std::string part = parts.substr(at, parts.find(':', at) - at);
        const auto [known, is_new] =
            parts_.try_emplace(salt + "/" + part, Part{tenant, version});
        is_cached = is_cached && !is_new;
        if (is_cached) {
          std::lock_guard<std::mutex> uses_lock(UsesMutex());
          AllUses().push_back(
              {part, salt, known->second.tenant, tenant, runner.id});
          if (known->second.tenant != tenant)
            Record::Line(
                "%s: request %s of %s uses part %s of %s, made for %s on "
                "version "
                "%llu",
                runner.id.c_str(), id.c_str(), tenant.c_str(), part.c_str(),
                salt.c_str(), known->second.tenant.c_str(),
                static_cast<unsigned long long>(known->second.version));
        }
        at = end + 1;
      }
    }
    Record::Line("%s runs %s of %s on version %llu, salt %s", runner.id.c_str(),
                 id.c_str(), tenant.c_str(),
                 static_cast<unsigned long long>(version), salt.c_str());
    bool is_open = connection.Write(
        "HTTP/1.1 200 OK\r\nContent-Type: "
        "text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        "Attempt-Id: " +
        id + "\r\nResponse-Seal: seal\r\nWeight-Versions: " +
        std::to_string(version) + "\r\nInstance-Load: 1,0,64\r\n\r\n");
    for (int i = 1; i <= events_ && is_open; ++i) {
      SleepMs(10);
      const std::string event = "id: " + std::to_string(i) + "\ndata: word\n\n";
      char size[16];
      snprintf(size, sizeof size, "%zx\r\n", event.size());
      is_open = connection.Write(size + event + "\r\n");
    }
    is_open = is_open && connection.Write("0\r\n\r\n");
    --runner.active;
    return is_open;
  }

  int events_;
  std::mutex mutex_;
  std::map<std::string, Part> parts_;
  std::uint64_t highest_token_ = 0;
};

}  // namespace review

#endif  // REVIEW_ENGINE_H_
