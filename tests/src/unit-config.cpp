#include <gtest/gtest.h>

#include <fstream>

#include "src/config/parse.h"

namespace beryllane::config {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

json Example() {
  return json::parse(R"({
    "schema": 1,
    "zones": {"z": {"region": "r"}},
    "request_kinds": {"chat": {"worth": 2, "patience_ms": 3000}},
    "pools": {"p": {"type": "runner"}},
    "models": {"m": {"pool": "p", "weights_version": "w1",
                     "default_kind": "chat"}},
    "accounts": {"a": {"key_sha256":
      "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}}
  })");
}

std::string FaultsOf(const json& document) {
  Config config;
  Faults faults;
  EXPECT_FALSE(TryParseConfig(document, 1, WallTime{}, config, faults));
  return ToText(faults);
}

Config ParseValid(const json& document, WallTime now = WallTime{}) {
  Config config;
  Faults faults;
  EXPECT_TRUE(TryParseConfig(document, 1, now, config, faults))
      << ToText(faults);
  return config;
}

TEST(Config, ReadsADocument) {
  const Config config = ParseValid(Example());
  EXPECT_EQ(config.kinds.at("chat").patience, milliseconds(3000));
  EXPECT_EQ(config.models.at("m").pool, "p");
  EXPECT_EQ(config.accounts_by_key.size(), 1U);
}

TEST(Config, NamesEachFaultWithItsPointer) {
  json document = Example();
  document["request_kinds"]["chat"]["patience_ms"] = -1;
  document["request_kinds"]["chat"]["colour"] = "red";
  document["pools"]["p"]["type"] = "runer";
  document["models"]["m"]["pool"] = "q";
  const std::string faults = FaultsOf(document);
  EXPECT_NE(faults.find("/request_kinds/chat/patience_ms: -1 is outside"),
            std::string::npos)
      << faults;
  EXPECT_NE(faults.find("/request_kinds/chat/colour: is not a known field"),
            std::string::npos);
  EXPECT_NE(faults.find("/pools/p/type: \"runer\" is not one of: runner, "
                        "service"),
            std::string::npos);
  EXPECT_NE(faults.find("/models/m/pool: \"q\" is not a known pool; known "
                        "are: p"),
            std::string::npos);
}

TEST(Config, RejectsDocumentsOfTheWrongShape) {
  for (const json& document :
       {json(nullptr), json(7), json::array(), json("x"), json({{"pools", 7}}),
        json({{"pools", {{"p", 7}}}})}) {
    EXPECT_FALSE(FaultsOf(document).empty()) << document;
  }
}

TEST(Config, TwoAccountsMayNotShareAKey) {
  json document = Example();
  document["accounts"]["b"] = document["accounts"]["a"];
  EXPECT_NE(FaultsOf(document).find("is also the key of account \"a\""),
            std::string::npos);
}

TEST(Config, AnExceptionNeedsAReason) {
  json document = Example();
  document["exceptions"]["fast"] = {
      {"scope", "/request_kinds/chat/patience_ms"}, {"value", 500}};
  EXPECT_NE(FaultsOf(document).find("/exceptions/fast/reason: is required"),
            std::string::npos);
}

TEST(Config, AnExceptionReplacesAValueUntilItExpires) {
  json document = Example();
  document["exceptions"]["fast"] = {
      {"scope", "/request_kinds/chat/patience_ms"},
      {"value", 500},
      {"reason", "fitting day"},
      {"expires", "2027-01-31T12:00:00Z"}};
  const WallTime expiry = *ParseUtc("2027-01-31T12:00:00Z");
  EXPECT_EQ(
      ParseValid(document, expiry - milliseconds(1)).kinds.at("chat").patience,
      milliseconds(500));
  EXPECT_EQ(ParseValid(document, expiry).kinds.at("chat").patience,
            milliseconds(3000));
  EXPECT_EQ(Validate(document), configlog::Validity::kValid);
}

TEST(Config, AnExceptionsValueIsCheckedWhereItApplies) {
  json document = Example();
  document["exceptions"]["odd"] = {{"scope", "/request_kinds/chat/patience_ms"},
                                   {"value", "soon"},
                                   {"reason", "why not"}};
  EXPECT_NE(FaultsOf(document).find("/exceptions/odd/value"),
            std::string::npos);
  document["exceptions"]["odd"]["scope"] = "no pointer";
  EXPECT_NE(FaultsOf(document).find("/exceptions/odd/scope"),
            std::string::npos);
}

TEST(Config, TheListOfExceptionsIsBounded) {
  json document = Example();
  document["defaults"]["max_exceptions"] = 1;
  for (const char* name : {"x", "y"}) {
    document["exceptions"][name] = {
        {"scope", "/request_kinds/chat/worth"}, {"value", 1}, {"reason", "r"}};
  }
  EXPECT_NE(FaultsOf(document).find("holds 2 exceptions"), std::string::npos);
}

TEST(Config, ANewerSchemaIsNotJudged) {
  EXPECT_EQ(Validate({{"schema", 2}}), configlog::Validity::kUnknownSchema);
  EXPECT_EQ(Validate({{"schema", 0}}), configlog::Validity::kInvalid);
}

TEST(ParseUtc, TakesOneForm) {
  EXPECT_TRUE(ParseUtc("2027-01-31T12:00:00Z").has_value());
  EXPECT_FALSE(ParseUtc("2027-01-31").has_value());
  EXPECT_FALSE(ParseUtc("2027-01-31T12:00:00Zx").has_value());
}

}  // namespace
}  // namespace beryllane::config
