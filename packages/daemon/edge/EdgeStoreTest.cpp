// A whole node and the store: lost answers, watches and copies, and returns from an older copy.
#include "daemon/edge/EdgeFixture.h"

using namespace chervil;
using namespace chervil::daemon;
using namespace chervil::daemon::test;

BOOST_AUTO_TEST_SUITE(EdgeNode)

// Guards against a departure that is known too late because one answer of the list was lost: new
// work must end within 2 s.
BOOST_AUTO_TEST_CASE(LostListDoesNotHideADepartureForLong) {
  Fixture f;
  f.Store.LostPrefix = "servers/";
  f.Store.LostReads = 1;
  f.announce(f.A, "draining");
  BOOST_TEST(f.runUntil([&] { return f.Node->Relay.Servers.Servers.at("a").Leaving; }, 2000ms));
  BOOST_TEST(f.Store.LostReads == 0U);
}

// Guards against a departure that is not seen after the store has come back from an older copy,
// because its revisions are lower than that of the list in use.
BOOST_AUTO_TEST_CASE(DepartureAfterARestoreIsSeenInTime) {
  Fixture f;
  const auto copy = f.Store.Items;
  const std::uint64_t revision = f.Store.Revision;
  f.Store.Revision += 1000;
  f.announce(f.B, "ready");
  BOOST_TEST(f.runUntil([&] { return f.Node->ServerItems.Revision > 1000; }, 2000ms));
  f.Store.restore(copy, revision);
  f.announce(f.A, "draining");
  BOOST_TEST(f.runUntil([&] { return f.Node->Relay.Servers.Servers.at("a").Leaving; }, 2000ms));
  BOOST_TEST(f.Node->StoreEra == 2U);
}

// Guards against a configuration that was written after the store came back from an older copy and
// is never read, because its revision is lower than that of the watch.
BOOST_AUTO_TEST_CASE(ConfigurationAfterARestoreComesIntoForce) {
  Fixture f;
  const auto copy = f.Store.Items;
  const std::uint64_t revision = f.Store.Revision;
  f.Store.Revision += 1000;
  f.Store.put("op/config", configurationDocument(2));
  BOOST_TEST(f.runUntil([&] { return f.Node->Relay.Config->Version == 2; }, 2000ms));
  f.Store.restore(copy, revision);
  f.Store.put("op/config", configurationDocument(3));
  BOOST_TEST(f.runUntil([&] { return f.Node->Relay.Config->Version == 3; }, 2000ms));
}

// Guards against servers that are taken for gone because the copy from which the store came back
// does not have them yet.
BOOST_AUTO_TEST_CASE(ServersMissingInAnOlderCopyAreKept) {
  Fixture f;
  auto copy = f.Store.Items;
  copy.erase("servers/a");
  f.Store.restore(copy, 1);
  BOOST_TEST(f.runUntil([&] { return f.Node->ServerItems.Era == 2; }, 2000ms));
  f.runUntil([] { return false; }, 600ms);
  f.announce(f.A, "ready");
  BOOST_TEST(!f.Node->Relay.Servers.Servers.at("a").Leaving);
  f.runUntil([] { return false; }, 3000ms);
  BOOST_TEST(!f.Node->Relay.Servers.Servers.at("a").Leaving);
}

// Guards against a removal that is not seen for a while because the node has just started: an entry
// is kept only after an outage of the store.
BOOST_AUTO_TEST_CASE(RemovalSoonAfterAStartIsSeenAtOnce) {
  Fixture f;
  const TimePoint started = net::readNow().Steady;
  f.Store.remove("servers/a");
  BOOST_TEST(f.runUntil([&] { return !f.Node->Relay.Servers.Servers.contains("a"); }, 2000ms));
  BOOST_TEST(!f.Node->ServerItems.ReturnedAt.has_value());
  // An entry that was kept for the time of return would go at the end of it.
  BOOST_TEST((net::readNow().Steady - started < 2000ms));
}

// Guards against a removal that is concluded while entries may be missing because the store was
// away, and against one that is not seen afterwards.
BOOST_AUTO_TEST_CASE(MissingEntriesAreKeptAfterAnOutageOnly) {
  Fixture f;
  f.Store.LostPrefix = "servers/";
  f.Store.LostReads = 1;
  BOOST_TEST(f.runUntil([&] { return f.Node->ServerItems.ReturnedAt.has_value(); }, 5000ms));
  f.Store.remove("servers/a");
  f.runUntil([] { return false; }, 1000ms);
  BOOST_TEST(!f.Node->Relay.Servers.Servers.at("a").Leaving);
  BOOST_TEST(f.runUntil([&] { return !f.Node->Relay.Servers.Servers.contains("a"); }, 4000ms));
}

// Guards against a server that gets no requests after its entry lapsed and is back.
BOOST_AUTO_TEST_CASE(ServerThatIsListedAgainGetsRequests) {
  Fixture f;
  f.Store.remove("servers/a");
  BOOST_TEST(f.runUntil([&] { return !f.Node->Relay.Servers.Servers.contains("a"); }));
  f.announce(f.A, "ready");
  BOOST_TEST(f.runUntil([&] { return f.Node->Relay.Servers.Servers.contains("a"); }));
  BOOST_TEST(!f.Node->Relay.Servers.Servers.at("a").Leaving);
}

// Guards against a changed configuration that does not come into force.
BOOST_AUTO_TEST_CASE(NewConfigurationComesIntoForce) {
  Fixture f;
  Json next = configurationDocument(5);
  next["tenants"][0]["api-keys"] = {"new"};
  f.Store.put("op/config", next);
  BOOST_TEST(f.runUntil([&] { return f.Node->Relay.Config->Version == 5; }, 2000ms));
  BOOST_TEST(f.ask("GET", "/app/x").Status == 401);
  BOOST_TEST(f.ask("GET", "/app/x", "new").Status == 200);
}

// Guards against a configuration that is not in force in time because the store has lost the
// waiting watch while other calls to it are answered.
BOOST_AUTO_TEST_CASE(ForgottenWatchDoesNotHideAConfiguration) {
  Fixture f;
  f.Store.ForgetsWaitingWatches = true;
  BOOST_TEST(!f.runUntil([] { return false; }, 500ms));
  for (std::uint64_t version = 2; version <= 4; ++version) {
    f.Store.put("op/config", configurationDocument(version));
    BOOST_TEST(f.runUntil([&] { return f.Node->Relay.Config->Version == version; }, 2000ms));
  }
}

// Guards against a copy of a configuration that cannot be read and hides the readable one.
BOOST_AUTO_TEST_CASE(UnreadableCopyDoesNotHideAVersion) {
  Fixture f;
  auto peer = net::startPeerTransport(
      f.Node->Loop, {.Self = {"peer", 1}, .DataCentre = "z", .Secret = "0123456789abcdef"},
      {.OnMessage = [](const NodeId &, const std::string &, message::Message &&) {},
       .OnUnreachable = [](const std::string &) {}});
  BOOST_REQUIRE(peer.has_value());
  const std::string whole = configurationDocument(7).dump();
  const char *name = "operators/configuration";
  const std::string &to = net::peerAddress(*f.Node->Peers);
  net::send(**peer, to, message::DocUpdate{name, 7, whole.substr(0, whole.size() / 2)});
  net::send(**peer, to, message::DocUpdate{name, 7, whole});
  BOOST_TEST(f.runUntil([&] { return f.Node->Relay.Config->Version == 7; }, 1000ms));
}

BOOST_AUTO_TEST_SUITE_END()
