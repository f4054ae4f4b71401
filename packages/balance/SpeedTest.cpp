#include "balance/Speed.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::balance;
using namespace std::chrono_literals;

namespace {

Now at(Duration d) { return {TimePoint(1000s + d), {}}; }

/// Evidence of 10 samples a second from `from` until `until`.
void sample(SpeedEvidence &evidence, double factor, Duration from, Duration until) {
  for (Duration t = from; t < until; t += 100ms)
    addSample(evidence, factor, 1, at(t));
}

double factorAt(const SpeedEvidence &evidence, Duration d) {
  return estimateSpeed(decayed(evidence, at(d))).Factor;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BalanceSpeed)

// Guards against a server that gets as many requests as before for seconds after it became slow,
// and against an estimate that outlives its samples.
BOOST_AUTO_TEST_CASE(ChangesShowWithinTwoSecondsAndFadeWithoutSamples) {
  SpeedEvidence evidence;
  sample(evidence, 1, 0s, 10s);
  BOOST_TEST(factorAt(evidence, 10s) == 1, boost::test_tools::tolerance(1e-9));
  sample(evidence, 2, 10s, 12s);
  BOOST_TEST(factorAt(evidence, 12s) > 1.4);
  sample(evidence, 2, 12s, 20s);
  BOOST_TEST(factorAt(evidence, 20s) > 1.8);
  BOOST_TEST(factorAt(evidence, 30s) < 1.05);
  BOOST_TEST(estimateSpeed(decayed(evidence, at(30s))).Error > estimateSpeed(evidence).Error);
}

// Guards against a wrong estimate that keeps a server without requests, or floods it.
BOOST_AUTO_TEST_CASE(EstimatesAreBounded) {
  for (const double factor : {1e-9, 1e9}) {
    SpeedEvidence evidence;
    sample(evidence, factor, 0s, 20s);
    BOOST_TEST(factorAt(evidence, 20s) <= MaxSpeedFactor);
    BOOST_TEST(factorAt(evidence, 20s) >= 1 / MaxSpeedFactor);
  }
}

// Guards against a service whose first samples are taken for slow or fast servers.
BOOST_AUTO_TEST_CASE(FactorsAreRelativeToTheService) {
  ServicePrior prior;
  for (int i = 0; i < MinPriorSamples; ++i)
    BOOST_TEST(!addTimedWork(prior, 1000, 20ms));
  BOOST_TEST(*unitsPerMs(prior) == 50, boost::test_tools::tolerance(1e-6));
  BOOST_TEST(*addTimedWork(prior, 1000, 40ms) == 2, boost::test_tools::tolerance(1e-6));
  BOOST_TEST(!addTimedWork(prior, 0, 40ms));
  BOOST_TEST(!addTimedWork(prior, 10, 0ms));
}

// Guards against evidence that changes on its way to another node.
BOOST_AUTO_TEST_CASE(SentEvidenceCountsLikeOwn) {
  SpeedEvidence evidence;
  sample(evidence, 2, 0s, 3s);
  const EncodedSpeed sent = encodeSpeed(evidence);
  const SpeedEvidence heard =
      withPeers({}, std::int64_t{sent.Factor} * sent.Weight, std::int64_t{sent.Weight});
  BOOST_TEST(estimateSpeed(heard).Factor == estimateSpeed(evidence).Factor,
             boost::test_tools::tolerance(0.03));
  BOOST_TEST(encodeSpeed({}).Weight == 0);
}

BOOST_AUTO_TEST_SUITE_END()
