#include "src/load/report.h"

#include <algorithm>
#include <cmath>

#include "fmt/format.h"

namespace beryllane::load {
namespace {

using nlohmann::json;

constexpr double kLowestMillis = 0.01;
constexpr double kHighestMillis = 600'000;
constexpr unsigned kBins = 900;

double Share(double part, double whole) { return whole > 0 ? part / whole : 0; }

}  // namespace

Latencies::Latencies()
    : histogram_(boost::histogram::make_histogram(
          Axis(kBins, kLowestMillis, kHighestMillis))) {}

void Latencies::Add(std::chrono::nanoseconds value) {
  const double millis =
      std::chrono::duration<double, std::milli>(value).count();
  histogram_(std::clamp(millis, kLowestMillis, kHighestMillis * 0.999));
  ++count_;
}

void Latencies::Merge(const Latencies& other) {
  histogram_ += other.histogram_;
  count_ += other.count_;
}

double Latencies::Quantile(double q) const {
  const double wanted = q * static_cast<double>(count_);
  double seen = 0;
  for (const auto& bin : boost::histogram::indexed(histogram_)) {
    seen += *bin;
    if (*bin > 0 && seen >= wanted) return bin.bin().center();
  }
  return 0;
}

json Latencies::ToJson() const {
  return {{"count", count_},
          {"p50_ms", Quantile(0.50)},
          {"p95_ms", Quantile(0.95)},
          {"p99_ms", Quantile(0.99)}};
}

std::vector<std::pair<double, double>> Latencies::Bins() const {
  std::vector<std::pair<double, double>> bins;
  for (const auto& bin : boost::histogram::indexed(histogram_)) {
    if (*bin > 0) bins.emplace_back(bin.bin().upper(), *bin);
  }
  return bins;
}

void KindReport::Merge(const KindReport& other) {
  offered += other.offered;
  answered += other.answered;
  broken_streams += other.broken_streams;
  honoured += other.honoured;
  prompt_tokens += other.prompt_tokens;
  cached_tokens += other.cached_tokens;
  tokens += other.tokens;
  for (const auto& [name, count] : other.errors) errors[name] += count;
  for (const auto& [name, count] : other.verdicts) verdicts[name] += count;
  first_token.Merge(other.first_token);
  between_tokens.Merge(other.between_tokens);
  whole.Merge(other.whole);
}

void Report::Merge(const Report& other) {
  kinds.resize(std::max(kinds.size(), other.kinds.size()));
  for (std::size_t i = 0; i < other.kinds.size(); ++i) {
    kinds[i].Merge(other.kinds[i]);
  }
  seconds = std::max(seconds, other.seconds);
}

json Report::ToJson(const Workload& workload) const {
  json out{{"seconds", seconds}, {"kinds", json::object()}};
  KindReport total;
  double worth_offered = 0;
  double worth_honoured = 0;
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    const KindReport& kind = kinds[i];
    total.Merge(kind);
    const double worth = workload.kinds[i].worth;
    worth_offered += worth * static_cast<double>(kind.offered);
    worth_honoured += worth * static_cast<double>(kind.honoured);
    out["kinds"][workload.kinds[i].kind] = {
        {"offered", kind.offered},
        {"answered", kind.answered},
        {"broken_streams", kind.broken_streams},
        {"honoured", kind.honoured},
        {"errors", kind.errors},
        {"verdicts", kind.verdicts},
        {"first_token", kind.first_token.ToJson()},
        {"between_tokens", kind.between_tokens.ToJson()},
        {"whole", kind.whole.ToJson()},
        {"tokens", kind.tokens}};
  }
  out["offered"] = total.offered;
  out["answered"] = total.answered;
  out["broken_streams"] = total.broken_streams;
  out["tokens"] = total.tokens;
  out["prompt_tokens"] = total.prompt_tokens;
  out["recomputed_tokens"] = total.prompt_tokens - total.cached_tokens;
  out["prefix_hit_rate"] = Share(static_cast<double>(total.cached_tokens),
                                 static_cast<double>(total.prompt_tokens));
  out["worth_honoured"] = Share(worth_honoured, worth_offered);
  out["first_token"] = total.first_token.ToJson();
  out["between_tokens"] = total.between_tokens.ToJson();
  return out;
}

