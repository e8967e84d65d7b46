/// @file
/// Keeps prompt parts that crash runners away from them.
#ifndef BERYLLANE_SRC_FLEET_PART_QUARANTINE_H_
#define BERYLLANE_SRC_FLEET_PART_QUARANTINE_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "beryllane/metrics/registry.h"
#include "beryllane/quarantine/crash_attribution.h"
#include "beryllane/quarantine/quarantine_table.h"
#include "platform/request_codec.h"
#include "platform/store_client.h"
#include "src/fleet/fleet.h"
#include "src/fleet/peers.h"

namespace beryllane::fleet {

/// A request with a prompt, from its admission to its end. Registered with a
/// `PartQuarantine`. Not thread-safe.
class PromptRequest {
 public:
  /// @pre runs on the loop of `executor`.
  PromptRequest(const platform::CallerRequest& request,
                const net::asio::any_io_executor& executor);

  /// Keys of the parts that other requests may share, in the prompt's order.
  /// @pre none.
  const std::vector<std::uint64_t>& parts() const { return parts_; }
  /// Starts an attempt at `runner`. @pre none.
  void OnSent(std::shared_ptr<Runner> runner, RuntimeClock::time_point now);
  /// The head of the answer arrived. @pre an attempt was started.
  void OnHead(RuntimeClock::time_point now) { head_at_ = now; }
  /// Bytes of the answer's body arrived. @pre an attempt was started.
  void OnBody(RuntimeClock::time_point now) {
    if (!body_at_) body_at_ = now;
  }
  /// Times of the current attempt; none for what has not happened. @pre none.
  RuntimeClock::time_point sent_at() const { return sent_at_; }
  std::optional<RuntimeClock::time_point> head_at() const { return head_at_; }
  std::optional<RuntimeClock::time_point> body_at() const { return body_at_; }
  /// The router gives up on the request itself, so that the end of its
  /// connection says nothing about the runner. @pre none.
  void Abandon() { is_abandoned_ = true; }
  bool is_abandoned() const { return is_abandoned_; }
  /// Whether the request is a trial of a lapsed quarantine. @pre none.
  bool is_trial() const { return is_trial_; }
  /// Completes once a part has been quarantined before the answer's body
  /// began, and then abandons the request; never otherwise. @pre one caller.
  net::asio::awaitable<void> WaitForQuarantine();

 private:
  friend class PartQuarantine;

  std::vector<std::uint64_t> parts_;
  // Ids of the parts, for log lines and errors.
  std::vector<std::string> part_ids_;
  std::shared_ptr<Runner> runner_;
  RuntimeClock::time_point sent_at_;
  std::optional<RuntimeClock::time_point> head_at_;
  std::optional<RuntimeClock::time_point> body_at_;
  bool is_trial_ = false;
  bool is_abandoned_ = false;
  bool is_cleared_ = false;
  net::Timer quarantined_;
};

/// Attributes crashes of runners to prompt parts, together with the other
/// routers, and refuses requests with the parts at fault. Verdicts last in the
/// platform's store; peers hear of them at once. Used on one loop.
class PartQuarantine {
 public:
  /// @pre all references outlive this object.
  PartQuarantine(net::asio::io_context& loop, platform::StoreClient& store,
                 Fleet& fleet, Peers& peers, std::string host_id,
                 MetricRegistry& metrics);

  /// Writes verdicts to the store until the loop stops. @pre called once.
  net::asio::awaitable<void> Run();

  /// Registers a request, or returns an error if one of its parts is
  /// quarantined. @pre `Leave` is called before `request` is destroyed.
  std::optional<Error> Admit(PromptRequest& request);
  /// Ends the registration. @pre none.
  void Leave(PromptRequest& request) { requests_.erase(&request); }
  /// Error for a part of the request that is quarantined now. @pre none.
  std::optional<Error> FindQuarantined(const PromptRequest& request) const;
  /// Time after which a refused request may be tried again. @pre none.
  std::chrono::nanoseconds TimeToTrial(const PromptRequest& request) const;

  /// The connection of an attempt broke before the answer was complete. @pre
  /// an attempt was started.
  void OnBroken(const PromptRequest& request);
  /// Part of the answer's body arrived; clears the parts once the answer has
  /// gone on for some time. @pre an attempt was started.
  void OnProgress(PromptRequest& request);
  /// The answer is complete. @pre an attempt was started.
  void OnComplete(PromptRequest& request);
  /// Whether sending the request again might crash another runner. @pre none.
  bool IsRepeatUnsafe(const PromptRequest& request) const;

  /// Applies a record of the verdicts' topic. @pre called in the order of the
  /// offsets.
  void OnRecord(const platform::KeyedRecord& record);
  /// Applies the newest record of each key. @pre none.
  void OnRecordSet(const platform::RecordPage& page);

 private:
  struct StoredVerdict {
    // Strikes that the store's record states; 0 if there is none.
    int stored_strikes = 0;
    // The record is not written before this time.
    RuntimeClock::time_point write_after;
  };

  // Has verdicts written again that the store may have lost.
  void OnRestore();
  net::asio::awaitable<void> ConfirmCrash(std::shared_ptr<Runner> runner);
  net::asio::awaitable<void> ClaimTrial(std::uint64_t part, int strikes);
  std::string VerdictRecord(std::uint64_t part, int strikes) const;
  net::asio::awaitable<void> WriteVerdict(std::uint64_t part, int strikes);
  net::asio::awaitable<void> DeleteVerdict(std::uint64_t part);
  void ReceiveCrash(const nlohmann::json& report);
  void ReceiveCleared(const nlohmann::json& parts);
  void ReceiveVerdict(const nlohmann::json& verdict);
  void ConvictCulprits();
  void Convict(std::uint64_t part, int strikes, std::string_view source);
  // Ends the evidence against a part and its quarantine; returns whether there
  // was either.
  bool ClearPart(std::uint64_t part, std::string_view source);
  void Release(std::uint64_t part, std::string_view source);
  // Ends a quarantine that nobody has tried to end by a trial.
  void ReleaseIdle(RuntimeClock::time_point now);
  // Id of a part in log lines; its key if the id is unknown.
  std::string NameOf(std::uint64_t part) const;
  void ClearParts(PromptRequest& request);
  void SendCleared();

  net::asio::io_context& loop_;
  platform::StoreClient& store_;
  Fleet& fleet_;
  Peers& peers_;
  std::string host_id_;
  quarantine::CrashAttribution attribution_;
  quarantine::QuarantineTable table_;
  std::map<std::uint64_t, StoredVerdict> verdicts_;
  std::set<PromptRequest*> requests_;
  // Ids of the parts that are under suspicion or quarantined, by key.
  std::map<std::uint64_t, std::string> part_ids_;
  // Suspects of broken answers, by runner, until it is known whether the runner
  // crashed.
  std::map<std::uint64_t, std::vector<quarantine::Suspect>> broken_;
  // Cleared parts that the peers have not heard of yet.
  std::set<std::uint64_t> newly_cleared_;
  // Parts of which this router may admit one request, and those for which it
  // asks the store for that right.
  std::set<std::uint64_t> trials_;
  std::set<std::uint64_t> trial_claims_;
  // Offset after the newest record of the topic that was read; none while it is
  // to be read anew.
  std::optional<std::uint64_t> next_offset_;
  Counter& crashes_;
  Counter& convictions_;
  Counter& refusals_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_PART_QUARANTINE_H_
