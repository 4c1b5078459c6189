#include <boost/test/unit_test.hpp>

#include "decision/claims/key_range.h"

namespace almondnotch {

// Guards against a key range that names another owner or range after formatting and parsing.
BOOST_AUTO_TEST_CASE(range_is_unchanged_after_formatting_and_parsing)
{
    const key_range range {{"vm.with.dots", 42}, milliseconds(1500), 18446744073709551615ULL};
    const result<operation_key> key
        = parseOperationKey(formatKeyRange(range, "new") + "/4294967295", {"other", "new"});
    BOOST_REQUIRE(key.has_value());
    BOOST_TEST((key->range == range));
    BOOST_TEST(key->number == 4294967295U);
}

// Guards against a caller that forges a key range or changes one of its fields.
BOOST_AUTO_TEST_CASE(rejects_a_range_without_a_valid_mac)
{
    std::string text = formatKeyRange({{"vm-a", 1}, milliseconds(5), 3}, "secret") + "/1";
    BOOST_REQUIRE(parseOperationKey(text, {"secret"}).has_value());
    text[3] = 'b';
    const result<operation_key> forged = parseOperationKey(text, {"secret"});
    BOOST_REQUIRE(!forged);
    BOOST_TEST((forged.error().code == error_code::authentication_failed));
}

// Guards against accepting two spellings of one key, which would count as two operations.
BOOST_AUTO_TEST_CASE(rejects_keys_that_are_not_canonical)
{
    const std::string range = formatKeyRange({{"vm-a", 1}, milliseconds(5), 3}, "secret");
    for (const char *number : {"", "01", "+1", " 1", "1 ", "4294967296", "-1", "0x1", "1/1"})
        BOOST_TEST(!parseOperationKey(range + "/" + number, {"secret"}).has_value(), number);
    for (const char *text : {"", "/", "abc", "a.b.c.d.e/1", ".1.2.3.mac/1"})
        BOOST_TEST(!parseOperationKey(text, {"secret"}).has_value(), text);
    BOOST_TEST(!parseOperationKey(std::string(300, 'a') + "/1", {"secret"}).has_value());
}

} // namespace almondnotch
