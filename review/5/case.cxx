// The store turns one router away while configurations come in quick
// succession and a key is taken away. When it serves the router again, what
// the router has to read is more than one answer holds.
#include "review/harness/mini_store.hpp"

using namespace review;

namespace {

constexpr const char* kHost = "desk.example";
constexpr const char* kKey = "key-of-salon-a";      // Stays.
constexpr const char* kRevoked = "key-of-salon-b";  // Is taken away.
constexpr int kRevokeMs = 5000;
// An answer of the store takes 4 ms, the way there and back 2 x 12 ms.
constexpr int kStoreMs = 28;
constexpr int kAwayMs = 9000;     // platform_down, how = "nodes", 9 s
constexpr int kStormGapMs = 330;  // config_storm, 4 s, a change each 0.33 s
constexpr int kStormChanges = 12;
constexpr int kManyRoutes = 700;  // big_config, 350 routes, twice

json Config(int version, bool has_key) {
  json routes{RouteOf("book", kHost, "/book/", "unsafe", "desk", 2000, 200, 1)};
  for (int i = 0; i < kManyRoutes; ++i) {
    const std::string name = "r-" + std::to_string(100000 + i);
    routes.push_back(RouteOf(name, name + ".example", "/" + name + "/", "safe",
                             "desk", 2000, 200, 1));
  }
  json keys{"another-key-of-salon-b"};
  if (has_key) keys.push_back(kRevoked);
  return {{"version", version},
          {"routes", routes},
          {"services", {PlainService("desk")}},
          {"limits", Limits()},
          {"tenants",
           {{{"name", "salon-a"},
             {"apiKeys", {kKey}},
             {"priority", 1},
             {"isolated", false}},
            {{"name", "salon-b"},
             {"apiKeys", keys},
             {"priority", 1},
             {"isolated", false}}}}};
}

std::mutex g_mutex;
std::map<std::string, std::int64_t>
    g_sent_at;                     // Requests with the revoked key.
std::int64_t g_confirmed_at = -1;  // Of the revocation.
int g_late_runs = 0;

bool Handle(Runner& runner, Connection& connection, const Head& head) {
  std::string body;
  if (!ReadBody(connection, head, body)) return false;
  const std::string id = head.Field("Attempt-Id");
  if (head.Field("Expect-Instance") != runner.id) {
    return connection.Write(
        AnswerText(421, {{"Instance-Id", runner.id}, {"Attempt-Id", id}}, ""));
  }
  {
    std::lock_guard<std::mutex> lock(g_mutex);
    const auto sent = g_sent_at.find(id);
    const bool is_late = sent != g_sent_at.end() && g_confirmed_at >= 0 &&
                         sent->second > g_confirmed_at + kRevokeMs;
    if (is_late) {
      ++g_late_runs;
      Record::Line(
          "%s runs %s with the revoked key, tenant %s, sent %lld ms after the "
          "confirmation",
          runner.id.c_str(), id.c_str(), head.Field("Tenant").c_str(),
          static_cast<long long>(sent->second - g_confirmed_at));
    }
  }
  SleepMs(30);
  return connection.Write(AnswerText(200,
                                     {{"Attempt-Id", id},
                                      {"Response-Seal", "seal"},
                                      {"Keep-Alive", "timeout=5"}},
                                     "booked"));
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc < 3) return kCannotRun;
  Record::Open(std::string(argv[1]) + "/record.txt");
  Folder folder;
  MiniStore store(kStoreMs);
  auto& door = store.AddDoor();
  int version = 3;
  store.Put("keyed.op", "config", Config(version, true));
  const char* zones[] = {"akl-a", "wlg-a", "chc-a"};
  std::vector<std::unique_ptr<Runner>> runners;
  for (const char* zone : zones) {
    runners.push_back(std::make_unique<Runner>(
        [&store](const std::string& id, const json& entry) {
          store.Put("keyed.servers", id, entry);
        },
        "i-" + NewId(), "desk", zone, "", 6, Handle));
    runners.back()->Start();
  }
  Router router;
  router.Start("127.0.0.1:" + std::to_string(door.port), folder.path, 1,
               zones[0], "auckland");
  // Two more in other zones; the store turns one of three away.
  Router others[2];
  const char* regions[] = {"wellington", "christchurch"};
  for (int i = 0; i < 2; ++i) {
    others[i].Start("127.0.0.1:" + std::to_string(store.AddDoor().port),
                    folder.path, i + 2, zones[i + 1], regions[i]);
  }
  for (Router* one : {&router, &others[0], &others[1]}) {
    if (!one->WaitReady(20000)) return kCannotRun;
  }
  SleepMs(5000);
  std::atomic<bool> is_over{false};
  std::mutex mutex;
  std::map<std::string, std::map<std::string, int>> outcomes;
  // 60 requests a second with each key, as from a client that knows nothing of
  // the change.
  const auto ask = [&](const char* key) {
    const std::string id = NewId();
    if (key == kRevoked) {
      std::lock_guard<std::mutex> lock(g_mutex);
      g_sent_at[id] = NowMs();
    }
    const Answer answer = Ask(router.ip, router.front,
                              Request("POST", "/book/one",
                                      {{"Host", kHost},
                                       {"Attempt-Id", id},
                                       {"Deadline-Ms", "2000"},
                                       {"Credential", key}},
                                      "charge"),
                              2500);
    std::lock_guard<std::mutex> lock(mutex);
    ++outcomes[key][answer.Text()];
  };
  std::vector<std::thread> senders;
  for (const char* key : {kKey, kRevoked}) {
    for (int i = 0; i < 6; ++i) {
      senders.emplace_back([&, key] {
        while (!is_over) {
          ask(key);
          SleepMs(60);
        }
      });
    }
  }
  const auto tell = [&](const char* when) {
    std::lock_guard<std::mutex> lock(mutex);
    for (const auto& [key, texts] : outcomes) {
      std::string text;
      for (const auto& [outcome, count] : texts)
        text += " " + outcome + ":" + std::to_string(count);
      Record::Line("%s, %s:%s", when, key.c_str(), text.c_str());
    }
    outcomes.clear();
  };
  SleepMs(3000);
  tell("before");
  const auto start = Clock::now();
  door.turns_away = HasTrouble();
  Record::Line("the store turns the router away: %s",
               HasTrouble() ? "yes" : "no");
  SleepMs(50);
  for (int i = 0; i < kStormChanges - 1; ++i) {
    store.Put("keyed.op", "config", Config(version += 3, true));
    SleepMs(kStormGapMs);
  }
  store.Put("keyed.op", "config", Config(version += 3, false));
  {
    std::lock_guard<std::mutex> lock(g_mutex);
    g_confirmed_at = NowMs();
  }
  Record::Line(
      "the key is taken away; a configuration has %zu bytes, %d were written "
      "since",
      Config(version, false).dump().size(), kStormChanges);
  tell("storm");
  std::this_thread::sleep_until(start + milliseconds(kAwayMs));
  tell("away");
  door.turns_away = false;
  Record::Line("the store serves the router again");
  SleepMs(6000);
  is_over = true;
  for (auto& sender : senders) sender.join();
  tell("after");
  Record::Line(
      "requests that ran with the revoked key, sent later than revokeMs after "
      "its confirmation: %d",
      g_late_runs);
  for (Router* one : {&router, &others[0], &others[1]})
    one->process.End(SIGTERM);
  for (auto& runner : runners) runner->Stop();
  store.Stop();
  return g_late_runs > 0 ? kBroken : kHeld;
}
