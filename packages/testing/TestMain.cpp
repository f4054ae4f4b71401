// Entry point shared by the Boost.Test programs of all packages.
#define BOOST_TEST_MODULE chervilcourse
#include <boost/test/unit_test.hpp>
