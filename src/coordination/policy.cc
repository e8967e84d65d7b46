#include "beryllane/placement/policy.h"

#include <algorithm>
#include <cmath>

namespace beryllane::placement {
namespace {

using std::chrono::nanoseconds;

constexpr double kBytesPerGigabyte = 1e9;

double Seconds(nanoseconds d) {
  return std::chrono::duration<double>(d).count();
}

nanoseconds FromSeconds(double seconds) {
  return std::chrono::duration_cast<nanoseconds>(
      std::chrono::duration<double>(seconds));
}

bool IsExcluded(std::span<const std::uint64_t> excluded, std::uint64_t id) {
  return std::find(excluded.begin(), excluded.end(), id) != excluded.end();
}

// Probability that a prefix that arrives at `rate` is still cached.
double Presence(double rate) {
  return 1.0 - std::exp(-rate * Seconds(ReuseTable::kLifetime));
}

class Pricer {
 public:
  Pricer(const PlacementRequest& request, const PoolView& view,
         const ReuseTable& reuse, const RateTable& rates,
         const PolicyOptions& options, RuntimeClock::time_point now)
      : request_(request),
        view_(view),
        reuse_(reuse),
        rates_(rates),
        options_(options),
        now_(now) {}

  Decision Run() {
    AddCandidates();
    if (decision_.count == 0) {
      // Every target is under suspicion; one of them may be wrongly so.
      trusts_all_ = true;
      AddCandidates();
    }
    ChooseCheapest();
    return decision_;
  }

 private:
  void AddCandidates() {
    if (!request_.levels.empty()) AddHomes();
    AddProbes();
    if (decision_.count == 0) AddAny();
  }

  // The homes and probes may all be excluded while another target is not.
  void AddAny() {
    for (std::uint32_t i = 0; i < view_.members.size(); ++i) Add(i, 0);
  }

  double FleetRate(const PrefixLevel& level) const {
    // The request is itself an arrival, also where the table has no slot.
    const double rate = std::max(rates_.Rate(level.hash, now_),
                                 1.0 / Seconds(RateTable::kTimeConstant));
    return rate * static_cast<double>(options_.live_routers);
  }

  // Home set size: the prefix's own work over the share of one runner that it
  // may take.
  std::size_t HomeWidth(double fleet_rate, const Member& first_home) const {
    const double own_tokens =
        static_cast<double>(request_.tokens) - request_.levels.front().tokens;
    const double work =
        fleet_rate * Seconds(first_home.load->PrefillTime(own_tokens));
    const auto extra = static_cast<std::size_t>(work / options_.home_share);
    return std::min(1 + extra, Homes::kMaxHomes - options_.spare_homes);
  }

  void AddHomes() {
    const PrefixLevel& first = request_.levels.front();
    const Homes homes = PickHomes(first.hash, view_.ids, Homes::kMaxHomes);
    if (homes.count == 0) return;
    const double fleet_rate = FleetRate(first);
    const std::size_t width = std::min(
        HomeWidth(fleet_rate, view_.members[homes.index[0]]), homes.count);
    decision_.home_width = width;
    const double presence = Presence(fleet_rate / static_cast<double>(width));
    const std::size_t priced =
        std::min(homes.count, width + options_.spare_homes);
    for (std::size_t rank = 0; rank < priced; ++rank) {
      const double expected = rank < width ? presence * first.tokens : 0;
      Add(homes.index[rank], expected);
    }
    ExpectDeeperLevels(homes, width);
  }

  // Within the home set a deeper level belongs to one member, so that its
  // blocks are not computed on every home.
  void ExpectDeeperLevels(const Homes& homes, std::size_t width) {
    if (width < 2) return;
    for (const PrefixLevel& level : request_.levels.subspan(1)) {
      const double presence = Presence(FleetRate(level));
      std::size_t best = 0;
      for (std::size_t rank = 1; rank < width; ++rank) {
        if (Score(level.hash, view_.ids[homes.index[rank]]) >
            Score(level.hash, view_.ids[homes.index[best]])) {
          best = rank;
        }
      }
      Raise(homes.index[best], presence * level.tokens);
    }
  }

  void AddProbes() {
    const std::size_t size = view_.members.size();
    if (size == 0) return;
    for (std::size_t probe = 0; probe < options_.probes; ++probe) {
      Add(static_cast<std::uint32_t>(Mix(request_.nonce, probe) % size), 0);
    }
  }

  bool Contains(std::uint32_t member) const {
    const auto end = decision_.candidates.begin() + decision_.count;
    return std::any_of(decision_.candidates.begin(), end,
                       [&](const Candidate& c) { return c.member == member; });
  }

