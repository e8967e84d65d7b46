// The config commands of beryllanectl.
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <set>

#include "beryllane/configlog/merge_diff.h"
#include "fmt/format.h"
#include "src/config/parse.h"
#include "src/ctl/config_reader.h"
#include "src/ctl/context.h"
#include "src/telemetry/trace.h"

namespace beryllane::ctl {
namespace {

using configlog::ApplyResult;
using configlog::HistoryEntry;
using net::asio::awaitable;
using nlohmann::json;

int Usage(const char* text) {
  std::fputs(fmt::format("usage: beryllanectl {}\n", text).c_str(), stderr);
  return kUsage;
}

std::string ToUtc(WallTime time) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

const char* ResultText(ApplyResult result) {
  switch (result) {
    case ApplyResult::kAccepted:
      return "accepted";
    case ApplyResult::kBaseMismatch:
      return "rejected: base mismatch";
    case ApplyResult::kInvalid:
      return "rejected: invalid";
    case ApplyResult::kDuplicate:
      return "duplicate";
    case ApplyResult::kUnreadable:
    case ApplyResult::kCheckpoint:
    case ApplyResult::kPending:
      break;
  }
  return "other";
}

// Prints the faults of a document; true if there are none.
bool CheckDocument(const json& document) {
  config::Config parsed;
  config::Faults faults;
  if (config::TryParseConfig(document, 0, RuntimeClock::WallNow(), parsed,
                             faults)) {
    return true;
  }
  std::fputs(config::ToText(faults).c_str(), stderr);
  return false;
}

json EntryJson(const HistoryEntry& entry) {
  return {{"offset", entry.offset},
          {"time", ToUtc(entry.time)},
          {"result", ResultText(entry.result)},
          {"version", entry.version},
          {"id", entry.change.id},
          {"base", entry.change.base},
          {"author", entry.change.author},
          {"comment", entry.change.comment},
          {"patch", entry.change.patch}};
}

void PrintEntry(const HistoryEntry& entry) {
  std::fputs(
      fmt::format("{:>8} {} version {:<6} {:<24} {:<16} {}\n", entry.offset,
                  ToUtc(entry.time), entry.version, ResultText(entry.result),
                  entry.change.author, entry.change.comment)
          .c_str(),
      stdout);
}

std::string DefaultAuthor(const Options& options) {
  if (!options.author.empty()) return options.author;
  const char* user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

// Polls routers until each has the version in force.
awaitable<int> WaitInForce(Context& context, std::uint64_t version) {
  constexpr std::chrono::milliseconds kPollEvery{100};
  const auto start = RuntimeClock::now();
  std::set<std::string> missing;
  do {
    missing.clear();
    for (const net::Address& router : context.options.routers) {
      const auto status = co_await GetJson(context, router, "/status");
      const bool has_it =
          status.ok() &&
          status.value().value("config_version", std::uint64_t{0}) >= version;
      if (!has_it) missing.insert(net::ToString(router));
    }
    if (missing.empty()) {
      const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
          RuntimeClock::now() - start);
      std::printf("in force at %zu routers after %lld ms\n",
                  context.options.routers.size(),
                  static_cast<long long>(millis.count()));
      co_return kOk;
    }
    co_await net::Sleep(kPollEvery);
  } while (RuntimeClock::now() < start + context.options.wait_limit);
  for (const std::string& router : missing) {
    std::fprintf(stderr, "not in force at %s\n", router.c_str());
  }
  co_return kNegative;
}

}  // namespace

awaitable<int> ConfigCheck(Context& /*context*/, Words words) {
  if (words.size() != 1) co_return Usage("config check FILE");
  const auto document = ReadJsonFile(words[0]);
  if (!document.ok()) co_return PrintError(document.error(), kNegative);
  if (!CheckDocument(document.value())) co_return kNegative;
  std::printf("%s is valid\n", words[0].c_str());
  co_return kOk;
}

awaitable<int> ConfigPublish(Context& context, Words words) {
  if (words.size() != 1) {
    co_return Usage(
        "config publish FILE [--patch] [--base N] [--author A] [--comment C] "
        "[--wait]");
  }
  const auto file = ReadJsonFile(words[0]);
  if (!file.ok()) co_return PrintError(file.error(), kNegative);
  ConfigReader reader(context);
  const auto caught_up = co_await reader.CatchUp();
  if (!caught_up.ok()) co_return PrintError(caught_up.error(), kUnreachable);
  configlog::Change change;
  change.id = fmt::format("{:016x}{:016x}", telemetry::RandomId(),
                          telemetry::RandomId());
  change.base = context.options.base.value_or(reader.log().version());
  change.author = DefaultAuthor(context.options);
  change.comment = context.options.comment;
  const auto base_document = reader.DocumentAt(change.base);
  if (!base_document) {
    std::fprintf(stderr, "version %llu is not in the log any more\n",
                 static_cast<unsigned long long>(change.base));
    co_return kNegative;
  }
  change.patch = context.options.is_patch
                     ? file.value()
                     : configlog::MergeDiff(*base_document, file.value());
  json result = *base_document;
  result.merge_patch(change.patch);
  if (!CheckDocument(result)) co_return kNegative;
  const auto published = co_await reader.Publish(std::move(change));
  if (!published.ok()) co_return PrintError(published.error(), kUnreachable);
  const HistoryEntry& entry = published.value();
  if (context.options.as_json) {
    std::printf("%s\n", EntryJson(entry).dump(2).c_str());
  } else {
    PrintEntry(entry);
  }
  if (entry.result != ApplyResult::kAccepted) {
    std::fprintf(stderr, "another change was accepted first:\n");
    for (const HistoryEntry& other : reader.log().history()) {
      const bool is_winner = other.result == ApplyResult::kAccepted &&
                             other.version > entry.change.base;
      if (is_winner) {
        std::fprintf(stderr, "%s\n", EntryJson(other).dump(2).c_str());
      }
    }
    co_return kNegative;
  }
  if (!context.options.wait) co_return kOk;
  co_return co_await WaitInForce(context, entry.version);
}

awaitable<int> ConfigShow(Context& context, Words words) {
  if (words.size() > 1) co_return Usage("config show [VERSION]");
  ConfigReader reader(context);
  const auto caught_up = co_await reader.CatchUp();
  if (!caught_up.ok()) co_return PrintError(caught_up.error(), kUnreachable);
  const std::uint64_t version =
      words.empty() ? reader.log().version()
                    : std::strtoull(words[0].c_str(), nullptr, 10);
  const auto document = version == reader.log().version()
                            ? std::optional<json>(reader.log().document())
                            : reader.DocumentAt(version);
  if (!document) {
    std::fprintf(stderr, "version %s is not in the log\n", words[0].c_str());
    co_return kNegative;
  }
  if (context.options.as_json) {
    const json shown{{"version", version}, {"document", *document}};
    std::printf("%s\n", shown.dump(2).c_str());
  } else {
    std::printf("version %llu\n%s\n", static_cast<unsigned long long>(version),
                document->dump(2).c_str());
  }
  co_return kOk;
}

awaitable<int> ConfigHistory(Context& context, Words words) {
  if (!words.empty()) co_return Usage("config history");
  ConfigReader reader(context);
  const auto caught_up = co_await reader.CatchUp();
  if (!caught_up.ok()) co_return PrintError(caught_up.error(), kUnreachable);
  json list = json::array();
  for (const HistoryEntry& entry : reader.log().history()) {
    if (context.options.as_json) {
      list.push_back(EntryJson(entry));
    } else {
      PrintEntry(entry);
    }
  }
  if (context.options.as_json) std::printf("%s\n", list.dump(2).c_str());
  co_return kOk;
}

awaitable<int> ConfigDiff(Context& context, Words words) {
  if (words.size() != 2) co_return Usage("config diff VERSION VERSION");
  ConfigReader reader(context);
  const auto caught_up = co_await reader.CatchUp();
  if (!caught_up.ok()) co_return PrintError(caught_up.error(), kUnreachable);
  const auto from =
      reader.DocumentAt(std::strtoull(words[0].c_str(), nullptr, 10));
  const auto to =
      reader.DocumentAt(std::strtoull(words[1].c_str(), nullptr, 10));
  if (!from || !to) {
    std::fprintf(stderr, "version %s is not in the log\n",
                 (from ? words[1] : words[0]).c_str());
    co_return kNegative;
  }
  std::printf("%s\n", json::diff(*from, *to).dump(2).c_str());
  co_return kOk;
}

awaitable<int> ConfigExceptions(Context& context, Words words) {
  if (!words.empty()) co_return Usage("config exceptions");
  ConfigReader reader(context);
  const auto caught_up = co_await reader.CatchUp();
  if (!caught_up.ok()) co_return PrintError(caught_up.error(), kUnreachable);
  const json& document = reader.log().document();
  const json exceptions = document.value("exceptions", json::object());
  if (context.options.as_json) {
    std::printf("%s\n", exceptions.dump(2).c_str());
    co_return kOk;
  }
  for (const auto& [name, rule] : exceptions.items()) {
    const json::json_pointer scope(rule.value("scope", ""));
    const std::string general =
        document.contains(scope) ? document.at(scope).dump() : "unset";
    std::fputs(
        fmt::format("{:<20} {} = {} (instead of {}) expires {}: {}\n", name,
                    rule.value("scope", ""), rule.value("value", json()).dump(),
                    general, rule.value("expires", "never"),
                    rule.value("reason", ""))
            .c_str(),
        stdout);
  }
  co_return kOk;
}

}  // namespace beryllane::ctl
