// Requests whose content crashes the servers that run it, and requests whose servers end for
// another reason, as one node handles them.
#include "relay/RelayFixture.h"

#include <algorithm>
#include <map>

using namespace chervil;
using namespace chervil::relay;
using namespace chervil::relay::test;

namespace {

constexpr std::uint64_t Content = 7;
constexpr Duration EventPeriod = 30ms;
// Bound on the time from a crash to its effect on all nodes.
constexpr Duration ContactTime = 3s;

/// Where a server ends in its answer.
struct Point {
  const char *What;
  bool HasHead = true;
  int Events = 0;
  const char *Rest = "";
  BackendEnd How = BackendEnd::Broken;
};

constexpr Point Points[] = {
    {.What = "before a byte", .HasHead = false},
    {.What = "in the head", .HasHead = false, .How = BackendEnd::BrokenInHead},
    {.What = "after the head"},
    {.What = "in the first event", .Rest = "id: 1\nda"},
    {.What = "in the first event, closed", .Rest = "id: 1\nda", .How = BackendEnd::Closed},
    {.What = "after one event", .Events = 1},
    {.What = "in the third event", .Events = 2, .Rest = "id"},
    {.What = "after 15 events", .Events = 15},
    {.What = "after 40 events", .Events = 40},
};

struct CrashFixture : Fixture {
  /// When each crash was, and when each call reached a server.
  std::vector<TimePoint> Crashes;
  std::vector<TimePoint> Arrivals;

  explicit CrashFixture(unsigned servers = 8) : Fixture(servers) {}

  /// Sends events with the ids after `last`. Returns the last id.
  int events(CallId id, int last, int count) {
    for (int i = 0; i < count; ++i) {
      wait(EventPeriod);
      ++last;
      bytes(id, "id: " + std::to_string(last) + "\ndata: x\n\n");
    }
    return last;
  }

