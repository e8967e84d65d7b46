#include "beryllane/admission/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "beryllane/hash/hash.h"

namespace beryllane {
namespace {

using std::chrono::duration_cast;
using std::chrono::nanoseconds;
using Seconds = std::chrono::duration<double>;

// Longest predicted wait, so that sums of it and a time don't overflow.
constexpr std::chrono::hours kMaxWait{1};

// A caller whose time is too short even for an idle target would otherwise ask
// again at once.
constexpr std::chrono::milliseconds kMinRetryAfter{100};

// Keeps the hashes for `retry_after` apart from others of the same ids.
constexpr std::uint64_t kRetrySeed = 0x72657472;

// In [0, 1).
double PointOf(std::uint64_t id) {
  constexpr double kHashRange = 18446744073709551616.0;
  return static_cast<double>(Mix(id, kRetrySeed)) / kHashRange;
}

}  // namespace

AdmissionQueue::AdmissionQueue(const AdmissionQueueOptions& options)
    : options_(options) {
  if (options.floor_share > 0) {
    // The tolerance keeps a share such as 1.0 / 49 from losing a whole step.
    floor_period_ =
        static_cast<std::size_t>(std::floor(1 / options.floor_share + 1e-9));
  }
}

AdmissionQueue::OfferResult AdmissionQueue::Offer(const WaitingRequest& request,
                                                  std::size_t room,
                                                  TimePoint now) {
  Advance(now);
  OfferResult result;
  if (!CanMeetDeadline(request, nanoseconds(0), now)) {
    result.decision = Refuse{RetryAfter(request, now)};
    return result;
  }
  Entry entry{request, next_sequence_++, FindAccount(request)};
  if (room > size()) {
    if (size() > 0) ++busy_admissions_;
    CountAdmission(entry, now);
    result.decision = Admit{};
    return result;
  }
  const bool is_in_time =
      CanMeetDeadline(request, PredictWaitOf(entry, now), now);
  EraseIfIdle(entry.account);
  if (!is_in_time || !MakeRoom(request, now, &result.displaced)) {
    result.decision = Refuse{RetryAfter(request, now)};
    return result;
  }
  entry.account = FindAccount(request);
  Add(entry);
  result.decision = Wait{};
  return result;
}

AdmissionQueue::NextResult AdmissionQueue::Next(std::size_t room,
                                                TimePoint now) {
  Advance(now);
  NextResult result;
  RefuseExpired(now, &result.refused);
  for (; room > 0 && size() > 0; --room) {
    const Entry entry = TakeOut(Best(now));
    ++busy_admissions_;
    if (IsLate(entry.request, now)) {
      ++late_admissions_[entry.request.urgency];
    }
    CountAdmission(entry, now);
    result.admitted.push_back(entry.request.id);
  }
  if (size() > 0 && now - rechecked_at_ >= kRecheckInterval) {
    rechecked_at_ = now;
    Recheck(now, &result.refused);
  }
  return result;
}

bool AdmissionQueue::Remove(std::uint64_t id, TimePoint now) {
  Advance(now);
  const auto it = index_of_.find(id);
  if (it == index_of_.end()) return false;
  EraseIfIdle(TakeOut(it->second).account);
  return true;
}

nanoseconds AdmissionQueue::PredictedWait(int urgency, TimePoint now) const {
  std::size_t ahead = 0;
  for (const auto& [other, waiting] : waiting_of_urgency_) {
    if (other <= urgency) ahead += waiting;
  }
  return WaitBehind(static_cast<double>(ahead), now);
}

nanoseconds AdmissionQueue::LeastService(const WaitingRequest& request) const {
  if (options_.work_per_second <= 0) return options_.shortest_service;
  const Seconds work(request.work / options_.work_per_second);
  return options_.shortest_service + duration_cast<nanoseconds>(work);
}

bool AdmissionQueue::CanMeetDeadline(const WaitingRequest& request,
                                     nanoseconds wait, TimePoint now) const {
  return request.deadline - now >= wait + LeastService(request);
}

bool AdmissionQueue::IsLate(const WaitingRequest& request,
                            TimePoint now) const {
  return request.goal - now < LeastService(request);
}

AdmissionQueue::Rank AdmissionQueue::RankOf(const Entry& entry,
                                            std::int64_t turn,
                                            TimePoint now) const {
  const WaitingRequest& request = entry.request;
  const bool is_late = IsLate(request, now);
  return {request.urgency, turn, is_late,
          is_late ? request.deadline : request.goal, entry.sequence};
}

nanoseconds AdmissionQueue::StepTo(TimePoint now) const {
  const nanoseconds step = now - advanced_at_;
  return step <= kMaxStep ? step : nanoseconds(0);
}

double AdmissionQueue::RateAt(double admissions, TimePoint now) const {
  // One admission more than were seen: at the start of a wait, before any
  // admission, the rate is high and nothing is refused for lack of knowledge.
  const Seconds step = StepTo(now);
  const double busy = busy_seconds_ + (entries_.empty() ? 0 : step.count());
  constexpr double kMinBusySeconds = 1e-6;
  return (admissions + 1) / std::max(busy, kMinBusySeconds);
}

nanoseconds AdmissionQueue::WaitBehind(double ahead, TimePoint now) const {
  const Seconds wait(ahead / RateAt(busy_admissions_, now));
  return duration_cast<nanoseconds>(std::min<Seconds>(wait, kMaxWait));
}

nanoseconds AdmissionQueue::WaitBehind(const Ahead& ahead, int urgency,
                                       TimePoint now) const {
  auto all = static_cast<double>(ahead.all);
  if (floor_period_ > 0) {
    all = std::min(all, static_cast<double>(floor_period_ * (ahead.kind + 1)));
  }
  const nanoseconds wait = WaitBehind(all, now);
  if (ahead.late == 0) return wait;
  const auto late = late_admissions_.find(urgency);
  const double admissions = late == late_admissions_.end() ? 0 : late->second;
  const Seconds late_wait(static_cast<double>(ahead.late) /
                          RateAt(admissions, now));
  return std::max(
      wait, duration_cast<nanoseconds>(std::min<Seconds>(late_wait, kMaxWait)));
}

nanoseconds AdmissionQueue::PredictWaitOf(const Entry& entry,
                                          TimePoint now) const {
  const int urgency = entry.request.urgency;
  const Rank rank = RankOf(entry, 0, now);
  Ahead ahead;
  std::int64_t account_ahead = 0;
  for (const Entry& other : entries_) {
    if (rank < RankOf(other, 0, now)) continue;
    if (other.request.kind == entry.request.kind) ++ahead.kind;
    if (other.request.urgency < urgency) {
      ++ahead.all;
      continue;
    }
    if (rank.is_late && IsLate(other.request, now)) ++ahead.late;
    if (other.account == entry.account) ++account_ahead;
  }
  // Accounts take turns: each comes first until it has had as many admissions
  // as this one will have had at the request's turn.
  const std::int64_t turn = entry.account->second.recent + account_ahead;
  std::int64_t same_urgency = account_ahead;
  for (auto it = accounts_.lower_bound({urgency, 0});
       it != accounts_.end() && it->first.first == urgency; ++it) {
    if (it == entry.account) continue;
    same_urgency += std::clamp<std::int64_t>(turn + 1 - it->second.recent, 0,
                                             it->second.waiting);
  }
  ahead.all += static_cast<std::size_t>(same_urgency);
  return WaitBehind(ahead, urgency, now);
}

nanoseconds AdmissionQueue::RetryAfter(const WaitingRequest& request,
                                       TimePoint now) const {
  const nanoseconds latest =
      std::max<nanoseconds>(request.deadline - now, nanoseconds(0)) / 3;
  const double point = PointOf(request.id);
  const nanoseconds to_room = std::max<nanoseconds>(
      PredictedWait(request.urgency, now) + WaitBehind(1, now), kMinRetryAfter);
  const auto wanted = duration_cast<nanoseconds>((1 + point) * to_room);
  if (wanted <= latest) return wanted;
  // The cap must not bring all callers back at once.
  return latest - duration_cast<nanoseconds>(point * (latest / 4));
}

AdmissionQueue::Refusal AdmissionQueue::RefusalOf(const WaitingRequest& request,
                                                  TimePoint now) const {
  return {request.id, RetryAfter(request, now)};
}

void AdmissionQueue::Advance(TimePoint now) {
  const Seconds step = StepTo(now);
  const double kept = std::exp(-step / Seconds(kRateTimeConstant));
  busy_admissions_ *= kept;
  busy_seconds_ *= kept;
  for (auto& [urgency, admissions] : late_admissions_) admissions *= kept;
  if (!entries_.empty()) busy_seconds_ += step.count();
  advanced_at_ = now;
  while (!admissions_.empty() &&
         now - admissions_.front().time >= kAccountWindow) {
    const Accounts::iterator account = admissions_.front().account;
    admissions_.pop_front();
    --account->second.recent;
    EraseIfIdle(account);
  }
}

AdmissionQueue::Accounts::iterator AdmissionQueue::FindAccount(
    const WaitingRequest& request) {
  return accounts_.try_emplace({request.urgency, request.account}).first;
}

void AdmissionQueue::EraseIfIdle(Accounts::iterator account) {
  const Account& state = account->second;
  if (state.waiting == 0 && state.recent == 0) accounts_.erase(account);
}

void AdmissionQueue::Add(const Entry& entry) {
  ++entry.account->second.waiting;
  ++kinds_[entry.request.kind].waiting;
  ++waiting_of_urgency_[entry.request.urgency];
  bytes_ += entry.request.bytes;
  index_of_[entry.request.id] = entries_.size();
  entries_.push_back(entry);
}

AdmissionQueue::Entry AdmissionQueue::TakeOut(std::size_t index) {
  Entry entry = entries_[index];
  entries_[index] = entries_.back();
  index_of_[entries_[index].request.id] = index;
  entries_.pop_back();
  index_of_.erase(entry.request.id);
  bytes_ -= entry.request.bytes;
  --entry.account->second.waiting;
  const auto kind = kinds_.find(entry.request.kind);
  if (--kind->second.waiting == 0) kinds_.erase(kind);
  const auto urgency = waiting_of_urgency_.find(entry.request.urgency);
  if (--urgency->second == 0) waiting_of_urgency_.erase(urgency);
  return entry;
}

void AdmissionQueue::CountAdmission(const Entry& entry, TimePoint now) {
  ++entry.account->second.recent;
  admissions_.push_back({now, entry.account});
  for (auto& [kind, state] : kinds_) {
    state.skipped = kind == entry.request.kind ? 0 : state.skipped + 1;
  }
}

bool AdmissionQueue::MakeRoom(const WaitingRequest& request, TimePoint now,
                              std::vector<Refusal>* displaced) {
  if (request.bytes > options_.max_bytes || options_.max_requests == 0) {
    return false;
  }
  const auto fits = [this, &request](std::size_t count, std::size_t bytes) {
    return count < options_.max_requests &&
           request.bytes <= options_.max_bytes - bytes;
  };
  if (fits(size(), bytes_)) return true;
  const auto is_behind = [](const WaitingRequest& a, const WaitingRequest& b) {
    return std::pair(a.urgency, a.arrived) > std::pair(b.urgency, b.arrived);
  };
  std::vector<const WaitingRequest*> behind;
  for (const Entry& entry : entries_) {
    if (is_behind(entry.request, request)) behind.push_back(&entry.request);
  }
  std::ranges::sort(
      behind, [&](const auto* a, const auto* b) { return is_behind(*a, *b); });
  std::size_t count = size();
  std::size_t bytes = bytes_;
  std::vector<Refusal> refusals;
  for (const WaitingRequest* other : behind) {
    if (fits(count, bytes)) break;
    --count;
    bytes -= other->bytes;
    refusals.push_back(RefusalOf(*other, now));
  }
  if (!fits(count, bytes)) return false;
  for (const Refusal& refusal : refusals) Remove(refusal.id, now);
  *displaced = std::move(refusals);
  return true;
}

std::map<std::uint64_t, AdmissionQueue::Kind>::const_iterator
AdmissionQueue::KindInNeed() const {
  if (floor_period_ == 0 || kinds_.size() < 2) return kinds_.end();
  std::vector<std::size_t> skipped;
  auto longest = kinds_.begin();
  for (auto it = kinds_.begin(); it != kinds_.end(); ++it) {
    skipped.push_back(it->second.skipped);
    if (it->second.skipped > longest->second.skipped) longest = it;
  }
  // A kind must come within `floor_period_ - skipped` admissions. If several
  // would need the same one, the first of them has to come now.
  std::ranges::sort(skipped, std::greater<>());
  for (std::size_t i = 0; i < skipped.size(); ++i) {
    if (skipped[i] + i + 1 >= floor_period_) return longest;
  }
  return kinds_.end();
}

std::size_t AdmissionQueue::Best(TimePoint now) const {
  const auto needed = KindInNeed();
  std::size_t best = entries_.size();
  Rank best_rank{};
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const Entry& entry = entries_[i];
    if (needed != kinds_.end() && entry.request.kind != needed->first) continue;
    const Rank rank = RankOf(entry, entry.account->second.recent, now);
    if (best < entries_.size() && best_rank < rank) continue;
    best = i;
    best_rank = rank;
  }
  return best;
}

