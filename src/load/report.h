/// @file
/// What a load run measured.
#ifndef BERYLLANE_SRC_LOAD_REPORT_H_
#define BERYLLANE_SRC_LOAD_REPORT_H_

#include <boost/histogram.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "src/load/workload.h"

namespace beryllane::load {

/// Latencies in logarithmic bins of about 2%.
class Latencies {
 public:
  Latencies();
  /// Counts one latency. @pre none.
  void Add(std::chrono::nanoseconds value);
  /// Adds another's counts. @pre none.
  void Merge(const Latencies& other);
  /// The `q` quantile in milliseconds, 0 without counts. @pre 0 <= q <= 1.
  double Quantile(double q) const;
  /// Count of latencies. @pre none.
  std::uint64_t count() const { return count_; }
  /// Median, 95th and 99th percentile in milliseconds. @pre none.
  nlohmann::json ToJson() const;
  /// Upper bounds and counts of the bins in use, for plots. @pre none.
  std::vector<std::pair<double, double>> Bins() const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

  Histogram histogram_;
  std::uint64_t count_ = 0;
};

/// Counts of one kind.
struct KindReport {
  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  std::uint64_t broken_streams = 0;
  std::uint64_t honoured = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t tokens = 0;
  std::map<std::string, std::uint64_t> errors;
  std::map<std::string, std::uint64_t> verdicts;
  Latencies first_token;
  Latencies between_tokens;
  Latencies whole;

  /// Adds another's counts. @pre none.
  void Merge(const KindReport& other);
};

/// A whole run.
struct Report {
  std::vector<KindReport> kinds;
  double seconds = 0;

  /// Adds another thread's counts. @pre same workload.
  void Merge(const Report& other);
  /// The report as JSON. @pre same workload.
  nlohmann::json ToJson(const Workload& workload) const;
  /// The report as a table. @pre same workload.
  std::string ToText(const Workload& workload) const;
};

/// Writes a plot of first-token latencies as SVG. @pre none.
std::string PlotSvg(const Report& report, const Workload& workload);

}  // namespace beryllane::load

#endif  // BERYLLANE_SRC_LOAD_REPORT_H_
