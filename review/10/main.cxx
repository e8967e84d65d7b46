// A runner's status that is not in the router's table reaches the client as 0.
#include "../lab-2/lab.hpp"

namespace {

using namespace lab;

constexpr int kGreyMs = 6000;

constexpr const char* kTenants =
    "[{\"name\":\"workshop\",\"apiKeys\":[\"key-of-workshop\"],"
    "\"isolated\":false}]";

// The statuses of the failures. 425 is registered, the others are not; clients
// and servers take any status of three digits by its first one.
constexpr int kStatuses[] = {520, 425, 522};

}  // namespace

int main(int, char** argv) {
  Record record(argv[2]);
  TheRecord() = &record;
  const bool has_trouble = HasTrouble();
  // Until then the one runner fails part of its requests.
  std::atomic<std::int64_t> grey_until{0};
  std::mutex mutex;
  // Status that the runner gave, by attempt and seal.
  std::map<std::pair<std::string, std::string>, int> given;
  auto site = std::make_unique<Site>(argv[1]);
  site->store.Put("keyed.op", "config", Site::Config(1, kTenants));
  const char* zones[] = {"iasi-a", "cluj-a", "bucuresti-a"};
  for (int i = 0; i < 3; ++i) {
    const bool is_grey = has_trouble && i == 2;
    site->AddRunner(
        Format("i-desk-%d", i), "birou-comenzi", zones[i], "", 6,
        [&, is_grey, count = std::make_shared<std::atomic<int>>(0)](
            Runner& self, const Message& request, Channel& channel) {
          const std::string id = request.Get("Attempt-Id");
          SleepMs(15);
          const int n = ++*count;
          const bool has_failed = is_grey && NowMs() < grey_until && n % 3 == 0;
          const int status = has_failed ? kStatuses[n / 3 % 3] : 200;
          const std::string headers = self.Headers(request);
          {
            const auto at = headers.find("Response-Seal: ") + 15;
            const std::string seal =
                headers.substr(at, headers.find("\r\n", at) - at);
            const std::lock_guard lock(mutex);
            given[{id, seal}] = status;
          }
          Note(Format("%s runs %s and answers %d", self.id.c_str(), id.c_str(),
                      status));
          return channel.Send(
              Reply(status, status == 200 ? "booked" : "the card was declined",
                    headers, "text/plain"));
        });
  }
  site->StartHeartbeats();
  Router& router = site->AddRouter("front-bucuresti-a-1", "bucuresti-a");
  router.Start();
  if (!router.WaitReady(15000)) site->Fail("the router is not ready");
  SleepMs(4500);
  grey_until = NowMs() + kGreyMs;
  int broken = 0;
  constexpr int kRequests = 60;
  Channel channel;
  for (int i = 1; i <= kRequests; ++i) {
    if (!channel.IsOpen() && !channel.Connect(router.ip, router.front)) {
      site->Fail("the router does not accept channels");
    }
    const std::string id = Format("a%d", i);
    const Outcome outcome = Ask(channel, "POST", "/book/refill", Site::kHost,
                                id, "key-of-workshop", 2000, "", "refill");
    Note(Format("the client sent %s and got \"%s\", seal %s", id.c_str(),
                outcome.start.c_str(),
                outcome.seal.empty() ? "none" : outcome.seal.c_str()));
    const std::lock_guard lock(mutex);
    const auto gave = given.find({id, outcome.seal});
    const bool is_other = gave != given.end() && gave->second != outcome.status;
    if (is_other) {
      ++broken;
      Note(Format("%s bears the seal of an answer with status %d", id.c_str(),
                  gave->second));
    }
    SleepMs(100);
  }
  site.reset();
  Finish(broken > 0, Format("%d of %d answers bear the seal of a runner that "
                            "gave another status",
                            broken, kRequests));
}
