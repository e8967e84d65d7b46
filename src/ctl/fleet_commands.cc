// The status, explain and drain commands of beryllanectl.
#include <cstdio>
#include <fstream>

#include "fmt/format.h"
#include "src/ctl/context.h"
#include "src/ctl/log_explain.h"
#include "src/net/percent_encoding.h"

namespace beryllane::ctl {
namespace {

using net::asio::awaitable;
using nlohmann::json;

void PrintStatus(const net::Address& address, const json& status) {
  std::fputs(fmt::format("{} {} {} config {} log {} host list {} ({})\n",
                         net::ToString(address), status.value("host", "?"),
                         status.value("ready", false) ? "ready" : "NOT READY",
                         status.value("config_version", 0),
                         status.value("log_up", false) ? "up" : "DOWN",
                         status.value("host_list_up", false) ? "up" : "DOWN",
                         status.value("reason", ""))
                 .c_str(),
             stdout);
  for (const json& target : status.value("targets", json::array())) {
    std::fputs(
        fmt::format("  {:<16} {:<16} {:<14} queued {:>8} running {:>4}"
                    "{}{}\n",
                    target.value("id", ""), target.value("pool", ""),
                    target.value("zone", ""), target.value("queued_tokens", 0),
                    target.value("running", 0),
                    target.value("leaving", false) ? " leaving" : "",
                    target.value("suspect", false) ? " suspect" : "")
            .c_str(),
        stdout);
  }
}

}  // namespace

awaitable<int> Status(Context& context, Words words) {
  if (!words.empty()) {
    std::fputs("usage: beryllanectl status --routers ip:port,...\n", stderr);
    co_return kUsage;
  }
  int code = kOk;
  json all = json::object();
  for (const net::Address& router : context.options.routers) {
    const auto status = co_await GetJson(context, router, "/status");
    if (!status.ok()) {
      code = PrintError(status.error(), kUnreachable);
      continue;
    }
    if (!status.value().value("ready", false) && code == kOk) code = kNegative;
    all[net::ToString(router)] = status.value();
    if (!context.options.as_json) PrintStatus(router, status.value());
  }
  if (context.options.as_json) std::printf("%s\n", all.dump(2).c_str());
  co_return code;
}

// Prints what logs tell of one request.
int ExplainFromLogs(const Words& words, bool as_json) {
  LogCollection logs;
  for (std::size_t i = 1; i < words.size(); ++i) {
    std::ifstream in(words[i]);
    if (!in) {
      std::fputs(fmt::format("{} cannot be read\n", words[i]).c_str(), stderr);
      return kUsage;
    }
    logs.Read(in);
  }
  if (logs.unreadable() > 0) {
    std::fputs(fmt::format("{} lines are no JSON and were skipped\n",
                           logs.unreadable())
                   .c_str(),
               stderr);
  }
  const auto lines = logs.LinesAbout(words[0]);
  const std::string text =
      as_json ? json(lines).dump(2) + "\n" : ExplainLines(words[0], lines);
  std::fputs(text.c_str(), stdout);
  return lines.empty() ? kNegative : kOk;
}

awaitable<int> Explain(Context& context, Words words) {
  if (words.size() > 1) {
    co_return ExplainFromLogs(words, context.options.as_json);
  }
  if (words.size() != 1 || context.options.account.empty() ||
      context.options.routers.empty()) {
    std::fputs(
        "usage: beryllanectl explain FILE --account NAME --routers ip:port\n",
        stderr);
    co_return kUsage;
  }
  const auto body = ReadJsonFile(words[0]);
  if (!body.ok()) co_return PrintError(body.error(), kNegative);
  const auto answer = co_await PostJson(
      context, context.options.routers.front(),
      "/explain/" + net::PercentEncode(context.options.account),
      body.value().dump());
  if (!answer.ok()) co_return PrintError(answer.error(), kUnreachable);
  const json& decision = answer.value();
  if (context.options.as_json || decision.contains("error")) {
    std::printf("%s\n", decision.dump(2).c_str());
    co_return decision.contains("error") ? kNegative : kOk;
  }
  std::fputs(
      fmt::format("prompt of {} tokens in {} levels, home set of {}\n"
                  "{:<2} {:<16} {:>8} {:>10} {:>10} {:>8} {:>8} {:>10}\n",
                  decision.value("prompt_tokens", 0),
                  decision.value("levels", 0), decision.value("home_width", 0),
                  "", "target", "cached", "wait ms", "prefill ms", "link ms",
                  "billed", "price ms")
          .c_str(),
      stdout);
  for (const json& c : decision.value("candidates", json::array())) {
    const bool is_chosen =
        c.value("target", "") == decision.value("chosen", "");
    std::fputs(
        fmt::format("{:<2} {:<16} {:>8} {:>10.1f} {:>10.1f} {:>8.1f} {:>8.1f} "
                    "{:>10.1f}\n",
                    is_chosen ? "->" : "", c.value("target", ""),
                    c.value("expected_cached_tokens", 0),
                    c.value("wait_ms", 0.0), c.value("prefill_ms", 0.0),
                    c.value("link_ms", 0.0), c.value("billed_ms", 0.0),
                    c.value("price_ms", 0.0))
            .c_str(),
        stdout);
  }
  const std::string refusal = decision.value("refusal", "");
  if (refusal.empty()) co_return kOk;
  std::printf("refused: %s\n", refusal.c_str());
  co_return kNegative;
}

awaitable<int> Drain(Context& context, Words words) {
  if (!words.empty() || context.options.routers.size() != 1) {
    std::fputs("usage: beryllanectl drain --routers ip:port\n", stderr);
    co_return kUsage;
  }
  const net::Address router = context.options.routers.front();
  const auto answer = co_await PostJson(context, router, "/drain", "");
  if (!answer.ok()) co_return PrintError(answer.error(), kUnreachable);
  std::printf("%s finishes its requests and stops\n",
              net::ToString(router).c_str());
  co_return kOk;
}

}  // namespace beryllane::ctl
