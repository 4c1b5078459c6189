#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "platform/item_decoder.h"
#include "tests/platform/page_decoding.h"

namespace almondnotch {

namespace {

/// Maximum size of a value that the platform's store takes, in bytes.
constexpr std::size_t storeValueBytesMax = 1'048'576;
/// Bytes of a body that arrive at a time.
constexpr std::size_t partBytes = 16'384;

std::string base64(const std::string &bytes)
{
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                    reinterpret_cast<const unsigned char *>(bytes.data()),
                    static_cast<int>(bytes.size()));
    out.pop_back();
    return out;
}

std::string row(const std::string &key, const std::string &value, unsigned revision)
{
    return R"({"key":")" + key + R"(","value":")" + base64(value) + R"(","revision":)"
           + std::to_string(revision) + "}";
}

nlohmann::json workerEntry()
{
    return {{"address", "10.0.0.1:80"},
            {"born", 1},
            {"info", {{"service", "reads"}, {"version", "v1"}, {"zone", "a"}, {"slots", 4}}},
            {"status", {{"state", "ready"}, {"seq", 1}, {"warmupLeft", "0ms"}}}};
}

std::string body(const std::string &list, const std::vector<std::string> &rows)
{
    std::string out = "{\"" + list + "\":[";
    for (const std::string &text : rows)
        out += (out.back() == '[' ? "" : ",") + text;
    return out + R"(],"hasMore":true,"currentRev":99})";
}

read_items readOf(item_scope scope, std::uint64_t afterRevision)
{
    read_items command;
    command.scope = scope;
    command.afterRevision = afterRevision;
    return command;
}

/// Decodes a page whose body arrives in parts, as far as the decoder needs them.
result<item_page> decodeParts(const read_items &command, const std::string &text)
{
    const std::unique_ptr<item_page_decoder> decoder
        = platform::storeProtocol().makeDecoder(command);
    for (std::size_t at = 0; at < text.size(); at += partBytes)
        if (!decoder->add(std::string_view(text).substr(at, partBytes)))
            break;
    response_reader reader(0, false);
    BOOST_REQUIRE(reader.addHeaderLine("HTTP/1.1 200 OK\r\n"));
    return decoder->finish(reader);
}

published_item decodedWorker(const std::string &bytes)
{
    published_item item;
    item.name = "w";
    platform::decodeWorker(bytes, item);
    return item;
}

} // namespace

// Guards against a large or odd item that hides the others of its list, or ends the list early.
BOOST_AUTO_TEST_CASE(oddItemsOfAListCostOnlyThemselves)
{
    const std::string good = workerEntry().dump();
    const std::string large(storeValueBytesMax, '\xff');
    const std::string beyond(3 * storeValueBytesMax, 'x');
    const result<item_page> page = decodeParts(
        readOf(item_scope::workers, 0),
        body("items",
             {row("servers/a", good, 1), row("servers/b", large, 2), row("servers/c", beyond, 3),
              row("servers/d", good, 4), R"({"key":"servers/e","value":7})",
              R"({"key":"servers/f" "value":7})", R"({"key":"servers/g"})", "7", R"({"key":7})",
              R"({"value":"e30="})", row("other/h", good, 5), row("servers/i", good, 6),
              R"({"key":"\udcff","value":"e30="})"}));
    BOOST_REQUIRE(page.has_value());
    BOOST_REQUIRE_EQUAL(page->items.size(), 8U);
    for (const std::size_t usable : {0U, 3U, 7U}) {
        BOOST_TEST(page->items[usable].worker.has_value());
        BOOST_TEST(!page->items[usable].isUnusable());
    }
    for (const std::size_t unusable : {1U, 2U, 4U, 5U, 6U})
        BOOST_TEST(page->items[unusable].isUnusable());
    BOOST_TEST(page->items[2].revision == 3U);
    BOOST_TEST(page->ignoredCount == 5U);
    BOOST_TEST(page->lastKey == "servers/i");
    BOOST_TEST(page->hasMore);
    BOOST_TEST(page->revision == 99U);
}