  /// Plays one request, whose servers all end at the point.
  void crashAll(const char *path, const Point &at, bool resumes) {
    Out.clear();
    request(path, "key", Content);
    int last = 0;
    for (auto calls = all<CallBackend>(); !calls.empty(); calls = all<CallBackend>()) {
      const CallId id = calls.back().Call;
      Arrivals.push_back(Time.Steady);
      Out.clear();
      wait(60ms);
      if (at.HasHead)
        head(id, 200);
      last = events(id, resumes ? last : 0, at.Events);
      if (*at.Rest != '\0')
        bytes(id, at.Rest);
      Out.clear();
      end(id, at.How);
      Crashes.push_back(Time.Steady);
      // A retry may be sent after a delay.
      for (int i = 0; i < 20 && all<CallBackend>().empty(); ++i)
        wait(10ms);
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(CrashingContent)

// Guards against a request that crashes one server after the other because the bytes that its
// servers have sent hide the crashes.
BOOST_AUTO_TEST_CASE(ContentIsRefusedWhereverItsServersEnd) {
  for (const char *path : {"/resumed/x", "/once/x", "/safe/x", "/unsafe/x"})
    for (const bool resumes : {true, false})
      for (const Point &it : Points) {
        const bool isStream = std::string_view(path).starts_with("/resumed") ||
                              std::string_view(path).starts_with("/once");
        // An end without length completes an answer that is not streamed. A stream that is resumed
        // and goes on shows that its content is sound.
        if ((!isStream && it.How == BackendEnd::Closed) || (resumes && it.Events > 15))
          continue;
        BOOST_TEST_CONTEXT(path << " ends " << it.What << (resumes ? ", resumes" : "")) {
          CrashFixture f;
          for (int i = 0; i < 15; ++i) {
            f.crashAll(path, it, resumes);
            f.wait(2s);
          }
          BOOST_REQUIRE(f.Crashes.size() >= 3U);
          BOOST_TEST(std::ranges::count_if(f.Arrivals, [&](TimePoint at) {
                       return at > f.Crashes[2] + ContactTime;
                     }) <= 3);
          f.Out.clear();
          f.request(path, "key", Content + 1);
          BOOST_TEST(f.all<CallBackend>().size() == 1U);
        }
      }
}

// Guards against a flood of reports in a large fleet whenever a server ends, and against a content
// that crashes servers on one node after the other because no node is told.
BOOST_AUTO_TEST_CASE(OtherNodesAreToldOfCrashesThatAreEvidence) {
  const auto isTold = [](std::size_t nodes, int events, int crashes) {
    CrashFixture f;
    f.S.LiveNodes = nodes;
    bool told = false;
    for (int i = 0; i < crashes; ++i) {
      f.Out.clear();
      f.request("/once/x", "key", Content);
      const CallId id = f.call().Call;
      f.head(id, 200);
      f.events(id, 0, events);
      f.Out.clear();
      f.end(id, BackendEnd::Broken);
      told = std::ranges::any_of(f.all<Gossip>(), [](const Gossip &it) {
        return std::holds_alternative<message::CrashReport>(it.Message);
      });
      f.wait(1s);
    }
    return told;
  };
  BOOST_TEST(isTold(300, 0, 1));
  BOOST_TEST(!isTold(300, 1, 1));
  BOOST_TEST(!isTold(300, 25, 1));
  BOOST_TEST(!isTold(300, 1, 2));
  BOOST_TEST(!isTold(300, 25, 2));
  BOOST_TEST(isTold(9, 25, 1));
}

// Guards against a server that starts again under its id and passes for the same: two servers can
// then crash without end.
BOOST_AUTO_TEST_CASE(StartsOfOneServerAreCrashesOfTheirOwn) {
  CrashFixture f(1);
  std::uint64_t born = 1;
  for (int i = 0; i < 6; ++i) {
    f.crashAll("/once/x", Points[3], false);
    f.wait(2s);
    const std::vector<BackendEntry> list = {{.Id = "model0",
                                             .Service = "model",
                                             .Address = "10.0.0.1:2",
                                             .DataCentre = "a",
                                             .Slots = 4,
                                             .Born = ++born}};
    onBackendList(f.S, list, false, f.Out, f.Time);
  }
  BOOST_TEST(f.Crashes.size() == 3U);
}

// Guards against a sound stream that is refused because its servers end one after the other.
BOOST_AUTO_TEST_CASE(StreamThatGoesOnIsNotRefused) {
  CrashFixture f;
  for (int i = 0; i < 6; ++i) {
    f.Out.clear();
    f.request("/once/x", "key", Content);
    const CallId id = f.call().Call;
    f.head(id, 200);
    // Each gets a little further, or not as far.
    f.events(id, 0, i % 2 == 0 ? 20 + 10 * i : 10);
    f.Out.clear();
    f.end(id, BackendEnd::Broken);
    f.wait(100ms);
  }
  f.Out.clear();
  f.request("/once/x", "key", Content);
  BOOST_TEST(f.all<CallBackend>().size() == 1U);
}

// Guards against a content in many requests at a time that is refused because servers end: answers
// to others of them show that it is sound.
BOOST_AUTO_TEST_CASE(ContentOfManyRequestsIsNotRefusedForTheEndOfServers) {
  for (const char *path : {"/once/x", "/safe/x"}) {
    const bool isStream = std::string_view(path).starts_with("/once");
    CrashFixture f(6);
    struct Run {
      std::string Server;
      int Events = 0;
    };
    std::map<CallId, Run> open;
    int refused = 0;
    const auto takeCalls = [&] {
      for (const auto &it : f.all<CallBackend>()) {
        open[it.Call] = {it.Backend};
        f.head(it.Call, 200);
      }
      refused += static_cast<int>(std::ranges::count_if(
          f.all<Refuse>(), [](const Refuse &it) { return it.Code == ResultCode::Quarantined; }));
      f.Out.clear();
    };
    for (int step = 0; step < 400; ++step) {
      if (step % 2 == 0)
        f.request(path, "key", Content);
      takeCalls();
      f.wait(EventPeriod);
      const auto running = open;
      for (const auto &[id, run] : running) {
        if (isStream)
          f.bytes(id, "id: " + std::to_string(run.Events + 1) + "\ndata: x\n\n");
        if (++open[id].Events < (isStream ? 24 : 2))
          continue;
        if (!isStream)
          f.bytes(id, "whole");
        f.end(id, BackendEnd::Complete);
        open.erase(id);
      }
      takeCalls();
      // A server ends about once a second, a few milliseconds after another one each third time.
      if (step % 33 != 32)
        continue;
      const std::string prefix = isStream ? "model" : "app";
      for (int n = 0; n < (step % 99 == 98 ? 3 : 1); ++n) {
        f.wait(5ms);
        const auto before = open;
        for (const auto &[id, run] : before)
          if (run.Server == prefix + std::to_string((step / 33 + n) % 6)) {
            f.end(id, BackendEnd::Broken);
            open.erase(id);
          }
        takeCalls();
      }
    }
    BOOST_TEST(refused == 0, path);
  }
}

BOOST_AUTO_TEST_SUITE_END()
