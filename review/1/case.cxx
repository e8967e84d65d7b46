// Runners turn long requests away before they have read them. What else was to
// be sent of such a request must not reach another runner.
#include <set>

#include "review/harness/harness.hpp"

using namespace review;

namespace {

constexpr int kRunners = 3;
constexpr std::size_t kBodyBytes = 1000000;  // The limit is 4,194,304.
constexpr std::size_t kBlockBytes = 4096;
constexpr int kSegmentBytes = 1448;  // TCP segments of an Ethernet link.
constexpr int kClients = 8;
constexpr int kLastMs = 60000;
// Runners close their channel after an answer now and then.
constexpr int kCloseEvery = 5;
// After this time the platform starts a process that has ended again.
constexpr int kRestartMs = 500;
constexpr int kWorkMs = 30;
constexpr const char* kHost = "desk.example";
constexpr const char* kPath = "/book/one";
constexpr const char* kKey = "key-of-salon";

std::mutex g_mutex;
std::map<std::string, std::size_t> g_sent;  // Id to the hash of its body.
std::map<std::string, int> g_runs;
int g_smuggled = 0;
int g_changed = 0;
int g_unreadable = 0;
int g_early = 0;
int g_answers = 0;

// A text that quotes requests, with empty lines between them.
std::string Body(const std::string& id) {
  std::string block =
      "POST /book/inner HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: quoted-" +
      id + "\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
  while (block.size() < kBlockBytes) block += "\r\n";
  std::string body;
  while (body.size() < kBodyBytes) body += block;
  return body;
}

bool Handle(Runner& runner, Connection& connection, const Head& head,
            bool is_early) {
  const std::string id = head.Field("Attempt-Id");
  const std::string expected = head.Field("Expect-Instance");
  const bool is_request = head.Word(0) == "POST" &&
                          head.Word(1).starts_with("/") &&
                          head.Word(2) == "HTTP/1.1";
  if (!is_request || id.empty()) {
    {
      std::lock_guard<std::mutex> lock(g_mutex);
      ++g_unreadable;
    }
    Record::Line("%s got bytes that are no request: \"%.40s\"",
                 runner.id.c_str(), head.start.c_str());
    connection.Write(AnswerText(400, {{"Not-Executed", "1"}}, ""));
    return false;
  }
  if (!expected.empty() && expected != runner.id) {
    return connection.Write(
        AnswerText(421, {{"Instance-Id", runner.id}, {"Attempt-Id", id}}, ""));
  }
  if (is_early) {
    // It rejects the request before it is in, keeps the channel and reads on.
    const std::size_t part = 100000 + std::hash<std::string>{}(id) % 700000;
    while (connection.buffer.size() < part && connection.Fill()) {
    }
    connection.Write(
        AnswerText(503, {{"Attempt-Id", id}, {"Not-Executed", "1"}}, ""));
    const auto until = Clock::now() + milliseconds(300);
    while (connection.Fill(until)) connection.buffer.clear();
    std::lock_guard<std::mutex> lock(g_mutex);
    ++g_early;
    return false;
  }
  std::string body;
  if (!ReadBody(connection, head, body)) return false;
  SleepMs(kWorkMs);
  std::lock_guard<std::mutex> lock(g_mutex);
  ++g_runs[id];
  const auto sent = g_sent.find(id);
  if (sent == g_sent.end()) {
    ++g_smuggled;
    Record::Line("%s runs a request that no client sent: \"%s\" id %s",
                 runner.id.c_str(), head.start.c_str(), id.c_str());
  } else if (sent->second != std::hash<std::string>{}(body) ||
             head.Word(1) != kPath) {
    ++g_changed;
    Record::Line("%s runs %s with another body or path", runner.id.c_str(),
                 id.c_str());
  }
  const bool is_last = ++g_answers % kCloseEvery == 0;
  const std::string kept = is_last ? "Connection" : "Keep-Alive";
  const bool is_sent_whole =
      connection.Write(AnswerText(200,
                                  {{"Attempt-Id", id},
                                   {"Response-Seal", "seal"},
                                   {kept, is_last ? "close" : "timeout=5"}},
                                  "booked"));
  return is_sent_whole && !is_last;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc < 3) return kCannotRun;
  Record::Open(std::string(argv[1]) + "/record.txt");
  Folder folder;
  Store store;
  if (!store.Start(argv[2], folder.path)) return kCannotRun;
  store.Put(
      "keyed.op", "config",
      {{"version", 3},
       {"routes",
        {RouteOf("book", kHost, "/book/", "unsafe", "desk", 2000, 200, 2)}},
       {"services", {PlainService("desk")}},
       {"limits", Limits()},
       {"tenants",
        {{{"name", "salon"},
          {"apiKeys", {kKey}},
          {"priority", 1},
          {"isolated", false}}}}});
  const char* zones[] = {"akl-a", "wlg-a", "chc-a"};
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < kRunners; ++i) {
    const bool is_early = HasTrouble() && i == 0;
    runners.push_back(std::make_unique<Runner>(
        store, "i-" + NewId(), "desk", zones[i], "", 6,
        [is_early](Runner& r, Connection& c, const Head& h) {
          return Handle(r, c, h, is_early);
        }));
    runners.back()->Start(0, kSegmentBytes);
  }
  Router router;
  router.Start(store, folder.path, 1, zones[0], "auckland");
  if (!router.WaitReady(20000)) return kCannotRun;
  SleepMs(2000);
  std::map<std::string, int> outcomes;
  std::atomic<int> ends{0};
  std::atomic<bool> is_over{false};
  // The platform starts a process that has ended again.
  std::thread platform([&] {
    while (!is_over) {
      SleepMs(20);
      if (router.process.IsRunning()) continue;
      ++ends;
      Record::Line("the router ended by itself, by signal %d",
                   WTERMSIG(router.process.status()));
      SleepMs(kRestartMs);
      router.Start(store, folder.path, 1, zones[0], "auckland");
    }
  });
  const auto send = [&](int number) {
    SleepMs(10 * number);
    while (NowMs() < kLastMs) {
      const std::string id = NewId();
      const std::string body = Body(id);
      {
        std::lock_guard<std::mutex> lock(g_mutex);
        g_sent[id] = std::hash<std::string>{}(body);
      }
      const Answer answer = Ask(router.ip, router.front,
                                Request("POST", kPath,
                                        {{"Host", kHost},
                                         {"Attempt-Id", id},
                                         {"Deadline-Ms", "2000"},
                                         {"Credential", kKey}},
                                        body),
                                2500);
      Record::Line("request %s answered %s after %lld ms", id.c_str(),
                   answer.Text().c_str(),
                   static_cast<long long>(answer.took_ms));
      {
        std::lock_guard<std::mutex> lock(g_mutex);
        ++outcomes[answer.Text()];
      }
      SleepMs(100);
    }
  };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) clients.emplace_back(send, i);
  for (auto& client : clients) client.join();
  is_over = true;
  platform.join();
  int twice = 0;
  for (const auto& [id, runs] : g_runs)
    twice += runs > 1 && g_sent.contains(id);
  for (const auto& [text, count] : outcomes)
    Record::Line("answers %s: %d", text.c_str(), count);
  Record::Line(
      "early refusals %d; runs that no client sent %d; runs with another body "
      "%d; run twice %d; "
      "heads that are no request %d; the router ended by itself: %d times",
      g_early, g_smuggled, g_changed, twice, g_unreadable, ends.load());
  router.process.End(SIGTERM);
  for (auto& runner : runners) runner->Stop();
  if (outcomes["200"] < 20) return kCannotRun;
  return g_smuggled + g_changed > 0 ? kBroken : kHeld;
}
