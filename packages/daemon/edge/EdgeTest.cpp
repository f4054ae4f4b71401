// A whole node against stand-ins of the platform's store and backend servers, by the published
// protocol.
#include "daemon/edge/EdgeFixture.h"

using namespace chervil;
using namespace chervil::daemon;
using namespace chervil::daemon::test;

BOOST_AUTO_TEST_SUITE(EdgeNode)

// Guards against a break anywhere in the path of a request, and routes of one prefix that are mixed
// up.
BOOST_AUTO_TEST_CASE(RequestsAreServedByTheirRoute) {
  Fixture f;
  const Answer safe = f.ask("GET", "/app/x");
  BOOST_TEST(safe.Status == 200);
  BOOST_TEST(safe.Body.starts_with("from "));
  BOOST_TEST(http::find(safe.Fields, "Server-Stamp") != nullptr);
  const Answer unsafe = f.ask("POST", "/app/book/x");
  BOOST_TEST(unsafe.Status == 200);
  for (BackendStandIn *it : {&f.A, &f.B})
    for (const http::Request &r : it->Ran) {
      BOOST_TEST(*http::find(r.Head.Fields, "Tenant") == "w");
      BOOST_TEST((http::find(r.Head.Fields, "X-Api-Key") == nullptr));
    }
  BOOST_TEST(f.A.Ran.size() + f.B.Ran.size() == 2U);
  BOOST_TEST(f.ask("GET", "/none/x").Status == 404);
  BOOST_TEST(f.ask("GET", "/app/x", "other").Status == 401);
}

