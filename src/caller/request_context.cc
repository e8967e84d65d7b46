#include "src/caller/request_context.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

#include "fmt/format.h"
#include "src/caller/error_response.h"

namespace beryllane::caller {
namespace {

using std::chrono::milliseconds;

Error NotRunError(ErrorId id, std::string message) {
  return {id, std::move(message), Verdict::kNotRun};
}

Result<milliseconds> ParseDeadline(const net::Exchange& exchange,
                                   const config::Defaults& defaults) {
  const std::string_view text =
      net::Header(exchange.request(), kDeadlineHeader);
  if (text.empty()) return defaults.deadline;
  std::int64_t millis = 0;
  const char* text_end = text.data() + text.size();
  const auto [parsed_end, error] =
      std::from_chars(text.data(), text_end, millis);
  const bool is_number = error == std::errc() && parsed_end == text_end;
  if (!is_number || millis < 1 || millis > defaults.max_deadline.count()) {
    return NotRunError(
        ErrorId::kInvalidDeadline,
        fmt::format("{} is \"{}\"; expected 1 to {} milliseconds",
                    kDeadlineHeader, text, defaults.max_deadline.count()));
  }
  return milliseconds(millis);
}

Result<std::string> Authenticate(const net::Exchange& exchange,
                                 const config::Config& config) {
  constexpr std::string_view kBearer = "Bearer ";
  const std::string_view header =
      net::Header(exchange.request(), "Authorization");
  if (!header.starts_with(kBearer)) {
    return NotRunError(ErrorId::kNotAuthenticated,
                       "no bearer key in the Authorization header");
  }
  const auto account =
      config.accounts_by_key.find(Sha256Hex(header.substr(kBearer.size())));
  if (account == config.accounts_by_key.end()) {
    return NotRunError(ErrorId::kNotAuthenticated,
                       "no client account has this bearer key");
  }
  return account->second;
}

}  // namespace

std::string Sha256Hex(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int digest_size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &digest_size,
             EVP_sha256(), nullptr);
  std::string hex;
  for (unsigned int i = 0; i < digest_size; ++i) {
    hex += kDigits[digest[i] >> 4];
    hex += kDigits[digest[i] & 0xF];
  }
  return hex;
}

std::chrono::nanoseconds RequestContext::TimeLeft() const {
  const std::chrono::nanoseconds left = deadline - RuntimeClock::now();
  return std::max(std::chrono::nanoseconds{0}, left);
}

Result<RequestContext> MakeRequestContext(const net::Exchange& exchange,
                                          router::Node& node) {
  RequestContext context;
  context.id = fmt::format("{:016x}{:016x}", telemetry::RandomId(),
                           telemetry::RandomId());
  context.trace =
      node.tracer().Begin(net::Header(exchange.request(), "traceparent"));
  context.state = node.request_loop(exchange.loop()).routing.GetShared();
  if (node.is_draining()) {
    return NotRunError(ErrorId::kDraining, "the router is stopping");
  }
  if (!context.state->is_ready()) {
    return NotRunError(ErrorId::kNotReady, node.CheckReadiness().reason);
  }
  const config::Config& config = *context.state->config;
  auto account = Authenticate(exchange, config);
  if (!account.ok()) return account.error();
  context.account = std::move(account.value());
  const auto deadline = ParseDeadline(exchange, config.defaults);
  if (!deadline.ok()) return deadline.error();
  context.deadline = exchange.started() + deadline.value();
  const auto limiter = context.state->limiters.find(context.account);
  if (limiter != context.state->limiters.end() &&
      !limiter->second->TryAcquire(RuntimeClock::now())) {
    return NotRunError(
        ErrorId::kRateLimited,
        fmt::format("account {} exceeds its limit of {} requests per second",
                    context.account,
                    config.accounts.at(context.account).requests_per_second));
  }
  return context;
}

Result<config::RequestKind> FindRequestKind(const net::Exchange& exchange,
                                            const RequestContext& context,
                                            const std::string& fallback) {
  const std::string_view header = net::Header(exchange.request(), kKindHeader);
  const std::string name = header.empty() ? fallback : std::string(header);
  const auto kind = context.state->config->kinds.find(name);
  if (kind == context.state->config->kinds.end()) {
    return NotRunError(ErrorId::kUnknownKind,
                       fmt::format("\"{}\" is not a request kind", name));
  }
  return kind->second;
}

}  // namespace beryllane::caller
