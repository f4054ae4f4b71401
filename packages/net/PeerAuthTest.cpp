#include "net/PeerAuth.h"

#include <boost/test/unit_test.hpp>

using namespace chervil::net;

BOOST_AUTO_TEST_SUITE(PeerAuthentication)

// Guards against a proof that does not depend on one of its inputs, or that is the same for two
// divisions of the same bytes.
BOOST_AUTO_TEST_CASE(ProofDependsOnEveryInput) {
  const std::string mac = peerMac("s", PeerRole::Connecting, "ab", "c");
  BOOST_TEST(mac.size() == 32U);
  BOOST_TEST(mac == peerMac("s", PeerRole::Connecting, "ab", "c"));
  BOOST_TEST(mac != peerMac("t", PeerRole::Connecting, "ab", "c"));
  BOOST_TEST(mac != peerMac("s", PeerRole::Accepting, "ab", "c"));
  BOOST_TEST(mac != peerMac("s", PeerRole::Connecting, "a", "bc"));
  BOOST_TEST(mac != peerMac("s", PeerRole::Connecting, "ab", "d"));
}

// Guards against an empty proof (a failed computation) that equals another empty one.
BOOST_AUTO_TEST_CASE(EmptyProofIsNeverEqual) {
  BOOST_TEST(!equalInConstantTime("", ""));
  BOOST_TEST(!equalInConstantTime("a", "ab"));
  BOOST_TEST(!equalInConstantTime("aa", "ab"));
  BOOST_TEST(equalInConstantTime("ab", "ab"));
}

// Guards against a nonce that repeats, which would permit replay.
BOOST_AUTO_TEST_CASE(NoncesDiffer) {
  BOOST_TEST(randomNonce(32).size() == 32U);
  BOOST_TEST(randomNonce(32) != randomNonce(32));
}

BOOST_AUTO_TEST_SUITE_END()
