// Parts that a stand-in of a model runner caches, with the numbered changes
// that it tells.
#ifndef BERYLLANE_STANDINS_CACHE_LOG_H_
#define BERYLLANE_STANDINS_CACHE_LOG_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace beryllane::standins {

// Not thread-safe.
class CacheLog {
 public:
  explicit CacheLog(std::string model) : model_(std::move(model)) {}

  // Caches the parts of a prompt, given as `ID:TOKENS` with commas between.
  void Read(const std::string& salt, const std::string& parts) {
    std::size_t begin = 0;
    while (begin < parts.size()) {
      const std::size_t end = std::min(parts.find(',', begin), parts.size());
      const std::string item = parts.substr(begin, end - begin);
      const std::size_t colon = item.find(':');
      if (colon != std::string::npos) {
        Change(true, salt, item.substr(0, colon),
               std::stoi(item.substr(colon + 1)));
      }
      begin = end + 1;
    }
  }
  // Drops all parts.
  void Drop() {
    const auto held = held_;
    for (const auto& [key, tokens] : held) {
      Change(false, key.first, key.second, 0);
    }
  }
  // Starts again, with nothing cached and new numbers.
  void Restart() {
    held_.clear();
    changes_.clear();
    ++epoch_;
  }
  std::uint64_t next() const { return changes_.size(); }
  nlohmann::json Since(std::uint64_t since) const {
    nlohmann::json events = nlohmann::json::array();
    for (std::size_t i = since; i < changes_.size(); ++i) {
      events.push_back(changes_[i]);
    }
    return {{"bootEpoch", epoch_},
            {"next", changes_.size()},
            {"lost", false},
            {"events", events}};
  }

 private:
  void Change(bool is_gain, const std::string& salt, const std::string& part,
              int tokens) {
    const std::pair key{salt, part};
    if (is_gain == held_.contains(key)) return;
    if (is_gain) {
      held_[key] = tokens;
    } else {
      held_.erase(key);
    }
    changes_.push_back(
        {changes_.size(), is_gain ? "+" : "-", salt, part, tokens, model_});
  }

  std::string model_;
  int epoch_ = 1;
  std::map<std::pair<std::string, std::string>, int> held_;
  std::vector<nlohmann::json> changes_;
};

}  // namespace beryllane::standins

#endif  // BERYLLANE_STANDINS_CACHE_LOG_H_
