#include "src/load/workload.h"

#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>

#include "beryllane/hash/hash.h"
#include "beryllane/placement/prefix_chain.h"
#include "fmt/format.h"
#include "src/config/field_reader.h"
#include "src/config/parse.h"

namespace beryllane::load {
namespace {

using config::FieldReader;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::int64_t kMaxTokens = 1'000'000;

std::uint64_t ReadCount(FieldReader& reader, const char* name,
                        std::uint64_t fallback) {
  auto value = static_cast<std::int64_t>(fallback);
  reader.Integer(name, value, 0, kMaxTokens);
  return static_cast<std::uint64_t>(value);
}

PrefixTier ReadTier(const json& value, const std::string& pointer,
                    config::Faults& faults) {
  FieldReader reader(value, pointer, faults);
  PrefixTier tier;
  tier.count = std::max<std::uint64_t>(1, ReadCount(reader, "count", 1));
  tier.tokens = ReadCount(reader, "tokens", tier.tokens);
  reader.Number("skew", tier.skew, 0, 10);
  reader.Finish();
  return tier;
}

KindLoad ReadKind(const std::string& name, FieldReader& reader,
                  config::Faults& faults) {
  KindLoad kind;
  kind.kind = name;
  reader.Number("share", kind.share, 0, 1e6);
  reader.Number("worth", kind.worth, 0, 1e9);
  reader.Millis("patience_ms", kind.patience, milliseconds(1),
                std::chrono::minutes(60));
  reader.String("path", kind.path);
  reader.Bool("stream", kind.is_stream);
  kind.max_tokens = ReadCount(reader, "max_tokens", kind.max_tokens);
  kind.question_tokens =
      ReadCount(reader, "question_tokens", kind.question_tokens);
  const json* tiers = reader.Raw("prefixes");
  if (tiers == nullptr) return kind;
  for (std::size_t i = 0; i < tiers->size(); ++i) {
    kind.tiers.push_back(ReadTier(
        tiers->at(i), fmt::format("/kinds/{}/prefixes/{}", name, i), faults));
  }
  return kind;
}

// Words that depend on `seed` alone, of `tokens` tokens.
std::string Text(std::uint64_t seed, std::uint64_t tokens) {
  std::string text;
  text.reserve(tokens * placement::kBytesPerToken);
  for (std::uint64_t i = 0; i < tokens; ++i) {
    fmt::format_to(std::back_inserter(text), "{:03x} ", Mix(seed, i) & 0xFFF);
  }
  return text;
}

}  // namespace

Result<Workload> ReadWorkload(const std::string& path) {
  std::ifstream in(path);
  const json document = json::parse(in, nullptr, false);
  if (document.is_discarded()) {
    return Error{ErrorId::kMalformedJson, path + " is not JSON",
                 Verdict::kNotRun};
  }
  Workload workload;
  config::Faults faults;
  FieldReader reader(document, "", faults);
  reader.String("model", workload.model);
  std::int64_t shift = 0;
  reader.Integer("hot_shift_seconds", shift, 0, 86400);
  workload.hot_shift = std::chrono::seconds(shift);
  reader.Each("accounts", [&](const std::string& key, FieldReader& item) {
    AccountLoad account;
    account.key = key;
    item.Number("share", account.share, 0, 1e6);
    workload.accounts.push_back(account);
  });
  reader.Each("kinds", [&](const std::string& key, FieldReader& item) {
    workload.kinds.push_back(ReadKind(key, item, faults));
  });
  reader.Finish();
  if (workload.accounts.empty()) reader.Fail("accounts", "is required");
  if (workload.kinds.empty()) reader.Fail("kinds", "is required");
  if (faults.list.empty()) return workload;
  return Error{ErrorId::kConfigInvalid, path + "\n" + config::ToText(faults),
               Verdict::kNotRun};
}

Generator::Generator(const Workload& workload, std::uint64_t seed)
    : workload_(workload), random_(seed) {
  std::vector<double> kinds;
  for (const KindLoad& kind : workload.kinds) kinds.push_back(kind.share);
  kinds_ = std::discrete_distribution<std::size_t>(kinds.begin(), kinds.end());
  std::vector<double> accounts;
  for (const AccountLoad& a : workload.accounts) accounts.push_back(a.share);
  accounts_ =
      std::discrete_distribution<std::size_t>(accounts.begin(), accounts.end());
}

std::chrono::nanoseconds Generator::NextGap(double rate) {
  std::exponential_distribution<double> gap(rate);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(gap(random_)));
}

std::uint64_t Generator::DrawRank(const PrefixTier& tier) {
  std::uniform_real_distribution<double> uniform(0, 1);
  // Inverts the power law by its continuous form, which is close enough for a
  // popularity curve.
  const double u = uniform(random_);
  const auto n = static_cast<double>(tier.count);
  if (tier.skew == 0) return static_cast<std::uint64_t>(u * n);
  const double power = 1 - tier.skew;
  const double x =
      std::abs(power) < 1e-9
          ? std::pow(n + 1, u)
          : std::pow(u * (std::pow(n + 1, power) - 1) + 1, 1 / power);
  return std::min(tier.count - 1, static_cast<std::uint64_t>(x - 1));
}

std::string Generator::PromptFor(const KindLoad& kind, std::size_t account,
                                 std::uint64_t shift, std::uint64_t& tokens) {
  std::uint64_t path = Mix(account, shift);
  json messages = json::array();
  for (const PrefixTier& tier : kind.tiers) {
    path = Mix(path, DrawRank(tier));
    messages.push_back(
        {{"role", "system"}, {"content", Text(path, tier.tokens)}});
    tokens += tier.tokens;
  }
  messages.push_back(
      {{"role", "user"}, {"content", Text(random_(), kind.question_tokens)}});
  tokens += kind.question_tokens;
  return json{{"model", workload_.model},
              {"stream", kind.is_stream},
              {"max_tokens", kind.max_tokens},
              {"messages", messages}}
      .dump();
}

GeneratedRequest Generator::Next(std::chrono::nanoseconds elapsed) {
  GeneratedRequest request;
  request.kind = kinds_(random_);
  request.account = accounts_(random_);
  const KindLoad& kind = workload_.kinds[request.kind];
  if (!kind.path.empty()) {
    request.body = fmt::format("{{\"order\":{}}}", random_() % 1'000'000);
    return request;
  }
  const std::uint64_t shift =
      workload_.hot_shift.count() == 0
          ? 0
          : static_cast<std::uint64_t>(elapsed / workload_.hot_shift);
  request.body = PromptFor(kind, request.account, shift, request.prompt_tokens);
  return request;
}

}  // namespace beryllane::load
