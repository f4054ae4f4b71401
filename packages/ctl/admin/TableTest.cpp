#include "ctl/admin/Table.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace chervil::ctl;

BOOST_AUTO_TEST_SUITE(Tables)

// Guards against columns that do not line up and against trailing blanks.
BOOST_AUTO_TEST_CASE(ColumnsAreAligned) {
  std::ostringstream out;
  printTable(out, {"NAME", "S"}, {{"a", "x"}, {"longer", "y"}, {"b"}});
  BOOST_TEST(out.str() == "NAME    S\na       x\nlonger  y\nb\n");
}

// Guards against values that are shown in a misleading form.
BOOST_AUTO_TEST_CASE(CellsShowEveryType) {
  const nlohmann::json it = {{"s", "x"}, {"n", 7},          {"f", 1.0},     {"b", true},
                             {"z", ""},  {"l", {"a", "b"}}, {"0", nullptr}, {"t", 1769846400000}};
  BOOST_TEST(cell(it, "s") == "x");
  BOOST_TEST(cell(it, "n") == "7");
  BOOST_TEST(cell(it, "f") == "1");
  BOOST_TEST(cell(it, "b") == "yes");
  BOOST_TEST(cell(it, "l") == "a,b");
  for (const char *name : {"z", "0", "absent"})
    BOOST_TEST(cell(it, name) == "-");
  BOOST_TEST(timeCell(it, "t") == "2026-01-31 08:00:00");
  BOOST_TEST(timeCell(it, "0") == "-");
}

BOOST_AUTO_TEST_SUITE_END()
