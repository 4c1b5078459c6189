#include "tests/decision/fleet/sample_config.h"

#include "core/digest.h"

namespace almondnotch {

namespace {

std::string ipOf(unsigned index)
{
    return "10.0." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1);
}

std::uint64_t bytesOf(const member_update &update)
{
    return 24 + update.process.vm.size() + update.failureDomain.size() + update.entryAddress.size()
           + update.peerAddress.size();
}

} // namespace

std::string vmName(unsigned index)
{
    return "entry-" + std::to_string(1000 + index);
}

std::string failureDomainName(unsigned index)
{
    return "domain-" + std::to_string(index % sampleFailureDomainCount);
}

std::string entryAddressOf(unsigned index)
{
    return ipOf(index) + ":8080";
}

std::string peerAddressOf(unsigned index)
{
    return ipOf(index) + ":7100";
}

unsigned indexOfPeerAddress(const std::string &address)
{
    const std::size_t last = address.rfind('.');
    const std::size_t third = address.rfind('.', last - 1);
    return static_cast<unsigned>(std::stoul(address.substr(third + 1)) * 200
                                 + std::stoul(address.substr(last + 1)) - 1);
}

sample_config_set makeSampleConfigSet(std::uint64_t version, const std::vector<config_text> &texts)
{
    sample_config_set set;
    set.parsedManifest.version = version;
    for (const config_text &text : texts) {
        const std::string hash = sha256Hex(text.text);
        set.parsedManifest.parts.push_back({text.name, hash, text.text.size()});
        set.parts[hash] = text.text;
    }
    set.manifest = formatManifest(set.parsedManifest);
    return set;
}

sample_config_set sampleConfigSet(std::uint64_t version, unsigned gateways)
{
    std::string fleetText
        = "[limits]\nmax_gateways = " + std::to_string(gateways + gateways / 8 + 2)
          + "\nentry_keep_ms = 10000\n";
    for (unsigned i = 0; i < sampleFailureDomainCount; ++i)
        fleetText += "[[failure_domain]]\nname = \"" + failureDomainName(i)
                     + "\"\nregion = \"r\"\none_way_ms = 1.0\n";
    for (unsigned i = 0; i < gateways; ++i)
        fleetText += "[[entry_vm]]\nname = \"" + vmName(i) + "\"\nfailure_domain = \""
                     + failureDomainName(i) + "\"\nentry_address = \"" + entryAddressOf(i)
                     + "\"\npeer_address = \"" + peerAddressOf(i) + "\"\n";
    const std::string services
        = "[[class]]\nname = \"c\"\nrank = 0\n"
          "[[budget]]\nname = \"b\"\nprobes_per_second = 4.0\n"
          "bytes_per_second = 2000\n"
          "[[group]]\nname = \"g\"\nbudget = \"b\"\nslots = 4\n"
          "connections = 1000\n"
          "[[service]]\nname = \"catalogue\"\ngroup = \"g\"\nclass = \"c\"\n"
          "timeout_ms = "
          + std::to_string(1000 + version)
          + "\n[[worker]]\nname = \"w\"\ngroup = \"g\"\nfailure_domain = \"domain-0\"\n"
            "vm = \"host\"\naddress = \"10.9.0.1:80\"\n"
            "[[rule]]\nname = \"r\"\npath_prefix = \"/\"\nservice = \"catalogue\"\n";
    return makeSampleConfigSet(version, {{"fleet.toml", fleetText}, {"services.toml", services}});
}

std::uint64_t messageBytes(const peer_message &message)
{
    // Envelope with protocol number, sender, key ID and a MAC of 32 bytes; HTTP/2 headers and
    // frames.
    std::uint64_t bytes = 120;
    if (const fleet_digest *digest = std::get_if<fleet_digest>(&message)) {
        bytes += bytesOf(digest->self) + 64 + 40;
        for (const member_update &update : digest->members)
            bytes += bytesOf(update);
        for (const listed_vm &vm : digest->leavingVms)
            bytes += vm.name.size() + 10;
        for (const process_id &process : digest->unresponsivePeers)
            bytes += process.vm.size() + 12;
        bytes += 24 * (digest->drains.size() + digest->crashes.size())
                 + 48 * digest->handovers.size();
    } else if (const config_request *request = std::get_if<config_request>(&message)) {
        bytes += 70 + 66 * request->partSha256.size();
    } else if (const config_data *data = std::get_if<config_data>(&message)) {
        bytes += 70 + data->text.size();
    }
    return bytes;
}

} // namespace almondnotch
