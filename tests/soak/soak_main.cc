// Plays random faults against real processes, from a seed, and checks what
// callers and targets see.
#include <absl/flags/flag.h>

#include <cstdio>
#include <filesystem>

#include "src/settings/flag_source.h"
#include "tests/soak/soak.h"

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the first plan");
ABSL_FLAG(int, plans, 1, "plans to play, of this seed and the following ones");
ABSL_FLAG(int, routers, 3, "routers of the fleet");
ABSL_FLAG(int, seconds, 8, "seconds in which faults begin");
ABSL_FLAG(bool, print_plan, false, "print the plans without playing them");

namespace beryllane::soak {
namespace {

bool Play(std::uint64_t seed, const PlanShape& shape) {
  Soak soak(seed, shape);
  const std::vector<std::string> broken = soak.Run();
  std::printf("seed %llu: %zu sent, %zu served, %zu promises broken\n",
              static_cast<unsigned long long>(seed), soak.sent(), soak.served(),
              broken.size());
  for (const std::string& line : broken) std::printf("  %s\n", line.c_str());
  if (broken.empty()) {
    std::filesystem::remove_all(soak.directory());
    return true;
  }
  for (const Fault& fault : DrawPlan(seed, shape)) {
    std::printf("  %s\n", Describe(fault).c_str());
  }
  std::printf("  logs: %s\n", soak.directory().c_str());
  return false;
}

int Main(int argc, char** argv) {
  const std::vector<std::string> names{"seed", "plans", "routers", "seconds",
                                       "print_plan"};
  const auto line = settings::ReadCommandLine(argc, argv, names);
  if (line.wants_help) {
    std::puts(settings::HelpText(names).c_str());
    return 0;
  }
  if (!line.faults.empty()) {
    std::fputs(settings::FaultText(line.faults).c_str(), stderr);
    return settings::kBadSettingsExit;
  }
  PlanShape shape;
  shape.routers = absl::GetFlag(FLAGS_routers);
  shape.span = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  const std::uint64_t first = absl::GetFlag(FLAGS_seed);
  const auto plans = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_plans));
  bool is_kept = true;
  for (std::uint64_t seed = first; seed < first + plans; ++seed) {
    if (absl::GetFlag(FLAGS_print_plan)) {
      for (const Fault& fault : DrawPlan(seed, shape)) {
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed),
                    Describe(fault).c_str());
      }
      continue;
    }
    is_kept = Play(seed, shape) && is_kept;
    std::fflush(stdout);
  }
  return is_kept ? 0 : 1;
}

}  // namespace
}  // namespace beryllane::soak

int main(int argc, char** argv) { return beryllane::soak::Main(argc, argv); }
