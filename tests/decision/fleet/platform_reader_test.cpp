#include <boost/test/unit_test.hpp>

#include "decision/fleet/platform_reader.h"
#include "decision/fleet/vm_list.h"

namespace almondnotch {

namespace {

struct reader_fixture
{
    /// Runs the reader for `length`; every read returns `value` immediately. \return the number of
    /// reads.
    unsigned run(duration length, const result<platform_value> &value)
    {
        unsigned readCount = 0;
        const instant end = now + length;
        while (true) {
            action_list actions;
            reader.issueDueReads(now, actions);
            for (const action &each : actions) {
                ++readCount;
                lastRead = std::get<read_platform_value>(each);
                reader.readFinished(now, {lastRead.read, value});
            }
            const instant wake = std::max(reader.nextWake(now), now + duration(1));
            if (wake >= end)
                break;
            now = wake;
        }
        now = end;
        return readCount;
    }

    random_source random {1};
    invariant_set invariants;
    counter_set counters;
    platform_reader reader {seconds(10), 20, random, invariants, counters};
    instant now {seconds(1)};
    read_platform_value lastRead;
    const result<platform_value> failure
        = fail(error_code::unavailable, "read", "platform", "down");
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_reader_suite, reader_fixture)

// Guards against reads beyond the rate limit of this process, even if many parts are wanted.
BOOST_AUTO_TEST_CASE(reads_stay_within_the_rate)
{
    std::set<std::string> hashes;
    for (int i = 0; i < 500; ++i)
        hashes.insert(std::to_string(i));
    reader.setWantedParts(hashes);
    for (int second = 0; second < 10; ++second)
        BOOST_TEST(run(seconds(1), platform_value {1, true, "x"}) <= 20U);
    reader.setRate(now, 0.5);
    run(seconds(1), platform_value {1, true, "x"});
    BOOST_TEST(run(seconds(20), platform_value {1, true, "x"}) <= 10U);
    BOOST_TEST(invariants.failures() == 0U);
    BOOST_TEST(invariants.checks() > 100U);
}

// Guards against a busy loop of failed reads, and against a backoff of more than 2 s.
BOOST_AUTO_TEST_CASE(failed_reads_back_off)
{
    reader.setWatching(true);
    run(seconds(20), failure);
    const unsigned readCount = run(seconds(20), failure);
    BOOST_TEST(readCount >= 20U);
    BOOST_TEST(readCount <= 44U);
}

// Guards against a watch that never returns after the platform was rolled back, because it waits
// for a version above the last known one.
BOOST_AUTO_TEST_CASE(value_is_read_again_after_an_unchanged_watch)
{
    reader.setWatching(true);
    action_list actions;
    reader.issueDueReads(now, actions);
    const read_id first = std::get<read_platform_value>(actions.front()).read;
    BOOST_TEST(reader.readFinished(now, {first, platform_value {9, true, "m"}}).has_value());
    BOOST_TEST(!reader.readFinished(now, {first, platform_value {9, true, "m"}}).has_value());
    actions.clear();
    reader.issueDueReads(now, actions);
    const read_platform_value watch = std::get<read_platform_value>(actions.front());
    BOOST_TEST(watch.afterVersion == 9U);
    now = now + seconds(10);
    reader.readFinished(now, {watch.read, platform_value {}});
    actions.clear();
    reader.issueDueReads(now, actions);
    BOOST_TEST(std::get<read_platform_value>(actions.front()).afterVersion == 0U);
}

// Guards against accepting malformed VM lists, and against replacing a VM list with an older one.
BOOST_AUTO_TEST_CASE(vm_list_is_validated_and_its_version_never_decreases)
{
    for (const char *text :
         {"", "[]", R"({"version":-1,"vms":[]})", R"({"version":1})",
          R"({"version":1,"vms":[{"name":"","state":"live"}]})",
          R"({"version":1,"vms":[{"name":"a","state":"gone"}]})",
          R"({"version":1,"vms":[{"name":"a","state":"live","leave_at_unix_ms":"x"}]})"})
        BOOST_TEST(!published_vm_list::parse(text).has_value());
    leaving_vms list(counters);
    BOOST_TEST(list.applyPublished({7, {{"a", true, 5}, {"b", false, 0}}}));
    BOOST_TEST(!list.applyPublished({6, {}}));
    BOOST_TEST(list.leaving().size() == 1U);
    // Two parts of a newer list: their VMs count as leaving immediately, and those of the older
    // list are dropped as soon as all leaving VMs of the newer list are known.
    BOOST_TEST(list.applyPartial(8, 2, {{"c", true, 0}}));
    BOOST_TEST(list.find("a") != nullptr);
    BOOST_TEST(list.find("c") != nullptr);
    BOOST_TEST(list.applyPartial(8, 2, {{"d", true, 0}}));
    BOOST_TEST(list.find("a") == nullptr);
    BOOST_TEST(list.version() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
