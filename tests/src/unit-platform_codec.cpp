// The adapter to the platform: what is decoded, and what is refused.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include "platform/base64.h"
#include "platform/cache_codec.h"
#include "platform/config_codec.h"
#include "platform/names.h"
#include "platform/request_codec.h"
#include "platform/settings.h"
#include "platform/store_client.h"

namespace beryllane::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kSettingsText = R"(
node = "front-1"
ip = "10.1.0.30"
zone = "za"
region = "ra"
someNewField = { a = 1 }
internalPortRange = [7340, 7355]
[zones]
za = "ra"
zb = "rb"
[listen]
front = "10.1.0.30:8782"
ready = "10.1.0.30:8789"
[bounds]
revokeMs = 4000
retryBudgetRatio = 0.3
graceS = 9
[platform]
address = "10.200.1.7:8784"
)";

TEST(PlatformSettings, AreDecodedAndUnknownFieldsIgnored) {
  const auto settings = ParseSettings(kSettingsText);
  ASSERT_TRUE(settings.ok()) << settings.error().message;
  EXPECT_EQ(settings.value().host_id, "front-1");
  EXPECT_EQ(settings.value().first_internal_port, 7340);
  EXPECT_EQ(settings.value().region_of_zone.at("zb"), "rb");
  EXPECT_EQ(settings.value().bounds.max_revocation_delay, milliseconds(4000));
  EXPECT_EQ(settings.value().bounds.shutdown_grace, milliseconds(9000));
  EXPECT_DOUBLE_EQ(settings.value().bounds.retry_ratio, 0.3);
  EXPECT_EQ(settings.value().store_address.port, 8784);
}

TEST(PlatformSettings, AnErrorNamesTheFieldOrTheLine) {
  const auto missing = ParseSettings("node = \"x\"\n");
  ASSERT_FALSE(missing.ok());
  EXPECT_NE(missing.error().message.find("ip"), std::string::npos);
  const auto torn = ParseSettings("node = \"x\"\nip = \n");
  ASSERT_FALSE(torn.ok());
  EXPECT_NE(torn.error().message.find("line 2"), std::string::npos);
}

std::string Record(const std::string& key, const std::string& value) {
  const std::size_t length = 1 + key.size() + value.size();
  std::string out{0, 0, static_cast<char>(length >> 8),
                  static_cast<char>(length & 0xFF)};
  out += static_cast<char>(key.size());
  return out + key + value;
}

TEST(PlatformRecords, AreSplitAndCounted) {
  const std::string head(16, '\0');
  const auto page = DecodeRecords(head + Record("a", "1") + Record("b", ""), 7);
  ASSERT_TRUE(page.ok());
  ASSERT_EQ(page.value().records.size(), 2U);
  EXPECT_EQ(page.value().records[0].offset, 7U);
  EXPECT_EQ(page.value().records[1].key, "b");
  EXPECT_EQ(page.value().records[1].value, "");
  EXPECT_EQ(page.value().next, 9U);
}

TEST(PlatformRecords, ATornAnswerIsAnError) {
  const std::string whole = std::string(16, '\0') + Record("key", "value");
  for (std::size_t size = 0; size < whole.size(); ++size) {
    const bool is_empty_page = size == 16;
    EXPECT_EQ(DecodeRecords(whole.substr(0, size), 0).ok(), is_empty_page)
        << size;
  }
}

RC_GTEST_PROP(PlatformRecords, AnyBytesAreSplitOrRefused,
              (const std::string& bytes)) {
  const auto page = DecodeRecords(std::string(16, '\0') + bytes, 3);
  const bool is_sound = !page.ok() || page.value().next >= 3U;
  RC_ASSERT(is_sound);
}

TEST(PlatformBase64, DecodesWithAndWithoutPadding) {
  EXPECT_EQ(DecodeBase64("aGVsbG8="), "hello");
  EXPECT_EQ(DecodeBase64("aGVsbG8h"), "hello!");
  EXPECT_EQ(DecodeBase64(""), "");
  EXPECT_FALSE(DecodeBase64("aGV$bG8="));
}

TEST(PlatformTargets, AnEntryIsDecoded) {
  const auto entry = DecodeTarget(
      "i-1",
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",
          "slots":4,"state":"draining","coldRemainingMs":0.5,"sequence":12,
          "born":5,
          "models":[{"name":"m","version":3,"adapters":[]}]})");
  ASSERT_TRUE(entry.ok()) << entry.error().message;
  EXPECT_TRUE(entry.value().is_draining);
  EXPECT_EQ(entry.value().sequence, 12U);
  EXPECT_EQ(entry.value().start_time, 5);
  EXPECT_EQ(entry.value().weights.at("m"), 3U);
}

