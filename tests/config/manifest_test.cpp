#include <boost/test/unit_test.hpp>

#include "config/parser.h"
#include "core/digest.h"

namespace almondnotch {

// Guards against a manifest that gateways parse differently from what was published.
BOOST_AUTO_TEST_CASE(manifest_round_trip)
{
    const config_manifest manifest {
        42, {{"fleet.toml", sha256Hex("a"), 1}, {"workers-2.toml", sha256Hex("b"), 1000000}}};
    const result<config_manifest> parsed = parseManifest(formatManifest(manifest));
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((*parsed == manifest));
}

// Guards against a manifest of the largest set that exceeds the maximum size of a platform value.
BOOST_AUTO_TEST_CASE(largest_manifest_fits_one_value)
{
    config_manifest manifest {std::uint64_t(1) << 62U, {}};
    for (std::size_t part = 0; part < configPartsMax; ++part) {
        std::string name = std::to_string(part);
        name.append(100 - name.size(), 'x');
        manifest.parts.push_back({name, sha256Hex(name), configValueBytesMax});
    }
    const std::string text = formatManifest(manifest);
    BOOST_TEST(text.size() <= configValueBytesMax);
    BOOST_TEST(parseManifest(text).has_value());
}

// Guards against malformed manifests that are accepted, or rejected without the line of the fault.
BOOST_AUTO_TEST_CASE(refuses_malformed_manifests_with_the_line)
{
    const std::string hash = "sha256 = \"" + sha256Hex("a") + "\"\n";
    const std::vector<std::string> texts {
        "",
        "version = 1\n",
        "version = 0\n[[part]]\nname = \"a\"\n" + hash + "bytes = 1\n",
        "version = \"1\"\n[[part]]\nname = \"a\"\n" + hash + "bytes = 1\n",
        "version = 1\n[[part]]\nname = \"../a\"\n" + hash + "bytes = 1\n",
        "version = 1\n[[part]]\nname = \"a\"\nsha256 = \"abc\"\nbytes = 1\n",
        "version = 1\n[[part]]\nname = \"a\"\n" + hash + "bytes = 1000001\n",
        "version = 1\n[[part]]\nname = \"a\"\n" + hash + "bytes = -1\n",
        "version = 1\n[[part]]\nname = \"a\"\n" + hash,
        "version = 1\n[[part]]\nname = \"a\"\n" + hash + "bytes = 1\nsize = 1\n",
        "version = 1\n[[part]]\nname = \"a\"\n" + hash + "bytes = 1\n[[part]]\nname = \"a\"\n"
            + hash + "bytes = 1\n",
        "version = 1\npart = []\n",
        "version = 1\npart = [1]\n",
        "version = \n",
    };
    for (const std::string &text : texts) {
        const result<config_manifest> parsed = parseManifest(text);
        BOOST_TEST_CONTEXT(text)
        {
            BOOST_REQUIRE(!parsed.has_value());
            BOOST_TEST(parsed.error().message.find("line ") == 0U);
        }
    }
    BOOST_TEST(!parseManifest(std::string(configValueBytesMax + 1, '#')).has_value());
}

} // namespace almondnotch
