// The operators' tool.
#include <absl/flags/flag.h>

#include <boost/asio/co_spawn.hpp>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/ctl/context.h"
#include "src/settings/flag_source.h"

ABSL_FLAG(std::string, log_service, "127.0.0.1:7000",
          "address of the log service, ip:port");
ABSL_FLAG(std::string, routers, "",
          "operators' addresses of routers, ip:port,ip:port");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(bool, patch, false, "publish: FILE is a JSON merge patch");
ABSL_FLAG(bool, wait, false,
          "publish: wait until every router has the version in force");
ABSL_FLAG(std::int64_t, wait_ms, 12000, "publish: longest wait");
ABSL_FLAG(std::int64_t, base, -1,
          "publish: expected version; -1 for the newest");
ABSL_FLAG(std::string, author, "", "publish: who makes the change");
ABSL_FLAG(std::string, comment, "", "publish: why the change is made");
ABSL_FLAG(std::string, account, "", "explain: client account");

namespace beryllane {
namespace {

constexpr const char* kHelp =
    "beryllanectl: operates a fleet of beryllane routers.\n\n"
    "  config check FILE            validate a document\n"
    "  config publish FILE          publish a document, or --patch\n"
    "  config show [VERSION]        print a version\n"
    "  config history               list judged changes\n"
    "  config diff VERSION VERSION  compare two versions\n"
    "  config exceptions            list exceptions and their reasons\n"
    "  status                       state of --routers\n"
    "  explain FILE                 where a request would go, and why\n"
    "  explain ID LOG...            what logs tell of a request\n"
    "  drain                        stop the router of --routers gracefully\n\n"
    "Exit codes: 0 done, 1 the answer is no, 2 wrong use, 3 unreachable.\n\n";

using Command =
    std::function<net::asio::awaitable<int>(ctl::Context&, ctl::Words)>;

const std::map<std::string, Command>& Commands() {
  static const std::map<std::string, Command> commands{
      {"config check", ctl::ConfigCheck},
      {"config publish", ctl::ConfigPublish},
      {"config show", ctl::ConfigShow},
      {"config history", ctl::ConfigHistory},
      {"config diff", ctl::ConfigDiff},
      {"config exceptions", ctl::ConfigExceptions},
      {"status", ctl::Status},
      {"explain", ctl::Explain},
      {"drain", ctl::Drain}};
  return commands;
}

void ParseRouters(const std::string& text, ctl::Options& options,
                  std::vector<settings::SettingFault>& faults) {
  std::string_view rest = text;
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    const std::string_view item = rest.substr(0, comma);
    rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    if (const auto address = net::ParseAddress(item)) {
      options.routers.push_back(*address);
    } else {
      faults.push_back(
          {ErrorId::kSettingInvalid, "routers",
           "--routers holds \"" + std::string(item) + "\"; expected ip:port"});
    }
  }
}

ctl::Options ReadOptions(std::vector<settings::SettingFault>& faults) {
  ctl::Options options;
  const std::string log_service = absl::GetFlag(FLAGS_log_service);
  if (const auto address = net::ParseAddress(log_service)) {
    options.log_service = *address;
  } else {
    faults.push_back(
        {ErrorId::kSettingInvalid, "log_service",
         "--log_service is \"" + log_service + "\"; expected ip:port"});
  }
  ParseRouters(absl::GetFlag(FLAGS_routers), options, faults);
  options.as_json = absl::GetFlag(FLAGS_json);
  options.is_patch = absl::GetFlag(FLAGS_patch);
  options.wait = absl::GetFlag(FLAGS_wait);
  options.wait_limit = std::chrono::milliseconds(absl::GetFlag(FLAGS_wait_ms));
  if (absl::GetFlag(FLAGS_base) >= 0) {
    options.base = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_base));
  }
  options.author = absl::GetFlag(FLAGS_author);
  options.comment = absl::GetFlag(FLAGS_comment);
  options.account = absl::GetFlag(FLAGS_account);
  return options;
}

int Main(int argc, char** argv) {
  const std::vector<std::string> names{
      "log_service", "routers", "json",   "patch",   "wait",
      "wait_ms",     "base",    "author", "comment", "account"};
  const auto line = settings::ReadCommandLine(argc, argv, names);
  if (line.wants_help || line.positional.empty()) {
    std::printf("%s%s", kHelp, settings::HelpText(names).c_str());
    return line.wants_help ? ctl::kOk : ctl::kUsage;
  }
  auto faults = line.faults;
  ctl::Options options = ReadOptions(faults);
  if (!faults.empty()) {
    std::fputs(settings::FaultText(faults).c_str(), stderr);
    return ctl::kUsage;
  }
  ctl::Words words = line.positional;
  std::string name = words.front();
  words.erase(words.begin());
  if (name == "config" && !words.empty()) {
    name += " " + words.front();
    words.erase(words.begin());
  }
  const auto command = Commands().find(name);
  if (command == Commands().end()) {
    std::fprintf(stderr, "\"%s\" is not a command; see --help\n", name.c_str());
    return ctl::kUsage;
  }
  ctl::Context context(std::move(options));
  int code = ctl::kUnreachable;
  net::asio::co_spawn(context.loop, command->second(context, std::move(words)),
                      [&](const std::exception_ptr&, int result) {
                        code = result;
                        context.loop.stop();
                      });
  context.loop.run();
  return code;
}

}  // namespace
}  // namespace beryllane

int main(int argc, char** argv) { return beryllane::Main(argc, argv); }