TEST(PlatformTargets, EntriesOfOtherWritersNameNoTarget) {
  const std::string good =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,)"
      R"("state":"ready","version":"v1","coldRemainingMs":0,"sequence":1})";
  EXPECT_TRUE(DecodeTarget("i", good).ok());
  for (std::size_t size = 0; size < good.size(); ++size) {
    EXPECT_FALSE(DecodeTarget("i", good.substr(0, size)).ok());
  }
  for (const char* field : {"service", "address", "zone", "slots", "state",
                            "version", "coldRemainingMs", "sequence"}) {
    std::string renamed = good;
    renamed.replace(renamed.find(field), 1, "X");
    EXPECT_FALSE(DecodeTarget("i", renamed).ok()) << field;
    json of_another_type = json::parse(good);
    of_another_type[field] = json::array();
    EXPECT_FALSE(DecodeTarget("i", of_another_type.dump()).ok()) << field;
  }
  EXPECT_FALSE(DecodeTarget("i", R"([1,2])").ok());
  EXPECT_FALSE(
      DecodeTarget(
          "i",
          R"({"service":"s","address":"x","zone":"z","slots":4,"state":"ready",)"
          R"("version":"v1","coldRemainingMs":0,"sequence":1})")
          .ok());
}

// An entry that is decoded, with one field replaced.
std::string EntryWith(const std::string& field, const std::string& value) {
  json entry{{"service", "desk"}, {"address", "10.0.0.1:80"},
             {"zone", "za"},      {"slots", 8},
             {"state", "ready"},  {"sequence", 1},
             {"version", "v1"},   {"coldRemainingMs", 0},
             {"born", 5},         {"models", json::array()}};
  entry[field] = "@";
  std::string text = entry.dump();
  text.replace(text.find("\"@\""), 3, value);
  return text;
}

TEST(PlatformTargets, OddEntriesNameNoTargetAndEndNothing) {
  ASSERT_TRUE(DecodeTarget("i", EntryWith("slots", "8")).ok());
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  const std::vector<std::pair<std::string, std::string>> odd{
      {"address", R"("10.0.0.1:0")"},
      {"address", R"("10.0.0.1:65536")"},
      {"address", R"("10.0.0.1:-1")"},
      {"slots", "1e300"},
      {"slots", "1e400"},
      {"slots", "-1"},
      {"slots", "4294967304"},
      {"version", "1"},
      {"coldRemainingMs", R"("0")"},
      {"sequence", "-1"},
      {"sequence", "18446744073709551616"},
      {"born", "1e300"},
      {"models", R"([{"name":"m","version":-1}])"},
      {"models", R"([{"name":"m","version":1e30}])"},
      {"models", deep},
      {"address", deep},
      {"other", deep + "]"}};
  for (const auto& [field, value] : odd) {
    EXPECT_FALSE(DecodeTarget("i", EntryWith(field, value)).ok())
        << field << " " << value.substr(0, 40);
  }
  EXPECT_FALSE(DecodeTarget("i", deep).ok());
  EXPECT_TRUE(DecodeTarget("i", EntryWith("other", deep)).ok());
}

TEST(PlatformConfig, RoutesAccountsAndLimitsAreDecoded) {
  const auto record = DecodeOperatorRecord("config",
                                           R"({"version":7,"routes":[
        {"name":"r","host":"h","pathPrefix":"/a/","kind":"streaming",
         "resumable":true,"maxAttempts":3,"timeoutMs":6000.5,
         "trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}]},
        {"host":"h","pathPrefix":"/b/","kind":"unsafe","service":"s"}],
       "services":[{"name":"s","engine":{"slots":4,"kvCapacityTokens":9}}],
       "limits":{"maxHeaderBytes":100},
       "tenants":[{"name":"t1","apiKeys":["k1","k2"],"isolated":true}]})");
  ASSERT_TRUE(record.ok()) << record.error().message;
  const auto& config = std::get<fleet::FleetConfig>(record.value());
  EXPECT_EQ(config.version, 7U);
  EXPECT_TRUE(config.routes[0].is_stream);
  EXPECT_EQ(config.routes[0].repeatability, fleet::Repeatability::kIdempotent);
  EXPECT_EQ(config.routes[0].shares.size(), 2U);
  EXPECT_EQ(config.routes[0].timeout, milliseconds(6000));
  EXPECT_EQ(config.routes[1].repeatability, fleet::Repeatability::kAtMostOnce);
  EXPECT_EQ(config.limits.head_bytes, 100U);
  EXPECT_EQ(config.accounts[config.account_by_credential.at("k2")].name, "t1");
  EXPECT_TRUE(config.accounts[0].is_isolated);
}

