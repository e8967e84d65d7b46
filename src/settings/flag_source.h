/// @file
/// Settings from flags and environment variables, flag first.
#ifndef BERYLLANE_SRC_SETTINGS_FLAG_SOURCE_H_
#define BERYLLANE_SRC_SETTINGS_FLAG_SOURCE_H_

#include <map>
#include <string>
#include <vector>

#include "beryllane/error/error.h"

namespace beryllane::settings {

/// Exit code of a program whose settings are wrong.
inline constexpr int kBadSettingsExit = 2;

/// Where a setting's value came from.
enum class Origin { kDefault, kEnvironment, kFlag };

/// A fault of one setting.
struct SettingFault {
  ErrorId id = ErrorId::kSettingInvalid;
  std::string name;
  std::string message;
};

/// What a command line held.
struct CommandLine {
  std::map<std::string, Origin> origins;
  std::vector<std::string> positional;
  std::vector<SettingFault> faults;
  bool wants_help = false;
};

/// Reads `BERYLLANE_<NAME>` and then the command line into the Abseil flags
/// called `names`. Unknown flags and values that do not parse are faults.
/// @pre the flags are defined in this program. Not thread-safe.
CommandLine ReadCommandLine(int argc, const char* const* argv,
                            const std::vector<std::string>& names);

/// Prints each flag with its default and meaning. @pre none.
std::string HelpText(const std::vector<std::string>& names);

/// Prints each setting in force with where it came from. @pre none.
std::string SettingsText(const std::vector<std::string>& names,
                         const CommandLine& line);

/// One line per fault. @pre none.
std::string FaultText(const std::vector<SettingFault>& faults);

}  // namespace beryllane::settings

#endif  // BERYLLANE_SRC_SETTINGS_FLAG_SOURCE_H_
