/// Entry point of every Boost.Test program.
#define BOOST_TEST_MODULE almondnotch
#include <boost/test/unit_test.hpp>
