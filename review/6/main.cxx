// A booking that has run and failed with 503 is passed on as a refusal.
#include "../lab-2/lab.hpp"

namespace {

using namespace lab;

constexpr int kGreyMs = 6000;

constexpr const char* kTenants =
    "[{\"name\":\"workshop\",\"apiKeys\":[\"key-of-workshop\"],"
    "\"isolated\":false}]";

// What the runners saw: the runs of each request, and of each booking.
struct Seen {
  std::mutex mutex;
  std::map<std::string, int> runs;
  std::map<std::string, int> charges;
};

}  // namespace

int main(int, char** argv) {
  const std::string directory = argv[1];
  Record record(argv[2]);
  TheRecord() = &record;
  const bool has_trouble = HasTrouble();
  // Until then the one runner fails part of its requests.
  std::atomic<std::int64_t> grey_until{0};
  Seen seen;
  auto site = std::make_unique<Site>(directory);
  site->store.Put("keyed.op", "config", Site::Config(1, kTenants));
  const char* zones[] = {"iasi-a", "cluj-a", "bucuresti-a"};
  for (int i = 0; i < 3; ++i) {
    const std::string id = Format("i-desk-%d", i);
    // One runner of three fails each third of its requests after it has worked
    // on them. Its liveness check stays good.
    const bool is_grey = has_trouble && i == 2;
    site->AddRunner(
        id, "birou-comenzi", zones[i], "", 6,
        [&seen, &grey_until, is_grey, count = std::make_shared<std::atomic<int>>(0)](
            Runner& self, const Message& request, Channel& channel) {
          const std::string attempt = request.Get("Attempt-Id");
          SleepMs(15);
          {
            const std::lock_guard lock(seen.mutex);
            ++seen.runs[attempt];
            ++seen.charges[request.body];
          }
          const bool has_failed =
              is_grey && NowMs() < grey_until && ++*count % 3 == 0;
          Note(Format(
              "%s runs %s (%s)%s", self.id.c_str(), attempt.c_str(),
              request.body.c_str(),
              has_failed ? " and answers 503 without Not-Executed" : ""));
          return channel.Send(Reply(
              has_failed ? 503 : 200,
              has_failed ? "the printer is offline" : "booked " + request.body,
              self.Headers(request), "text/plain"));
        });
  }
  site->StartHeartbeats();
  Router& router = site->AddRouter("front-bucuresti-a-1", "bucuresti-a");
  router.Start();
  if (!router.WaitReady(15000)) site->Fail("the router is not ready");
  // The process has run for longer than `stableWindowMs`.
  SleepMs(4500);
  grey_until = NowMs() + kGreyMs;
  int asked = 0;
  std::map<std::string, int> promised;
  Channel channel;
  for (int booking = 1; booking <= 40; ++booking) {
    const std::string body = Format("booking-%d", booking);
    // The client's one retry is allowed after a promise only.
    for (int attempt = 1; attempt <= 2; ++attempt) {
      const std::string id = Format("a%d-%d", booking, attempt);
      if (attempt > 1) channel.Close();
      if (!channel.IsOpen() && !channel.Connect(router.ip, router.front)) {
        site->Fail("the router does not accept channels");
      }
      ++asked;
      const Outcome outcome =
          Ask(channel, "POST", "/book/refill", Site::kHost, id,
              "key-of-workshop", 2000, "Content-Type: text/plain\r\n", body);
      Note(Format("the client sent %s (%s) and got %s, seal %s", id.c_str(),
                  body.c_str(), outcome.text.c_str(),
                  outcome.seal.empty() ? "none" : outcome.seal.c_str()));
      const int status = outcome.status;
      const bool is_promise =
          status == 503 || status == 429 || status == 408 || status == 421;
      if (is_promise) promised[id] = status;
      if (!is_promise) break;
      SleepMs(100);
    }
    SleepMs(100);
  }
  SleepMs(1000);
  site.reset();
  int broken = 0;
  for (const auto& [id, status] : promised) {
    if (seen.runs[id] == 0) continue;
    ++broken;
    Note(
        Format("%s was answered %d, which promises that it has not run, and "
               "has run",
               id.c_str(), status));
  }
  int doubled = 0;
  for (const auto& [booking, runs] : seen.charges) {
    if (runs < 2) continue;
    ++doubled;
    Note(Format("%s was charged %d times", booking.c_str(), runs));
  }
  Finish(broken > 0,
         Format("%d of %d requests were answered as not run and had run; "
                "%d bookings were charged twice",
                broken, asked, doubled));
}
