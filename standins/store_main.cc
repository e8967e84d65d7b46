// Stand-in for the platform's metadata store.
#include <absl/flags/flag.h>

#include <cstdio>
#include <string>
#include <vector>

#include "src/settings/flag_source.h"
#include "standins/metadata_store.h"
#include "standins/support.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:7200", "address of the store");
ABSL_FLAG(std::string, control_listen, "", "address of the control port");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of random faults");

namespace beryllane::standins {
namespace {

int Main(int argc, char** argv) {
  const std::vector<std::string> names{"listen", "control_listen", "seed"};
  const auto line = settings::ReadCommandLine(argc, argv, names);
  if (line.wants_help) {
    std::puts(settings::HelpText(names).c_str());
    return 0;
  }
  if (!line.faults.empty()) {
    std::fputs(settings::FaultText(line.faults).c_str(), stderr);
    return settings::kBadSettingsExit;
  }
  net::ContextPool pool(1);
  MetadataStore store(absl::GetFlag(FLAGS_seed));
  ServerSpec spec;
  spec.listen = absl::GetFlag(FLAGS_listen);
  spec.control_listen = absl::GetFlag(FLAGS_control_listen);
  spec.handler = [&](net::Exchange& e) { return store.Handle(e); };
  spec.control = [&](net::Exchange& e) { return store.Control(e); };
  return RunServers(pool, spec, [] {});
}

}  // namespace
}  // namespace beryllane::standins

int main(int argc, char** argv) {
  return beryllane::standins::Main(argc, argv);
}
