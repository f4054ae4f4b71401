#include "base/ResultCode.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <set>
#include <sstream>
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

// Guards against a code whose page entry does not tell what to do, or breaks the table.
BOOST_AUTO_TEST_CASE(EveryCodeHasASentence) {
  for (const auto &it : chervil::allResultCodes()) {
    const std::string text = it.Meaning == nullptr ? "" : it.Meaning;
    BOOST_TEST(text.size() > 20U, it.Name);
    BOOST_TEST(text.find_first_of("|\n") == std::string::npos, it.Name);
    BOOST_TEST((!text.empty() && text.back() == '.'), it.Name);
  }
}

// Guards against a page that differs from the program.
BOOST_AUTO_TEST_CASE(PageIsUpToDate) {
  std::ifstream in(std::string(CHERVIL_DOCS) + "/result-codes.md");
  std::stringstream text;
  text << in.rdbuf();
  BOOST_TEST((text.str() == chervil::describeResultCodes()),
             "run build/release/packages/base/result_codes_doc > docs/result-codes.md");
}

BOOST_AUTO_TEST_SUITE_END()