std::string Report::ToText(const Workload& workload) const {
  const json all = ToJson(workload);
  std::string text = fmt::format(
      "{:<18} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9}\n", "kind", "offered",
      "answered", "honoured", "ttft p50", "ttft p95", "ttft p99", "gap p95");
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    const KindReport& kind = kinds[i];
    text += fmt::format(
        "{:<18} {:>8} {:>8} {:>8} {:>9.1f} {:>9.1f} {:>9.1f} {:>9.1f}\n",
        workload.kinds[i].kind, kind.offered, kind.answered, kind.honoured,
        kind.first_token.Quantile(0.50), kind.first_token.Quantile(0.95),
        kind.first_token.Quantile(0.99), kind.between_tokens.Quantile(0.95));
    for (const auto& [name, count] : kind.errors) {
      text += fmt::format("    {}: {}\n", name, count);
    }
  }
  text += fmt::format(
      "prefix hit rate {:.3f}, recomputed tokens {}, worth honoured {:.3f}, "
      "broken streams {}\n",
      all["prefix_hit_rate"].get<double>(),
      all["recomputed_tokens"].get<std::uint64_t>(),
      all["worth_honoured"].get<double>(),
      all["broken_streams"].get<std::uint64_t>());
  return text;
}

std::string PlotSvg(const Report& report, const Workload& workload) {
  constexpr double kWidth = 720;
  constexpr double kHeight = 360;
  constexpr double kMargin = 50;
  constexpr double kMinMillis = 0.1;
  constexpr double kDecades = 6;
  constexpr const char* kColours[] = {"#1b6ca8", "#c0392b", "#2e8b57",
                                      "#8e44ad", "#b8860b", "#444444"};
  const auto x = [&](double millis) {
    const double decades =
        std::log10(std::max(millis, kMinMillis) / kMinMillis);
    return kMargin + decades / kDecades * (kWidth - 2 * kMargin);
  };
  const auto y = [&](double share) {
    return kHeight - kMargin - share * (kHeight - 2 * kMargin);
  };
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" "
      "height=\"{1}\" font-family=\"sans-serif\" font-size=\"12\">\n"
      "<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n"
      "<text x=\"{2}\" y=\"20\">Share of requests with the first token "
      "within a time (ms, logarithmic)</text>\n",
      kWidth, kHeight, kMargin);
  for (int decade = 0; decade <= static_cast<int>(kDecades); ++decade) {
    const double millis = kMinMillis * std::pow(10, decade);
    svg += fmt::format(
        "<line x1=\"{0:.1f}\" y1=\"{1:.1f}\" x2=\"{0:.1f}\" y2=\"{2:.1f}\" "
        "stroke=\"#ddd\"/><text x=\"{0:.1f}\" y=\"{3:.1f}\" "
        "text-anchor=\"middle\">{4:g}</text>\n",
        x(millis), y(0), y(1), y(0) + 16, millis);
  }
  for (std::size_t i = 0; i < report.kinds.size(); ++i) {
    const Latencies& latencies = report.kinds[i].first_token;
    if (latencies.count() == 0) continue;
    const char* colour = kColours[i % std::size(kColours)];
    std::string points;
    double seen = 0;
    for (const auto& [millis, count] : latencies.Bins()) {
      seen += count;
      points += fmt::format("{:.1f},{:.1f} ", x(millis),
                            y(seen / static_cast<double>(latencies.count())));
    }
    svg += fmt::format(
        "<polyline fill=\"none\" stroke=\"{0}\" points=\"{1}\"/>\n"
        "<text x=\"{2:.1f}\" y=\"{3:.1f}\" fill=\"{0}\">{4}</text>\n",
        colour, points, kMargin + 10, kMargin + 16 * (i + 1.0),
        workload.kinds[i].kind);
  }
  return svg + "</svg>\n";
}

}  // namespace beryllane::load