// Guards against an account that is limited though its configuration names no
// limit, or a rate of zero, which stands for none.
TEST(PlatformConfig, AllowancesAreDecoded) {
  const auto record = DecodeOperatorRecord(
      "config", R"({"version":7,"routes":[],"services":[],"tenants":[
        {"name":"a","apiKeys":[],"ratePerS":1589680,"burst":18000,
         "unit":"token_count","plainTokens":200},
        {"name":"b","apiKeys":[],"ratePerS":2.5},
        {"name":"c","apiKeys":[],"ratePerS":0,"burst":5},
        {"name":"d","apiKeys":[]}]})");
  ASSERT_TRUE(record.ok()) << record.error().message;
  const auto& accounts = std::get<fleet::FleetConfig>(record.value()).accounts;
  ASSERT_TRUE(accounts[0].allowance);
  EXPECT_EQ(accounts[0].allowance->limit, (AllowanceLimit{1589680, 18000}));
  EXPECT_EQ(accounts[0].allowance->unit, fleet::AllowanceUnit::kTokens);
  EXPECT_EQ(accounts[0].allowance->default_tokens, 200);
  ASSERT_TRUE(accounts[1].allowance);
  EXPECT_EQ(accounts[1].allowance->limit, (AllowanceLimit{2.5, 0}));
  EXPECT_EQ(accounts[1].allowance->unit, fleet::AllowanceUnit::kRequests);
  EXPECT_FALSE(accounts[2].allowance);
  EXPECT_FALSE(accounts[3].allowance);
}

TEST(PlatformConfig, WrongRecordsAreErrorsAndOtherKeysAreNot) {
  EXPECT_FALSE(DecodeOperatorRecord("config", "{\"version\":").ok());
  EXPECT_FALSE(DecodeOperatorRecord("config", "{\"version\":1}").ok());
  EXPECT_FALSE(DecodeOperatorRecord("version/m", "{}").ok());
  const auto other = DecodeOperatorRecord("job/x", "?");
  ASSERT_TRUE(other.ok());
  EXPECT_TRUE(std::holds_alternative<std::monostate>(other.value()));
}

net::Request Received() {
  net::Request request =
      net::MakeRequest(net::http::verb::post, "/a/b?q=1", "body");
  request.set("Host", "Shop.Example:80");
  request.set("Attempt-Id", "id-1");
  request.set("Credential", " key ");
  request.set("Deadline-Ms", "800");
  request.set("Token-Usage", "1460, 80");
  request.set("Prompt-Prefix", "5c:800,zz,91:410");
  return request;
}

TEST(PlatformRequests, AreDecoded) {
  const auto decoded = DecodeRequest(Received());
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded.value().host, "shop.example");
  EXPECT_EQ(decoded.value().path, "/a/b");
  EXPECT_EQ(decoded.value().credential, "key");
  EXPECT_EQ(decoded.value().deadline, milliseconds(800));
  EXPECT_EQ(decoded.value().max_output_tokens, 80U);
  ASSERT_EQ(decoded.value().parts.size(), 2U);
  EXPECT_EQ(decoded.value().parts[1].tokens, 410U);
  net::Request anonymous = Received();
  anonymous.erase("Attempt-Id");
  EXPECT_FALSE(DecodeRequest(anonymous).ok());
}

