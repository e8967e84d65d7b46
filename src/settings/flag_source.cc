#include "src/settings/flag_source.h"

#include <absl/flags/reflection.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <string_view>

#include "fmt/format.h"

namespace beryllane::settings {
namespace {

std::string EnvironmentName(std::string_view flag) {
  std::string name = "BERYLLANE_";
  for (const char c : flag) {
    name += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return name;
}

void Parse(const std::string& name, const std::string& value, Origin origin,
           const std::string& shown_as, CommandLine& line) {
  absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
  std::string error;
  if (flag == nullptr || !flag->ParseFrom(value, &error)) {
    line.faults.push_back(
        {ErrorId::kSettingInvalid, name,
         fmt::format("{} has the value \"{}\": {}", shown_as, value,
                     error.empty() ? "not valid" : error)});
    return;
  }
  line.origins[name] = origin;
}

void ReadEnvironment(const std::vector<std::string>& names, CommandLine& line) {
  for (const std::string& name : names) {
    const std::string variable = EnvironmentName(name);
    const char* value = std::getenv(variable.c_str());
    if (value != nullptr) {
      Parse(name, value, Origin::kEnvironment, variable, line);
    }
  }
}

bool IsBool(const std::string& name) {
  const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
  return flag != nullptr && flag->IsOfType<bool>();
}

std::string_view OriginText(Origin origin) {
  switch (origin) {
    case Origin::kDefault:
      return "default";
    case Origin::kEnvironment:
      return "environment";
    case Origin::kFlag:
      return "flag";
  }
  return "default";
}

}  // namespace

CommandLine ReadCommandLine(int argc, const char* const* argv,
                            const std::vector<std::string>& names) {
  CommandLine line;
  for (const std::string& name : names) line.origins[name] = Origin::kDefault;
  ReadEnvironment(names, line);
  for (int i = 1; i < argc; ++i) {
    const std::string_view argument = argv[i];
    if (!argument.starts_with("--")) {
      line.positional.emplace_back(argument);
      continue;
    }
    const std::size_t equals = argument.find('=');
    const std::string name(argument.substr(2, equals - 2));
    if (name == "help") {
      line.wants_help = true;
      continue;
    }
    if (std::find(names.begin(), names.end(), name) == names.end()) {
      line.faults.push_back({ErrorId::kSettingUnknown, name,
                             fmt::format("--{} is not a known flag", name)});
      continue;
    }
    std::string value;
    if (equals != std::string_view::npos) {
      value = argument.substr(equals + 1);
    } else if (IsBool(name)) {
      value = "true";
    } else if (i + 1 < argc) {
      value = argv[++i];
    } else {
      line.faults.push_back({ErrorId::kSettingMissing, name,
                             fmt::format("--{} needs a value", name)});
      continue;
    }
    Parse(name, value, Origin::kFlag, "--" + name, line);
  }
  return line;
}

std::string HelpText(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
    if (flag == nullptr) continue;
    text +=
        fmt::format("  --{}  {}\n      default \"{}\", environment {}\n", name,
                    flag->Help(), flag->DefaultValue(), EnvironmentName(name));
  }
  return text;
}

std::string SettingsText(const std::vector<std::string>& names,
                         const CommandLine& line) {
  std::string text;
  for (const std::string& name : names) {
    const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
    if (flag == nullptr) continue;
    text += fmt::format("{:<24} {:<32} {}\n", name,
                        "\"" + flag->CurrentValue() + "\"",
                        OriginText(line.origins.at(name)));
  }
  return text;
}

std::string FaultText(const std::vector<SettingFault>& faults) {
  std::string text;
  for (const SettingFault& fault : faults) {
    text += fmt::format("error {} {}: {}\n", static_cast<int>(fault.id),
                        Name(fault.id), fault.message);
  }
  return text;
}

}  // namespace beryllane::settings
