#include "src/ctl/context.h"

#include <cstdio>
#include <fstream>

#include "fmt/format.h"

namespace beryllane::ctl {
namespace {

using net::asio::awaitable;
using nlohmann::json;

awaitable<Result<json>> CallJson(Context& context, net::Address address,
                                 net::Request request) {
  constexpr std::chrono::seconds kTimeout{5};
  net::CallOptions options;
  options.connect_timeout = kTimeout;
  options.answer_timeout = kTimeout;
  auto answer =
      co_await context.client.Call(address, std::move(request), options);
  if (!answer.ok()) co_return answer.error();
  json body = json::parse(answer.value().body(), nullptr, false);
  if (body.is_discarded()) {
    co_return Error{ErrorId::kTargetAnswerInvalid,
                    net::ToString(address) + " did not answer with JSON",
                    Verdict::kRan};
  }
  co_return body;
}

}  // namespace

int PrintError(const Error& error, int code) {
  std::fputs(fmt::format("error {} {}: {}\n", static_cast<int>(error.id),
                         Name(error.id), error.message)
                 .c_str(),
             stderr);
  return code;
}

Result<json> ReadJsonFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return Error{ErrorId::kSettingInvalid, path + " cannot be read",
                 Verdict::kNotRun};
  }
  try {
    return json::parse(in);
  } catch (const json::exception& e) {
    return Error{ErrorId::kMalformedJson, path + ": " + e.what(),
                 Verdict::kNotRun};
  }
}

awaitable<Result<json>> GetJson(Context& context, net::Address address,
                                std::string path) {
  net::Request request = net::MakeRequest(net::http::verb::get, path);
  co_return co_await CallJson(context, address, std::move(request));
}

awaitable<Result<json>> PostJson(Context& context, net::Address address,
                                 std::string path, std::string body) {
  net::Request request = net::MakeRequest(net::http::verb::post, path,
                                          std::move(body), "application/json");
  co_return co_await CallJson(context, address, std::move(request));
}

}  // namespace beryllane::ctl
