#include "beryllane/metrics/registry.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace beryllane {

void LatencyHistogram::Record(std::chrono::nanoseconds value) {
  std::chrono::nanoseconds bound = kFirstUpperBound;
  int index = 0;
  while (index < kBucketCount - 1 && value > bound) {
    bound *= 2;
    ++index;
  }
  counts_[index].fetch_add(1, std::memory_order_relaxed);
  sum_.fetch_add(value.count(), std::memory_order_relaxed);
}

struct MetricRegistry::Family {
  std::string name;
  std::string help;
  std::string type;
  std::map<std::string, std::unique_ptr<Counter>> counters;
  std::map<std::string, std::unique_ptr<Gauge>> gauges;
  std::map<std::string, std::unique_ptr<LatencyHistogram>> histograms;
  std::function<double()> callback;
};

namespace {

std::string Escape(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '\\' || c == '"') out += '\\';
    if (c == '\n') {
      out += "\\n";
    } else {
      out += c;
    }
  }
  return out;
}

std::string JoinLabels(const MetricRegistry::Labels& labels) {
  std::string out;
  for (const auto& [key, value] : labels) {
    if (!out.empty()) out += ',';
    out += key + "=\"" + Escape(value) + '"';
  }
  return out;
}

std::string WithBraces(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

template <typename Map>
auto& GetOrCreate(Map& map, const std::string& key) {
  auto& slot = map[key];
  if (!slot) {
    slot =
        std::make_unique<typename std::decay_t<decltype(slot)>::element_type>();
  }
  return *slot;
}

void SerializeHistogram(std::ostream& out, const std::string& name,
                        const std::string& labels, const LatencyHistogram& h) {
  const std::string prefix = labels.empty() ? "" : labels + ",";
  double bound =
      std::chrono::duration<double>(LatencyHistogram::kFirstUpperBound).count();
  std::uint64_t total = 0;
  for (int i = 0; i < LatencyHistogram::kBucketCount; ++i) {
    total += h.count(i);
    const bool last = i == LatencyHistogram::kBucketCount - 1;
    out << name << "_bucket{" << prefix << "le=\"";
    if (last) {
      out << "+Inf";
    } else {
      out << bound;
    }
    out << "\"} " << total << '\n';
    bound *= 2;
  }
  out << name << "_sum" << WithBraces(labels) << ' '
      << std::chrono::duration<double>(h.sum()).count() << '\n';
  out << name << "_count" << WithBraces(labels) << ' ' << total << '\n';
}

}  // namespace

MetricRegistry::MetricRegistry() = default;
MetricRegistry::~MetricRegistry() = default;

MetricRegistry::Family& MetricRegistry::GetFamily(const std::string& name,
                                                  const std::string& help,
                                                  const char* type) {
  const auto it =
      std::find_if(families_.begin(), families_.end(),
                   [&](const auto& family) { return family->name == name; });
  if (it != families_.end()) return **it;
  auto family = std::make_unique<Family>();
  family->name = name;
  family->help = help;
  family->type = type;
  families_.push_back(std::move(family));
  return *families_.back();
}

Counter& MetricRegistry::GetCounter(const std::string& name,
                                    const std::string& help,
                                    const Labels& labels) {
  const std::lock_guard lock(mutex_);
  return GetOrCreate(GetFamily(name, help, "counter").counters,
                     JoinLabels(labels));
}

Gauge& MetricRegistry::GetGauge(const std::string& name,
                                const std::string& help, const Labels& labels) {
  const std::lock_guard lock(mutex_);
  return GetOrCreate(GetFamily(name, help, "gauge").gauges, JoinLabels(labels));
}

LatencyHistogram& MetricRegistry::GetHistogram(const std::string& name,
                                               const std::string& help,
                                               const Labels& labels) {
  const std::lock_guard lock(mutex_);
  return GetOrCreate(GetFamily(name, help, "histogram").histograms,
                     JoinLabels(labels));
}

void MetricRegistry::AddCallbackGauge(const std::string& name,
                                      const std::string& help,
                                      std::function<double()> callback) {
  const std::lock_guard lock(mutex_);
  GetFamily(name, help, "gauge").callback = std::move(callback);
}

std::string MetricRegistry::Serialize() const {
  const std::lock_guard lock(mutex_);
  std::ostringstream out;
  for (const auto& family : families_) {
    out << "# HELP " << family->name << ' ' << family->help << '\n';
    out << "# TYPE " << family->name << ' ' << family->type << '\n';
    for (const auto& [labels, counter] : family->counters) {
      out << family->name << WithBraces(labels) << ' ' << counter->value()
          << '\n';
    }
    for (const auto& [labels, gauge] : family->gauges) {
      out << family->name << WithBraces(labels) << ' ' << gauge->value()
          << '\n';
    }
    for (const auto& [labels, histogram] : family->histograms) {
      SerializeHistogram(out, family->name, labels, *histogram);
    }
    if (family->callback) {
      out << family->name << ' ' << family->callback() << '\n';
    }
  }
  return out.str();
}

}  // namespace beryllane
