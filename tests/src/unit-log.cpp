// Log lines are bounded, and a reader that stops blocks nobody.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <memory>
#include <string>

#include "src/telemetry/bounded_sink.h"

namespace beryllane::telemetry {
namespace {

class BoundedSinkTest : public ::testing::Test {
 protected:
  BoundedSinkTest() {
    EXPECT_EQ(pipe(ends_), 0);
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    sink_ = std::make_shared<BoundedSink>(ends_[1]);
    logger_ = std::make_shared<spdlog::logger>("test", sink_);
  }
  ~BoundedSinkTest() override {
    close(ends_[0]);
    close(ends_[1]);
  }

  std::string ReadAll() const {
    std::string all;
    char buffer[4096];
    for (;;) {
      const ssize_t bytes = read(ends_[0], buffer, sizeof(buffer));
      if (bytes <= 0) return all;
      all.append(buffer, static_cast<std::size_t>(bytes));
    }
  }

  int ends_[2] = {-1, -1};
  std::shared_ptr<BoundedSink> sink_;
  std::shared_ptr<spdlog::logger> logger_;
};

TEST_F(BoundedSinkTest, LinesWaitForAFlush) {
  logger_->info("one");
  EXPECT_EQ(ReadAll(), "");
  logger_->flush();
  EXPECT_EQ(ReadAll(), "one\n");
}

TEST_F(BoundedSinkTest, AReaderThatStopsCostsOrdinaryLinesFirst) {
  const std::string line(1000, 'x');
  for (int i = 0; i < 2000; ++i) logger_->info(line);
  const std::uint64_t dropped = sink_->dropped();
  EXPECT_GT(dropped, 0U);
  logger_->warn("a failure");
  EXPECT_EQ(sink_->dropped(), dropped);
  std::string all;
  for (int i = 0; i < 200; ++i) {
    logger_->flush();
    all += ReadAll();
  }
  EXPECT_NE(all.find("a failure"), std::string::npos);
}

TEST_F(BoundedSinkTest, FailuresAreBoundedToo) {
  const std::string line(1000, 'x');
  for (int i = 0; i < 2000; ++i) logger_->error(line);
  EXPECT_GT(sink_->dropped(), 0U);
}

}  // namespace
}  // namespace beryllane::telemetry
