#include "daemon/edge/StructuredLog.h"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace chervil;
using namespace chervil::daemon;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(StructuredLogging)

// Guards against a log without bound, and against dropped lines that nobody hears of.
BOOST_AUTO_TEST_CASE(VolumeIsBoundedAndDropsAreTold) {
  StructuredLog log;
  Now now{TimePoint(1000s), WallTime(1000s)};
  log.Updated = now.Steady;
  for (int i = 0; i < 5000; ++i)
    write(log, now, "relay", "refused", {{"n", std::to_string(i)}});
  BOOST_TEST(log.Dropped == 4000U);
  log.Buffer.clear();
  now.Steady += 1s;
  write(log, now, "relay", "refused", {});
  std::istringstream lines(log.Buffer);
  std::string line;
  BOOST_REQUIRE(std::getline(lines, line));
  BOOST_TEST(nlohmann::json::parse(line)["lines"] == "4000");
}

// Guards against lines that break the format, whatever their values hold.
BOOST_AUTO_TEST_CASE(EveryLineIsAnObject) {
  StructuredLog log;
  write(log, {TimePoint(1s), WallTime(5ms)}, "relay", "x", {{"path", "a\"b\n\xff"}});
  const auto line = nlohmann::json::parse(log.Buffer);
  BOOST_TEST(line["ms"] == 5);
  BOOST_TEST(line["part"] == "relay");
}

// Guards against a reader that takes nothing and stops the process.
BOOST_AUTO_TEST_CASE(FullPipeDoesNotBlock) {
  int fds[2];
  BOOST_REQUIRE(pipe(fds) == 0);
  StructuredLog log;
  log.Descriptor = fds[1];
  log.Buffer.assign(200'000, 'x');
  flush(log);
  BOOST_TEST(!log.Buffer.empty());
  close(fds[0]);
  close(fds[1]);
}

BOOST_AUTO_TEST_SUITE_END()
