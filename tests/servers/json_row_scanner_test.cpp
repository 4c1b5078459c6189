#include "servers/platform_client/json_row_scanner.h"

#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace almondnotch {

namespace {

/// Result of scanning a document.
struct scanned
{
    std::vector<json_row> rows;
    json_row document;
    bool isComplete = false;

    bool operator==(const scanned &) const = default;
};

/// Scans a document that arrives in parts of this size.
scanned scan(const std::string &text, std::size_t partBytes)
{
    scanned out;
    json_row_limits limits;
    limits.listName = "items";
    limits.longMember = "value";
    limits.longTextBytesMax = 100;
    limits.textBytesMax = 20;
    json_row_scanner scanner(limits, [&out](const json_row &row) { out.rows.push_back(row); });
    for (std::size_t at = 0; at < text.size(); at += partBytes)
        scanner.add(std::string_view(text).substr(at, partBytes));
    out.document = scanner.document();
    out.isComplete = scanner.isComplete();
    return out;
}

scanned scan(const std::string &text)
{
    return scan(text, text.size());
}

} // namespace

// Guards against a result that depends on how the document was divided on its way.
BOOST_AUTO_TEST_CASE(documentsAreScannedInAnyParts)
{
    const std::string text = R"( {"first" : [{"a":1}] , "items":[ {"key":"a\"}]","value":"eA==",)"
                             R"("n":-1.5e3 ,"deep":{"x":["]"]}},7,[1,{"y":2}],"x",null,{}, {"key":)"
                             R"("b"}],"currentRev":12, "hasMore":true} )";
    const scanned whole = scan(text);
    BOOST_TEST(whole.isComplete);
    BOOST_REQUIRE_EQUAL(whole.rows.size(), 7U);
    BOOST_TEST(whole.rows[0].find("key")->text == R"("a\"}]")");
    BOOST_TEST(whole.rows[0].find("n")->text == "-1.5e3");
    BOOST_TEST(whole.rows[0].find("deep")->text == R"({"x":["]"]})");
    for (const std::size_t row : {1U, 2U, 3U, 4U})
        BOOST_TEST(whole.rows[row].isMalformed);
    BOOST_TEST(!whole.rows[5].isMalformed);
    BOOST_TEST(whole.rows[6].find("key")->text == R"("b")");
    BOOST_TEST(whole.document.find("currentRev")->text == "12");
    BOOST_TEST(whole.document.find("hasMore")->text == "true");
    for (std::size_t size = 1; size < text.size(); ++size)
        BOOST_TEST((scan(text, size) == whole));
}

// Guards against a long member that hides the others, or that is held although it exceeds its
// bound.
BOOST_AUTO_TEST_CASE(longMembersCostOnlyThemselves)
{
    const std::string longest = '"' + std::string(98, 'x') + '"';
    const std::string tooLong = '"' + std::string(99, 'x') + '"';
    const scanned out
        = scan(R"({"items":[{"value":)" + longest + R"(,"key":1},{"value":)" + tooLong
               + R"(,"key":2,"other":)" + longest + R"(,")" + tooLong + R"(":3},{"key":4}]})");
    BOOST_TEST(out.isComplete);
    BOOST_REQUIRE_EQUAL(out.rows.size(), 3U);
    BOOST_TEST(out.rows[0].find("value")->text == longest);
    BOOST_TEST(!out.rows[0].find("value")->isTooLong);
    BOOST_TEST(out.rows[1].find("value")->isTooLong);
    BOOST_TEST(out.rows[1].find("value")->text.empty());
    BOOST_TEST(out.rows[1].find("other")->isTooLong);
    BOOST_TEST(out.rows[1].find("key")->text == "2");
    BOOST_TEST(out.rows[2].find("key")->text == "4");
}

// Guards against a malformed row that hides the others.
BOOST_AUTO_TEST_CASE(malformedRowsCostOnlyThemselves)
{
    for (const char *row : {R"({"key" 1})", R"({"key":1 2})", "{7:1}", R"({"key":1;"x":"}"})",
                            "{[]}", R"({"key":})", "tru", R"({,})"}) {
        const scanned out = scan(std::string(R"({"items":[{"key":1},)") + row + R"(,{"key":3}]})");
        BOOST_TEST_CONTEXT(row)
        {
            BOOST_TEST(out.isComplete);
            BOOST_REQUIRE_EQUAL(out.rows.size(), 3U);
            BOOST_TEST(out.rows[2].find("key")->text == "3");
        }
    }
}

// Guards against taking a truncated or malformed document for a complete one.
BOOST_AUTO_TEST_CASE(otherDocumentsAreNotComplete)
{
    const std::string text = R"({"items":[{"key":"a"}],"currentRev":1})";
    for (std::size_t size = 0; size < text.size(); ++size)
        BOOST_TEST(!scan(text.substr(0, size), 1'000).isComplete);
    for (const char *other : {"[]", "{}", "7", R"({"items":{}})", R"({"items":[]}x)",
                              R"({"items":[1 2]})", R"({"items":[}]})", R"({"items":[]]})"})
        BOOST_TEST(!scan(other).isComplete);
    BOOST_TEST(scan(R"({"items":[]})").isComplete);
}

} // namespace almondnotch
