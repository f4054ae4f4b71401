#include "ctl/load/Report.h"
#include "ctl/load/SseParser.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace chervil;
using namespace chervil::load;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Reports)

// Guards against a summary line that scripts cannot read back.
BOOST_AUTO_TEST_CASE(SummaryLineSurvivesParsing) {
  const Summary s{.Requests = 10,
                  .Ok = 1,
                  .Lost = 2,
                  .Doubled = 3,
                  .Partial = 4,
                  .WrongNotRun = 5,
                  .Refused = 6,
                  .Unknown = 7};
  const std::string line = summaryLine(s);
  BOOST_TEST(line == "load: requests=10 ok=1 lost=2 doubled=3 partial=4 wrong_not_run=5 "
                     "refused=6 unknown=7");
  BOOST_TEST((parseSummaryLine(line) == s));
  BOOST_TEST((parseSummaryLine(line + "\n") == s));
  BOOST_TEST(!parseSummaryLine("load: requests=10 ok=1").has_value());
  BOOST_TEST(!parseSummaryLine(line + " more=1").has_value());
  BOOST_TEST(!parseSummaryLine("load: requests=x ok=1").has_value());
  BOOST_TEST(!parseSummaryLine("other").has_value());
}

// Guards against a JSON report whose totals differ from the summary line.
BOOST_AUTO_TEST_CASE(JsonHoldsTheTotals) {
  Report report;
  report.Totals = {.Requests = 4, .Ok = 3, .Wrong = 1};
  report.Kinds.push_back({.Name = "booking", .Requests = 4, .Ok = 3});
  report.RefusalsSeen["limit_requests"] = 2;
  addValue(report.ShortCalls, 3ms);
  const auto json = nlohmann::json::parse(formatJson(report));
  BOOST_TEST(json.at("totals").at("ok") == 3);
  BOOST_TEST(json.at("totals").at("wrong") == 1);
  BOOST_TEST(json.at("kinds").at("booking").at("requests") == 4);
  BOOST_TEST(json.at("short_calls").at("p99_ms") == 3.0);
  BOOST_TEST(formatText(report).find("wrong=1") != std::string::npos);
  BOOST_TEST(formatText(report).find("limit_requests seen=2 final=0") != std::string::npos);
}

// Guards against percentiles that are off by more than a bucket.
BOOST_AUTO_TEST_CASE(PercentilesAreWithinTwoPercent) {
  Histogram h;
  BOOST_TEST(percentileMs(h, 0.5) == 0.0);
  for (int i = 1; i <= 1000; ++i)
    addValue(h, std::chrono::milliseconds(i));
  BOOST_TEST(percentileMs(h, 0.5) >= 500.0);
  BOOST_TEST(percentileMs(h, 0.5) <= 510.1);
  BOOST_TEST(percentileMs(h, 0.99) <= 1000.0);
  BOOST_TEST(percentileMs(h, 1.0) == 1000.0);
}

// Guards against events that are lost or changed when reads split them.
BOOST_AUTO_TEST_CASE(EventsSurviveAnySplit) {
  const std::string stream = ": comment\n\nid: 5\ndata: a b\n\r\nevent: moved\r\ndata: {}\r\n\r\n"
                             "data: x\ndata: y\n\ndata: unfinished";
  rc::check([&] {
    SseParser parser;
    std::vector<SseEvent> events;
    for (std::size_t at = 0; at < stream.size();) {
      const auto n = *rc::gen::inRange<std::size_t>(1, 10);
      for (SseEvent &it : feed(parser, std::string_view(stream).substr(at, n)))
        events.push_back(std::move(it));
      at += n;
    }
    RC_ASSERT(events.size() == 3U);
    RC_ASSERT(events[0].Id == "5");
    RC_ASSERT(events[0].Data == "a b");
    RC_ASSERT(events[1].Name == "moved");
    RC_ASSERT(events[1].Data == "{}");
    RC_ASSERT(events[2].Data == "x\ny");
  });
}

BOOST_AUTO_TEST_SUITE_END()