TEST(PlatformRequests, EachRouterHeaderIsReplacedOrDropped) {
  net::Request received = Received();
  for (const std::string_view name :
       {header::kAccount, header::kExpectVersion, header::kCacheSalt,
        header::kFetchFrom, header::kSaveTo, header::kResumeFrom,
        header::kBackupTo, header::kPin, header::kReservation,
        header::kUrgency}) {
    received.insert(name.data(), "of the caller");
  }
  TargetRequestOptions call;
  call.target_id = "i-1";
  call.time_left = milliseconds(700);
  call.account = "t1";
  const net::Request sent = EncodeForTarget(received, "body", call);
  for (const auto& field : sent) {
    EXPECT_NE(field.value(), "of the caller") << field.name_string();
  }
  EXPECT_EQ(net::Header(sent, "Expect-Version"), "");
  call.weights_version = 7;
  call.cache_salt = "v7";
  const net::Request to_engine = EncodeForTarget(received, "body", call);
  EXPECT_EQ(net::Header(to_engine, "Expect-Version"), "7");
  EXPECT_EQ(net::Header(to_engine, "Cache-Salt"), "v7");
  EXPECT_EQ(net::Header(sent, "Tenant"), "t1");
  EXPECT_EQ(net::Header(sent, "Expect-Instance"), "i-1");
  EXPECT_EQ(net::Header(sent, "Deadline-Ms"), "700");
  EXPECT_EQ(net::Header(sent, "Credential"), "");
  EXPECT_EQ(net::Header(sent, "Host"), "Shop.Example:80");
  EXPECT_EQ(net::Target(sent), "/a/b?q=1");
}

TEST(PlatformCacheChanges, AreDecodedAndWrongOnesAreErrors) {
  const auto changes = DecodeCacheChanges(
      R"({"bootEpoch":7,"next":121,"lost":true,"events":)"
      R"([[119,"+","s1","5c",800,"m"],[120,"-","s1","91",128,"m"]]})");
  ASSERT_TRUE(changes.ok());
  EXPECT_EQ(changes.value().incarnation, 7);
  EXPECT_EQ(changes.value().next, 121U);
  EXPECT_TRUE(changes.value().has_gap);
  ASSERT_EQ(changes.value().changes.size(), 2U);
  EXPECT_TRUE(changes.value().changes[0].is_added);
  EXPECT_EQ(changes.value().changes[0].salt, "s1");
  EXPECT_EQ(changes.value().changes[1].part_id, "91");
  EXPECT_EQ(changes.value().changes[1].held_tokens, 128U);
  for (const char* wrong :
       {"", "[]", R"({"next":1})", R"({"next":"x","events":[]})",
        R"({"next":1,"events":[[1,"+"]]})",
        R"({"next":1,"events":[[1,"+","s","p","many","m"]]})"}) {
    EXPECT_FALSE(DecodeCacheChanges(wrong).ok()) << wrong;
  }
}

TEST(PlatformAnswers, ProofsAndLoadsAreDecoded) {
  net::Response response = net::MakeResponse(503, "", "text/plain");
  response.set("Not-Executed", "1");
  response.set("Instance-Load", "3, 1, 8");
  response.set("Content-Encoding", "gzip");
  const TargetAnswer refused = DecodeAnswer(response.base());
  EXPECT_TRUE(refused.is_not_run);
  EXPECT_TRUE(refused.is_encoded);
  EXPECT_EQ(refused.waiting, 1);
  const net::Response other = net::MakeResponse(421, "", "text/plain");
  EXPECT_TRUE(DecodeAnswer(other.base()).is_not_run);
  const net::Response failed = net::MakeResponse(503, "", "text/plain");
  EXPECT_FALSE(DecodeAnswer(failed.base()).is_not_run);
}

// A header with another number of items than three was dropped as a whole, and
// an unreadable item counted as 0.
TEST(PlatformAnswers, ReadableFiguresOfALoadAreKeptByPosition) {
  struct Case {
    const char* text;
    std::optional<int> running;
    std::optional<int> waiting;
    std::optional<int> pace_percent;
  };
  constexpr auto kNone = std::nullopt;
  for (const Case& expected : {Case{"3,1,8", 3, 1, kNone},
                               Case{"3,1,8,250", 3, 1, 250},
                               Case{" 3 , 1 , 8 , 100 , 7 , x", 3, 1, 100},
                               Case{"3", 3, kNone, kNone},
                               Case{"3,1", 3, 1, kNone},
                               Case{",1,8", kNone, 1, kNone},
                               Case{",,,70", kNone, kNone, 70},
                               Case{"3,,8,250", 3, kNone, 250},
                               Case{"3,1,,250,", 3, 1, 250},
                               Case{"x,1,y,250", kNone, 1, 250},
                               Case{"-1,1,8,100", kNone, 1, 100},
                               Case{"3,-1,8,100", 3, kNone, 100},
                               Case{"3,1.5,8,1", 3, kNone, 1},
                               Case{"3,1,8,10000", 3, 1, 10000},
                               Case{"3,1,8,0", 3, 1, kNone},
                               Case{"3,1,8,10001", 3, 1, kNone},
                               Case{"3,1,8,-250", 3, 1, kNone},
                               Case{"3,1,8,fast", 3, 1, kNone},
                               Case{"99999999999,1,8,250", kNone, 1, 250},
                               Case{"2147483647,1,8,250", kNone, 1, 250},
                               Case{"", kNone, kNone, kNone},
                               Case{",,,", kNone, kNone, kNone}}) {
    net::Response response = net::MakeResponse(200, "", "text/plain");
    response.set("Instance-Load", expected.text);
    const TargetAnswer answer = DecodeAnswer(response.base());
    EXPECT_EQ(answer.running, expected.running) << expected.text;
    EXPECT_EQ(answer.waiting, expected.waiting) << expected.text;
    EXPECT_EQ(answer.pace_percent, expected.pace_percent) << expected.text;
  }
  const net::Response without = net::MakeResponse(200, "", "text/plain");
  EXPECT_FALSE(DecodeAnswer(without.base()).running);
}

