#include "routing/Routing.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::routing;
using namespace std::chrono_literals;

namespace {

Now at(Duration t) { return {TimePoint(t + 100s), WallTime(1764800000000ms)}; }

std::vector<Backend> engines(int n, std::uint32_t slots = 16) {
  std::vector<Backend> list;
  for (int i = 0; i < n; ++i) {
    Backend b;
    b.Name = "e" + std::to_string(i);
    b.Targets = {"redactor"};
    b.Slots = slots;
    list.push_back(b);
  }
  return list;
}

State fleetOf(int n) {
  Options o;
  o.Node = "n1";
  State s = makeState(o);
  updateBackends(s, engines(n), at(0s));
  return s;
}

WorkRequest work(std::uint32_t tokens = 50) {
  WorkRequest w;
  w.Customer = "c";
  w.Kind = "status";
  w.Target = "redactor";
  w.ExpectedTokens = tokens;
  return w;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Choosing)

// Guards against a permanent refusal for a model whose VMs were all reclaimed, and the reverse.
BOOST_AUTO_TEST_CASE(UnknownTargetAndEmptyTargetDiffer) {
  Random rng(1);
  State s = fleetOf(2);
  WorkRequest w = work();
  w.Target = "other";
  BOOST_TEST((choose(s, w, at(0s), rng).error() == ResultCode::UnknownModel));
  w.TargetKind = message::WorkKind::Service;
  BOOST_TEST((choose(s, w, at(0s), rng).error() == ResultCode::UnknownService));
  updateBackends(s, {}, at(1s));
  BOOST_TEST((choose(s, work(), at(1s), rng).error() == ResultCode::NoBackend));
}

// Guards against new work on an engine that is about to vanish, also when the VM list lags.
BOOST_AUTO_TEST_CASE(LeavingGetsNothingNew) {
  Random rng(2);
  State s = fleetOf(3);
  backendLeaving(s, "e1", TimePoint(105s), at(0s));
  updateBackends(s, engines(3), at(1s));
  for (int i = 0; i < 1000; ++i)
    BOOST_TEST(choose(s, work(), at(1s), rng)->Backend != "e1");
}

BOOST_AUTO_TEST_SUITE_END()
