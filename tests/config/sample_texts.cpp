#include "tests/config/sample_texts.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace almondnotch {

std::string validText()
{
    return R"([limits]
max_gateways = 4

[[failure_domain]]
name = "east"
region = "home"
one_way_ms = 1.5

[[entry_vm]]
name = "entry-1"
failure_domain = "east"
entry_address = "192.0.2.1:80"
peer_address = "192.0.2.1:7100"

[[budget]]
name = "modest"
probes_per_second = 2.0
bytes_per_second = 600

[[class]]
name = "normal"
rank = 1

[[group]]
name = "till"
budget = "modest"
slots = 4
connections = 100

[[worker]]
name = "till-1"
group = "till"
failure_domain = "east"
vm = "host-1"
address = "192.0.2.50:8000"

[[service]]
name = "sales"
group = "till"
class = "normal"

[[rule]]
name = "sales-read"
path_prefix = "/sales"
methods = ["GET"]
service = "sales"
idempotent = true
)";
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    if (at == std::string::npos)
        throw std::logic_error("the sample text does not contain " + from);
    return text.replace(at, from.size(), to);
}

std::vector<std::string> faultsOf(const std::string &text)
{
    std::vector<std::string> lines;
    const tl::expected<config_objects, std::vector<config_fault>> parsed
        = parseConfig({{"set.toml", text}});
    if (parsed)
        return lines;
    for (const config_fault &fault : parsed.error())
        lines.push_back(toString(fault));
    return lines;
}

std::vector<config_text> sampleSet(const std::string &sample)
{
    std::vector<config_text> texts;
    for (const std::string name : {"fleet.toml", "routing.toml", "services.toml", "workers.toml"}) {
        std::ifstream in(std::filesystem::path(ALMONDNOTCH_SAMPLES) / sample / "config" / name);
        std::ostringstream text;
        text << in.rdbuf();
        texts.push_back({name, text.str()});
    }
    return texts;
}

} // namespace almondnotch
