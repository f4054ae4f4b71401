#include "base/ResultCode.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

BOOST_AUTO_TEST_SUITE(ResultCodes)

// Guards against an unsorted table, which would break the binary search in info().
BOOST_AUTO_TEST_CASE(TableIsSortedAndNamesAreUnique) {
  std::set<std::string> names;
  int last = -1;
  for (const auto &it : chervil::allResultCodes()) {
    BOOST_TEST(static_cast<int>(it.Code) > last);
    last = static_cast<int>(it.Code);
    BOOST_TEST(names.insert(it.Name).second);
    BOOST_TEST(chervil::info(it.Code).Name == it.Name);
  }
}

BOOST_AUTO_TEST_SUITE_END()
