// A tenant becomes isolated by a change of the configuration; what its earlier
// requests left in the runners' memory must not serve others any more.
#include "review/harness/engine.hpp"

using namespace review;

namespace {

constexpr const char* kHost = "scribe.example";
constexpr const char* kKeyA = "key-of-salon-a";
constexpr const char* kKeyB = "key-of-salon-b";

json Config(int version, bool is_isolated) {
  return {{"version", version},
          {"routes",
           {RouteOf("verdict", kHost, "/verdict/", "streaming", "scribe", 6000,
                    600, 1)}},
          {"services", {EngineService("scribe", "m1")}},
          {"limits", Limits()},
          {"tenants",
           {{{"name", "salon-a"},
             {"apiKeys", {kKeyA}},
             {"priority", 1},
             {"isolated", is_isolated}},
            {{"name", "salon-b"},
             {"apiKeys", {kKeyB}},
             {"priority", 1},
             {"isolated", false}}}}};
}

Answer Send(const Router& router, const std::string& key,
            const std::string& shared) {
  const std::string id = NewId();
  const Answer answer = Ask(
      router.ip, router.front,
      Request("POST", "/verdict/one",
              {{"Host", kHost},
               {"Attempt-Id", id},
               {"Model", "m1"},
               {"Token-Usage", "1050,20"},
               {"Prompt-Prefix", shared + ":800," + id.substr(0, 8) + ":250"},
               {"Deadline-Ms", "6000"},
               {"Credential", key}},
              "x"),
      7000);
  Record::Line("request %s with key %s answered %s", id.c_str(), key.c_str(),
               answer.Text().c_str());
  return answer;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc < 3) return kCannotRun;
  Record::Open(std::string(argv[1]) + "/record.txt");
  Folder folder;
  Store store;
  if (!store.Start(argv[2], folder.path)) return kCannotRun;
  // Without the trouble the tenant is isolated from the start.
  const bool is_isolated_first = !HasTrouble();
  store.Put("keyed.op", "config", Config(3, is_isolated_first));
  const char* zones[] = {"akl-a", "wlg-a", "chc-a"};
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < 3; ++i) {
    engines.push_back(std::make_unique<Engine>(store, "i-" + NewId(), "scribe",
                                               zones[i], "m1"));
    engines.back()->runner.Start();
  }
  store.Put("keyed.op", "version/m1", {{"model", "m1"}, {"version", 1}});
  Router router;
  router.Start(store, folder.path, 1, "akl-a", "auckland");
  if (!router.WaitReady(20000)) return kCannotRun;
  SleepMs(6000);
  const std::vector<std::string> records{"5c1e07a2", "5c1e07a3", "5c1e07a4",
                                         "5c1e07a5"};
  int served = 0;
  for (const auto& part : records)
    served += Send(router, kKeyA, part).status() == 200;
  Record::Line("the configuration isolates salon-a now");
  if (HasTrouble()) store.Put("keyed.op", "config", Config(7, true));
  // Twice the time within which it must be in force.
  SleepMs(5000);
  const std::size_t uses_before = Engine::Uses().size();
  for (const auto& part : records)
    served += Send(router, kKeyB, part).status() == 200;
  for (const auto& part : records)
    served += Send(router, kKeyA, part).status() == 200;
  int broken = 0;
  const auto uses = Engine::Uses();
  for (std::size_t i = uses_before; i < uses.size(); ++i)
    broken += uses[i].maker != uses[i].user;
  Record::Line(
      "served %d of 12 requests; parts of the other tenant used while one is "
      "isolated: %d",
      served, broken);
  router.process.End(SIGTERM);
  for (auto& engine : engines) engine->runner.Stop();
  SleepMs(600);
  if (served < 12) return kCannotRun;
  return broken > 0 ? kBroken : kHeld;
}