// Guards against an entry that is not used although it can be read, because of its size.
BOOST_AUTO_TEST_CASE(readableEntryOfTheGreatestSizeIsUsed)
{
    nlohmann::json entry = workerEntry();
    entry["note"] = "";
    entry["note"] = std::string(storeValueBytesMax - entry.dump().size(), 'x');
    BOOST_REQUIRE_EQUAL(entry.dump().size(), storeValueBytesMax);
    const result<item_page> page = decodeParts(readOf(item_scope::workers, 7),
                                               body("events", {row("servers/a", entry.dump(), 8)}));
    BOOST_REQUIRE(page.has_value() && page->items.size() == 1);
    BOOST_TEST(page->items[0].worker.has_value());
    BOOST_TEST(!page->changesTooLarge);
}

// Guards against values that are not read because their encoder escapes characters of base64.
BOOST_AUTO_TEST_CASE(escapedValuesAreRead)
{
    std::string escaped;
    for (const char c : base64(workerEntry().dump()))
        escaped += c == '/' ? "\\/" : c == '=' ? "\\u003d" : std::string(1, c);
    const result<item_page> page = decodeParts(
        readOf(item_scope::workers, 0),
        body("items", {R"({"key":"servers/a","value":")" + escaped + R"(","revision":1})"}));
    BOOST_REQUIRE(page.has_value() && page->items.size() == 1);
    BOOST_TEST(page->items[0].worker.has_value());
}

// Guards against a watch that reads each of the many times that an item was written.
BOOST_AUTO_TEST_CASE(watchOfTooLargeChangesIsReplacedByAList)
{
    const std::string large(storeValueBytesMax, '\xff');
    const std::vector<std::string> rows {row("servers/a", large, 8), row("servers/a", large, 9)};
    const result<item_page> watched
        = decodeParts(readOf(item_scope::workers, 7), body("events", rows));
    BOOST_REQUIRE(watched.has_value());
    BOOST_TEST(watched->changesTooLarge);
    BOOST_TEST(watched->items.empty());
    const result<item_page> listed
        = decodeParts(readOf(item_scope::workers, 0), body("items", rows));
    BOOST_REQUIRE(listed.has_value());
    BOOST_TEST(listed->items.size() == 2U);
}

// Guards against the bytes of an entry in the reason why it cannot be used, which is logged and
// sent to other gateways as UTF-8 text.
BOOST_AUTO_TEST_CASE(faultsAreShortAndPrintable)
{
    nlohmann::json longAddress = workerEntry();
    longAddress["address"] = std::string(100'000, 'x');
    nlohmann::json longService = workerEntry();
    longService["info"]["service"] = std::string(100'000, 'x');
    for (const std::string &bytes :
         {std::string("\xff\x00", 2), "\"" + std::string(100'000, '\xc3'), std::string("{\"a\n\":"),
          longAddress.dump(), longService.dump(), std::string(100'000, '['), std::string()}) {
        const std::string fault = decodedWorker(bytes).fault;
        BOOST_TEST(!fault.empty());
        BOOST_TEST(fault.size() <= 200U);
        BOOST_TEST(
            std::all_of(fault.begin(), fault.end(), [](char c) { return c >= ' ' && c <= '~'; }));
    }
}

// Guards against a field that is not read because of others of the same name elsewhere in an entry,
// and against fields of other types.
BOOST_AUTO_TEST_CASE(fieldsOfAnEntryAreReadBesideOthers)
{
    nlohmann::json entry = workerEntry();
    entry["info"]["address"] = "x";
    entry["info"]["more"] = {{"service", "other"}, {"slots", "x"}};
    entry["list"] = {{{"address", 7}}, nullptr};
    entry["service"] = {1};
    const published_item item = decodedWorker(entry.dump());
    BOOST_REQUIRE(item.worker.has_value());
    BOOST_TEST(item.worker->service == "reads");
    BOOST_TEST(item.worker->address == "10.0.0.1:80");
    BOOST_TEST(item.worker->slots == 4U);
    for (const char *field : {"address", "info", "status"}) {
        for (const nlohmann::json &wrong :
             {nlohmann::json(7), nlohmann::json(nullptr), nlohmann::json::array({1})}) {
            nlohmann::json changed = entry;
            changed[field] = wrong;
            BOOST_TEST(decodedWorker(changed.dump()).isUnusable());
        }
    }
}

} // namespace almondnotch