void AdmissionQueue::RefuseExpired(TimePoint now,
                                   std::vector<Refusal>* refused) {
  for (std::size_t i = 0; i < entries_.size();) {
    if (CanMeetDeadline(entries_[i].request, nanoseconds(0), now)) {
      ++i;
      continue;
    }
    const Entry entry = TakeOut(i);
    EraseIfIdle(entry.account);
    refused->push_back(RefusalOf(entry.request, now));
  }
}

void AdmissionQueue::Recheck(TimePoint now, std::vector<Refusal>* refused) {
  std::vector<std::pair<Rank, std::size_t>> order;
  order.reserve(entries_.size());
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    order.emplace_back(RankOf(entries_[i], 0, now), i);
  }
  std::sort(order.begin(), order.end());
  std::map<AccountKey, std::int64_t> turns;
  for (auto& [rank, index] : order) {
    const Accounts::iterator account = entries_[index].account;
    rank.turn = account->second.recent + turns[account->first]++;
  }
  std::sort(order.begin(), order.end());
  std::map<std::uint64_t, std::size_t> of_kind;
  std::map<int, std::size_t> late_of_urgency;
  std::vector<std::uint64_t> unmeetable;
  // Those found unmeetable are not ahead of the ones that follow.
  std::size_t all = 0;
  for (const auto& [rank, index] : order) {
    const WaitingRequest& request = entries_[index].request;
    std::size_t& kind = of_kind[request.kind];
    std::size_t& late = late_of_urgency[request.urgency];
    const Ahead ahead{all, kind, rank.is_late ? late : 0};
    if (!CanMeetDeadline(request, WaitBehind(ahead, request.urgency, now),
                         now)) {
      unmeetable.push_back(request.id);
      continue;
    }
    ++all;
    ++kind;
    if (rank.is_late) ++late;
  }
  for (const std::uint64_t id : unmeetable) {
    const Entry entry = TakeOut(index_of_.at(id));
    EraseIfIdle(entry.account);
    refused->push_back(RefusalOf(entry.request, now));
  }
}

}  // namespace beryllane