RC_GTEST_PROP(PlatformAnswers, AnyLoadHeaderGivesFiguresInRange, ()) {
  const auto text = *rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("0123456789,,, -x")));
  net::Response response = net::MakeResponse(200, "", "text/plain");
  response.set("Instance-Load", text);
  const TargetAnswer answer = DecodeAnswer(response.base());
  RC_ASSERT(answer.running.value_or(0) >= 0);
  RC_ASSERT(answer.waiting.value_or(0) >= 0);
  RC_ASSERT(answer.pace_percent.value_or(1) >= 1);
  RC_ASSERT(answer.pace_percent.value_or(1) <= 10000);
}

TEST(PlatformAnswers, ALimitIsADecimalNumberThatIsNotNegative) {
  net::Response response = net::MakeResponse(200, "", "text/plain");
  EXPECT_FALSE(DecodeAnswer(response.base()).requests_per_second);
  response.set("Server-Limit", " 3.25 ");
  EXPECT_EQ(DecodeAnswer(response.base()).requests_per_second, 3.25);
  for (const char* text : {"", "-1", "nan", "inf", "3 a second", "1e999"}) {
    response.set("Server-Limit", text);
    EXPECT_FALSE(DecodeAnswer(response.base()).requests_per_second) << text;
  }
}

TEST(PlatformAnswers, ALeavingTargetSaysSoToTheRouterAlone) {
  net::Response response = net::MakeResponse(503, "", "text/plain");
  EXPECT_FALSE(DecodeNotice(response.base()).is_leaving);
  response.set("Server-Leaving", "0");
  EXPECT_FALSE(DecodeNotice(response.base()).is_leaving);
  response.set("Server-Leaving", " 1 ");
  response.set("Instance-Id", "i-7");
  const TargetNotice notice = DecodeNotice(response.base());
  EXPECT_TRUE(notice.is_leaving);
  EXPECT_EQ(notice.target_id, "i-7");
  EXPECT_FALSE(notice.is_misdirected);
  net::http::fields copied;
  CopyAnswerHeaders(response.base(), copied);
  EXPECT_EQ(net::Header(copied, "Server-Leaving"), "");
  response.result(421);
  EXPECT_TRUE(DecodeNotice(response.base()).is_misdirected);
}

TEST(PlatformAnswers, APauseIsANumberOfSecondsOfARefusal) {
  net::Response response = net::MakeResponse(503, "", "text/plain");
  EXPECT_FALSE(DecodeAnswer(response.base()).pause);
  for (const auto& [text, pause] :
       {std::pair{" 2.25 ", milliseconds(2250)},
        {"0", milliseconds(0)},
        {"1e300", milliseconds(std::chrono::hours(24))}}) {
    response.set("Retry-After", text);
    EXPECT_EQ(DecodeAnswer(response.base()).pause, pause) << text;
    EXPECT_EQ(DecodeAnswer(response.base()).invalid_pause, "");
  }
  response.result(net::http::status::too_many_requests);
  EXPECT_FALSE(DecodeAnswer(response.base()).pause);
}

TEST(PlatformAnswers, NonsenseIsNoPauseAndIsReported) {
  net::Response response = net::MakeResponse(503, "", "text/plain");
  for (const char* text : {"", "-1", "nan", "inf", "1e999", "2 s", "soon",
                           "Fri, 04 Dec 2026 23:59:59 GMT"}) {
    response.set("Retry-After", text);
    EXPECT_FALSE(DecodeAnswer(response.base()).pause) << text;
    EXPECT_EQ(DecodeAnswer(response.base()).invalid_pause, text);
  }
}

}  // namespace
}  // namespace beryllane::platform