  void Add(std::uint32_t member, double expected_tokens) {
    if (decision_.count == Decision::kMaxCandidates) return;
    if (IsExcluded(request_.excluded, view_.ids[member])) return;
    if (Contains(member)) return;
    if (!trusts_all_ && view_.members[member].load->IsSuspect(now_)) return;
    Candidate& candidate = decision_.candidates[decision_.count++];
    candidate.member = member;
    const std::uint32_t known = KnownTokens(view_.members[member]);
    const auto expected = static_cast<std::uint32_t>(expected_tokens);
    Price(candidate, std::max(known, expected));
  }

  void Raise(std::uint32_t member, double expected_tokens) {
    for (std::size_t i = 0; i < decision_.count; ++i) {
      Candidate& candidate = decision_.candidates[i];
      if (candidate.member != member) continue;
      const auto tokens = static_cast<std::uint32_t>(expected_tokens);
      if (tokens > candidate.expected_cached_tokens) Price(candidate, tokens);
    }
  }

  // The deepest level that responses showed the member to hold.
  std::uint32_t KnownTokens(const Member& member) const {
    const std::uint64_t incarnation = member.load->incarnation();
    for (std::size_t i = request_.levels.size(); i > 0; --i) {
      const PrefixLevel& level = request_.levels[i - 1];
      if (reuse_.Holds(level.hash, incarnation, now_)) {
        return level.tokens;
      }
    }
    return 0;
  }

  void Price(Candidate& candidate, std::uint32_t cached) const {
    const Member& member = view_.members[candidate.member];
    candidate.expected_cached_tokens = std::min(cached, request_.tokens);
    const double missed = request_.tokens - candidate.expected_cached_tokens;
    candidate.wait = member.load->PredictWait(now_);
    candidate.prefill = member.load->PrefillTime(missed);
    candidate.link = 2 * member.link;
    candidate.billed =
        FromSeconds(member.cross_region_price *
                    static_cast<double>(request_.bytes) / kBytesPerGigabyte);
    candidate.price =
        candidate.wait + candidate.link + candidate.billed +
        FromSeconds(Seconds(candidate.prefill) * options_.miss_weight);
  }

  void ChooseCheapest() {
    if (decision_.count == 0) {
      decision_.refusal = Refusal::kNoTarget;
      return;
    }
    for (std::size_t i = 1; i < decision_.count; ++i) {
      if (decision_.candidates[i].price <
          decision_.candidates[decision_.chosen].price) {
        decision_.chosen = i;
      }
    }
    const Candidate& choice = decision_.choice();
    if (choice.wait + choice.prefill + choice.link > request_.patience) {
      decision_.refusal = Refusal::kOverloaded;
    }
  }

  const PlacementRequest& request_;
  const PoolView& view_;
  const ReuseTable& reuse_;
  const RateTable& rates_;
  const PolicyOptions& options_;
  RuntimeClock::time_point now_;
  bool trusts_all_ = false;
  Decision decision_;
};

}  // namespace

void PoolView::Add(Member member) {
  ids.push_back(HashBytes(member.id).low);
  members.push_back(std::move(member));
}

Decision Decide(const PlacementRequest& request, const PoolView& view,
                const ReuseTable& reuse, const RateTable& rates,
                const PolicyOptions& options, RuntimeClock::time_point now) {
  return Pricer(request, view, reuse, rates, options, now).Run();
}

namespace {

std::optional<std::uint32_t> PickAmong(const PoolView& view,
                                       std::uint64_t nonce,
                                       std::span<const std::uint64_t> excluded,
                                       RuntimeClock::time_point now,
                                       bool trusts_all) {
  std::optional<std::uint32_t> best;
  nanoseconds best_wait{0};
  int found = 0;
  const std::size_t size = view.members.size();
  for (std::size_t step = 0; step < size && found < 2; ++step) {
    const auto index = static_cast<std::uint32_t>((nonce + step) % size);
    const Member& member = view.members[index];
    if (IsExcluded(excluded, view.ids[index])) continue;
    if (!trusts_all && member.load->IsSuspect(now)) continue;
    ++found;
    const nanoseconds wait = member.load->PredictWait(now) + member.link;
    if (best && wait >= best_wait) continue;
    best = index;
    best_wait = wait;
  }
  return best;
}

}  // namespace

std::optional<std::uint32_t> PickLeastOfTwo(
    const PoolView& view, std::uint64_t nonce,
    std::span<const std::uint64_t> excluded, RuntimeClock::time_point now) {
  const auto trusted = PickAmong(view, nonce, excluded, now, false);
  if (trusted) return trusted;
  return PickAmong(view, nonce, excluded, now, true);
}

}  // namespace beryllane::placement