// Guards against usage that is lost because a node which the store refuses does not know of a new
// holder: seen as windows off by 47 of 178 requests.
BOOST_AUTO_TEST_CASE(UsageGoesToTheHolderThatAnnouncedItself) {
  Fixture f;
  std::uint64_t reported = 0;
  auto holder = net::startPeerTransport(
      f.Node->Loop, {.Self = {"holder", 1}, .DataCentre = "z", .Secret = "0123456789abcdef"},
      {.OnMessage =
           [&](const NodeId &, const std::string &, message::Message &&m) {
             if (const auto *report = std::get_if<message::UsageReport>(&m))
               for (const message::UsageCount &it : report->Counts)
                 reported += it.Requests;
           },
       .OnUnreachable = [](const std::string &) {}});
  BOOST_REQUIRE(holder.has_value());
  BOOST_TEST(f.ask("GET", "/app/x").Status == 200);
  net::send(**holder, net::peerAddress(*f.Node->Peers),
            message::DutyHolderAnnouncement{net::peerAddress(**holder), 1'000});
  BOOST_TEST(f.runUntil([&] { return reported > 0; }));
  // News of an earlier holder change nothing.
  net::send(**holder, net::peerAddress(*f.Node->Peers),
            message::DutyHolderAnnouncement{"127.0.0.1:1", 999});
  f.runUntil([] { return false; }, 200ms);
  reported = 0;
  BOOST_TEST(f.runUntil([&] { return reported > 0; }));
}

// Guards against a server that works on for a caller that left.
BOOST_AUTO_TEST_CASE(CallerThatLeavesCancelsTheCall) {
  Fixture f;
  const auto hold = [](const http::Request &) { return true; };
  f.A.Behave = f.B.Behave = hold;
  Answer answer;
  const std::uint64_t id = f.send(answer, "POST", "/app/book/x");
  BOOST_TEST(f.runUntil([&] { return f.A.Ran.size() + f.B.Ran.size() == 1; }));
  http::cancelCall(*f.Caller, id);
  BOOST_TEST(f.runUntil([&] { return f.A.Gone + f.B.Gone == 1; }, 500ms));
  BOOST_TEST(f.Node->Requests.empty());
}

// Guards against new work for a server that drains.
BOOST_AUTO_TEST_CASE(DrainingServerGetsNothingNew) {
  Fixture f;
  f.announce(f.A, "draining");
  BOOST_TEST(f.runUntil([&] { return f.Node->Relay.Servers.Servers.at("a").Leaving; }, 2000ms));
  for (int i = 0; i < 6; ++i)
    BOOST_TEST(f.ask("GET", "/app/x").Status == 200);
  BOOST_TEST(f.A.Ran.empty());
}

// Guards against a server that gets more requests than the limit that it states, and callers who
// are refused although another server has none.
BOOST_AUTO_TEST_CASE(ServerGetsNoMoreThanTheLimitThatItStates) {
  Fixture f;
  f.A.Behave = [&f](const http::Request &r) {
    http::Fields fields = f.A.marks(r);
    fields.emplace_back("Server-Limit", "4");
    http::respond(*f.A.Server, r.Id, {.Status = 200, .Fields = fields, .Body = "from a"});
    return true;
  };
  while (f.A.Ran.empty())
    BOOST_TEST(f.ask("GET", "/app/x").Status == 200);
  const std::size_t before = f.A.Ran.size();
  const TimePoint begin = net::readNow().Steady;
  while (net::readNow().Steady - begin < 1s)
    BOOST_TEST(f.ask("GET", "/app/x").Status == 200);
  const double seconds = std::chrono::duration<double>(net::readNow().Steady - begin).count();
  BOOST_TEST(double(f.A.Ran.size() - before) <= 4 * seconds + 1);
  BOOST_TEST(f.A.Ran.size() > before);
}

// Guards against a planned stop that cuts off a request which may not be repeated without an
// answer.
BOOST_AUTO_TEST_CASE(StopAnswersWhatDoesNotEndInTime) {
  Fixture f;
  f.A.Behave = f.B.Behave = [](const http::Request &) { return true; };
  f.Node->Settings.Edge.StopTime = 1000ms;
  Answer answer;
  f.send(answer, "POST", "/app/book/x");
  BOOST_TEST(f.runUntil([&] { return f.A.Ran.size() + f.B.Ran.size() == 1; }));
  leave(*f.Node);
  BOOST_TEST(f.runUntil([&] { return answer.Ended; }));
  BOOST_TEST((answer.Failure == http::Failure::None));
  BOOST_TEST(answer.Status == 502);
}

// Guards against a request that runs at a server which took over an address, and is not served.
BOOST_AUTO_TEST_CASE(AddressOfAnotherServerIsNotUsed) {
  Fixture f;
  f.announce(f.A, "ready", f.B.address());
  BOOST_TEST(f.runUntil(
      [&] { return f.Node->Relay.Servers.Servers.at("a").Entry.Address == f.B.address(); }));
  for (int i = 0; i < 6; ++i)
    BOOST_TEST(f.ask("POST", "/app/book/x").Body == "from b");
  BOOST_TEST(f.A.Ran.empty());
}

// Guards against a stream that lacks or repeats events after its server broke off in the middle of
// one.
BOOST_AUTO_TEST_CASE(StreamGoesOnAtAnotherServer) {
  Fixture f;
  for (BackendStandIn *it : {&f.M, &f.N})
    it->Behave = [it](const http::Request &r) {
      http::beginStream(*it->Server, r.Id, {.Status = 200, .Fields = it->marks(r)});
      if (const std::string *last = http::find(r.Head.Fields, "Last-Event-Id")) {
        BOOST_TEST(*last == "1");
        http::writeStream(*it->Server, r.Id, "id: 2\ndata: b\n\n");
        http::endStream(*it->Server, r.Id);
      } else {
        http::writeStream(*it->Server, r.Id, "id: 1\ndata: a\n\nid: 2\nda");
        http::abort(*it->Server, r.Id);
      }
      return true;
    };
  const Answer answer = f.ask("POST", "/draft/x");
  BOOST_TEST(answer.Status == 200);
  BOOST_TEST(answer.Body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST((answer.Failure == http::Failure::None));
}

// Guards against a request that may run once and is repeated after its answer was lost.
BOOST_AUTO_TEST_CASE(LostAnswerOfAnUnsafeRequestIsUnknown) {
  Fixture f;
  for (BackendStandIn *it : {&f.A, &f.B})
    it->Behave = [it](const http::Request &r) {
      http::abort(*it->Server, r.Id);
      return true;
    };
  BOOST_TEST(f.ask("POST", "/app/book/x").Status == 502);
  BOOST_TEST(f.A.Ran.size() + f.B.Ran.size() == 1U);
}

// Guards against a stop that cuts a request, and a node that counts as ready while it stops.
BOOST_AUTO_TEST_CASE(StopLetsRequestsEnd) {
  Fixture f;
  std::vector<std::pair<BackendStandIn *, http::Request>> held;
  for (BackendStandIn *it : {&f.A, &f.B})
    it->Behave = [it, &held](const http::Request &r) {
      held.emplace_back(it, r);
      return true;
    };
  Answer answer;
  f.send(answer, "POST", "/app/book/x");
  BOOST_TEST(f.runUntil([&] { return held.size() == 1; }));
  leave(*f.Node);
  BOOST_TEST(!isReady(*f.Node));
  const auto &[server, request] = held[0];
  http::respond(*server->Server, request.Id,
                {.Status = 200, .Fields = server->marks(request), .Body = "whole"});
  BOOST_TEST(f.runUntil([&] { return answer.Ended; }));
  BOOST_TEST(answer.Body == "whole");
  BOOST_TEST(f.runUntil([&] { return f.Node->Stopping; }, 8000ms));
}

BOOST_AUTO_TEST_SUITE_END()
