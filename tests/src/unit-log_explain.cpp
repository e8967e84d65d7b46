// What collected logs tell of one request.
#include <gtest/gtest.h>

#include <sstream>

#include "src/ctl/log_explain.h"

namespace beryllane::ctl {
namespace {

constexpr const char* kLog = R"(
  1.2 front-1 {"event":"target-gone","host":"h1","target":"t1","time_ms":900}
  {"event":"target-gone","host":"h1","target":"other","time_ms":950}
  {"event":"store-down","host":"h2","time_ms":960}
  {"event":"placed","host":"h1","request":"r1","target":"t1","time_ms":1000}
  {"event":"placed","host":"h1","request":"r2","target":"t1","time_ms":1001}
  {"event":"order-sent","host":"h1","target":"t1","time_ms":1100}
  {"event":"request-done","host":"h1","request":"r1","outcome":"failed",
  {"event":"attempt-failed","host":"h1","request":"r1","target":"t1","time_ms":1200,"error":"target_silent","message":"t1: sent nothing","verdict":"ran"}
  {"event":"request-done","host":"h1","request":"r1","target":"t1","time_ms":1201,"outcome":"failed","took_ms":201,"attempts":1,"error":"target_silent","message":"t1: sent nothing","verdict":"ran"}
  {"event":"order-sent","host":"h1","target":"t1","time_ms":1300}
)";

TEST(LogExplain, FindsARequestsLinesAndWhatBearsOnThem) {
  LogCollection logs;
  std::istringstream in(kLog);
  logs.Read(in);
  EXPECT_EQ(logs.unreadable(), 1U);
  const auto lines = logs.LinesAbout("r1");
  ASSERT_EQ(lines.size(), 5U);
  EXPECT_EQ(lines[0]["event"], "target-gone");
  EXPECT_EQ(lines[0]["target"], "t1");
  EXPECT_EQ(lines[2]["event"], "order-sent");
  const std::string text = ExplainLines("r1", lines);
  EXPECT_NE(text.find("-100 ms   target-gone"), std::string::npos) << text;
  EXPECT_NE(text.find("failed after 201 ms and 1 attempts; target_silent: "
                      "t1: sent nothing (verdict ran)"),
            std::string::npos)
      << text;
}

TEST(LogExplain, SaysWhatIsMissing) {
  LogCollection logs;
  std::istringstream in(kLog);
  logs.Read(in);
  EXPECT_TRUE(logs.LinesAbout("r9").empty());
  EXPECT_EQ(ExplainLines("r9", {}), "no line names request r9\n");
  const std::string text = ExplainLines("r2", logs.LinesAbout("r2"));
  EXPECT_NE(text.find("its end is not in these logs"), std::string::npos);
}

}  // namespace
}  // namespace beryllane::ctl
