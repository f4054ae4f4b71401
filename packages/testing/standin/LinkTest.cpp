#include "testing/standin/HttpFixture.h"
#include "testing/standin/LinkServer.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::standin;
using namespace std::chrono_literals;

namespace {

struct Fixture : HttpFixture {
  net::HttpServerPtr Target = std::move(*net::startHttpServer(
      EventLoop, {.MaxBody = 4U << 20},
      {.OnRequest =
           [this](net::HttpRequest &&r) {
             net::respond(*Target, r.Id, {.Headers = {}, .Body = std::move(r.Body)});
           },
       .OnGone = {}}));
  std::unique_ptr<LinkServer> Links = std::move(*startLinks(
      EventLoop, {{"a", 0, "127.0.0.1:" + std::to_string(net::port(*Target)), 20ms}}, 0));

  Fixture() { Url = "http://127.0.0.1:" + std::to_string(Links->Links[0]->Options.Listen); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Links)

// Guards against a relay that adds no latency, or that changes or cuts the bytes.
BOOST_FIXTURE_TEST_CASE(BytesArriveWholeAndLate, Fixture) {
  std::string body;
  for (int i = 0; body.size() < 3000000; ++i)
    body += std::to_string(i);
  const TimePoint begin = net::readNow().Steady;
  BOOST_TEST((call("POST", "/x", body).Text == body));
  BOOST_TEST((net::readNow().Steady - begin >= 40ms));
}

// Guards against a cut or stalled link that still passes bytes, or that does not recover.
BOOST_FIXTURE_TEST_CASE(CutRefusesAndStallHolds, Fixture) {
  Link &link = *Links->Links[0];
  setCut(link, true);
  BOOST_TEST((call("POST", "/x", "b").End.Failure == net::HttpFailure::NotSent));
  setCut(link, false);
  BOOST_TEST(call("POST", "/x", "b").Text == "b");
  setStalled(link, true);
  Answer held;
  start("POST", "/x", "c", [&](const Answer &it) { held = it; });
  wait(150ms);
  BOOST_TEST(held.End.Status == 0);
  setStalled(link, false);
  wait(150ms);
  BOOST_TEST(held.Text == "c");
  start("POST", "/x", "d", [&](const Answer &it) { held = it; });
  wait(5ms);
  setCut(link, true);
  wait(20ms);
  BOOST_TEST((held.End.Failure == net::HttpFailure::Broken));
}

BOOST_AUTO_TEST_SUITE_END()
