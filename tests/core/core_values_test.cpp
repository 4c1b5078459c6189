#include <boost/test/unit_test.hpp>

#include <stdexcept>

#include "core/counters.h"
#include "core/digest.h"
#include "core/invariants.h"
#include "core/random_source.h"
#include "core/time.h"

namespace almondnotch {

// Guards against an overflow that turns `never()` into a time in the past.
BOOST_AUTO_TEST_CASE(adding_to_never_gives_never)
{
    BOOST_TEST((instant::never() + seconds(1) == instant::never()));
    BOOST_TEST((instant(seconds(1)) + seconds(1) == instant(seconds(2))));
}

// Guards against runs that cannot be reproduced from their seed.
BOOST_AUTO_TEST_CASE(random_source_repeats_from_its_seed)
{
    random_source first(7);
    random_source second(7);
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(first.next() == second.next());
    BOOST_TEST(random_source(1).below(0) == 0U);
}

// Guards against a wrong digest, with the test vectors of FIPS 180-4 and RFC 4231 (test case 2).
BOOST_AUTO_TEST_CASE(digests_match_published_vectors)
{
    BOOST_TEST(sha256Hex("abc")
               == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    BOOST_TEST(toHex(hmacSha256("Jefe", "what do ya want for nothing?"))
               == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    BOOST_TEST(!equalConstantTime("a", "ab"));
}

// Guards against two TYPE lines for one metric, which scrapers reject.
BOOST_AUTO_TEST_CASE(writes_one_type_line_per_metric)
{
    counter_set counters;
    counters.add("refused_total{reason=\"a\"}");
    counters.add("refused_total{reason=\"b\"}", 2);
    counters.set("calls_in_progress", 3);
    BOOST_TEST(counters.toPrometheus()
               == "# TYPE almondnotch_refused_total counter\n"
                  "almondnotch_refused_total{reason=\"a\"} 1\n"
                  "almondnotch_refused_total{reason=\"b\"} 2\n"
                  "# TYPE almondnotch_calls_in_progress gauge\n"
                  "almondnotch_calls_in_progress 3\n");
}

// Guards against a violated invariant that goes unnoticed.
BOOST_AUTO_TEST_CASE(invariant_failures_reach_the_handler_and_the_dump)
{
    invariant_set invariants;
    invariants.setFailureHandler([](std::string_view name, const std::string &detail) {
        throw std::runtime_error(std::string(name) + ": " + detail);
    });
    BOOST_TEST(invariants.check("bounded", true));
    BOOST_CHECK_THROW(invariants.check("bounded", false, "11 of 10"), std::runtime_error);
    BOOST_TEST(invariants.dump()["bounded"]["failures"] == 1);
    BOOST_TEST(invariants.dump()["bounded"]["checks"] == 2);
}

} // namespace almondnotch
