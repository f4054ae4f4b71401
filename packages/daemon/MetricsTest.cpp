#include "daemon/Metrics.h"

#include <boost/test/unit_test.hpp>

using namespace chervil::daemon;

BOOST_AUTO_TEST_SUITE(MetricsText)

// Guards against versions of two documents that replace each other, or a version that stays.
BOOST_AUTO_TEST_CASE(EachDocumentHasItsOwnVersion) {
  Metrics metrics;
  setDocumentVersion(metrics, "config/head", 7);
  setDocumentVersion(metrics, "config/contracts/a", 1);
  setDocumentVersion(metrics, "config/contracts/a", 2);
  const std::string text = serialise(metrics);
  BOOST_TEST(text.find("chervil_document_version{document=\"config/head\"} 7\n") !=
             std::string::npos);
  BOOST_TEST(text.find("chervil_document_version{document=\"config/contracts/a\"} 2\n") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
