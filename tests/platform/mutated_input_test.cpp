#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/random_source.h"
#include "platform/callers.h"
#include "platform/item_decoder.h"
#include "platform/store.h"
#include "platform/workers.h"
#include "servers/http_entry/request_parser.h"
#include "servers/peer_link/message_codec.h"
#include "tests/platform/page_decoding.h"

using namespace almondnotch;

namespace {

/// Number of mutated inputs for each valid one, unless ALMONDNOTCH_MUTATIONS names another number.
constexpr unsigned mutationCountDefault = 4000;

/// Fragments that a mutation may insert.
const std::vector<std::string> fragments {"\"",
                                          "{",
                                          "}",
                                          "[",
                                          "]",
                                          ":",
                                          ",",
                                          "null",
                                          "-1",
                                          "1e999",
                                          "18446744073709551616",
                                          "0.5",
                                          "\\ud800",
                                          std::string(1, '\0'),
                                          "\xff",
                                          "\r\n",
                                          "\n",
                                          " ",
                                          "Content-Length: 5\r\n",
                                          "Content-Length: -1\r\n",
                                          "Transfer-Encoding: chunked\r\n",
                                          "Server-Leaving: 1\r\n",
                                          "Server-Limit: 1\r\n",
                                          "Retry-After: 1\r\n",
                                          "X-Almondnotch-Not-Executed: 1\r\n",
                                          std::string(200, '[')};

/// Returns the text with up to four random changes.
std::string mutated(std::string text, random_source &random)
{
    const std::uint64_t changes = 1 + random.below(4);
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random.below(text.size());
        const std::size_t length = 1 + random.below(std::min<std::size_t>(16, text.size() - at));
        switch (random.below(5)) {
        case 0:
            text[at] = static_cast<char>(random.below(256));
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        case 3:
            text.insert(at, fragments[random.below(fragments.size())]);
            break;
        default:
            text.resize(at);
            break;
        }
    }
    return text;
}

/// Passes mutations of the input to a decoder, which reports violations with BOOST_TEST.
void decodeMutations(const std::string &valid,
                     const std::function<void(const std::string &)> &decode)
{
    const char *const requested = std::getenv("ALMONDNOTCH_MUTATIONS");
    const unsigned long count
        = requested == nullptr ? mutationCountDefault : std::strtoul(requested, nullptr, 10);
    random_source random(1);
    decode(valid);
    for (unsigned long i = 0; i < count; ++i)
        decode(mutated(valid, random));
}

start_attempt attempt()
{
    std::shared_ptr<call_request> request = std::make_shared<call_request>();
    request->requestId = "id-1";
    start_attempt command;
    command.request = std::move(request);
    command.workerName = "i-1";
    return command;
}

/// Reads a response as the transport does. \return false if the transport would abort it.
bool readResponse(const std::string &text, response_reader &reader)
{
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t end = text.find("\r\n", at);
        const std::size_t next = end == std::string::npos ? text.size() : end + 2;
        if (!reader.addHeaderLine(std::string_view(text).substr(at, next - at)))
            return false;
        const bool isBlank = end == at;
        at = next;
        if (isBlank)
            break;
    }
    return reader.addBody(std::string_view(text).substr(at)) && reader.validate();
}

void checkSignals(const worker_signals &signals)
{
    BOOST_TEST((signals.pause >= duration {0} && signals.pause <= seconds(86'400)));
    BOOST_TEST((!signals.requestRateMax || *signals.requestRateMax >= 0));
}

void decodeWorkerResponse(const std::string &text)
{
    response_reader reader(100'000, false);
    reader.allowCloseDelimited();
    if (!readResponse(text, reader))
        return;
    attempt_finished outcome;
    outcome.end = attempt_end::answered;
    platform::workerProtocol().parseResponse(reader, attempt(), outcome);
    checkSignals(outcome.signals);
    BOOST_TEST((outcome.end != attempt_end::answered || outcome.response != nullptr));
    BOOST_TEST(
        (outcome.response == nullptr || !outcome.wrongInstance || outcome.rejectedBeforeRun));
}

void decodeProbeResponse(const std::string &text)
{
    response_reader reader(100'000, false);
    if (!readResponse(text, reader))
        return;
    start_probe command;
    command.workerName = "i-1";
    probe_finished outcome;
    platform::workerProtocol().parseProbeResponse(reader, command, outcome);
    checkSignals(outcome.signals);
}

void decodeStorePage(const std::string &body)
{
    response_reader reader(1'000'000, false);
    if (!readResponse("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                          + "\r\n\r\n" + body,
                      reader))
        return;
    read_items command;
    command.scope = item_scope::workers;
    const result<item_page> page = decodePage(command, reader);
    BOOST_TEST((!page || page->items.size() < 10));
}

constexpr std::size_t requestHeadBytesMax = 2000;
constexpr std::uint64_t requestFramingBytesMax = 3000;

/// Parses the requests of a connection as the entry does.
/// \param random divides the bytes into parts as they may arrive; null for all at once.
/// \return the targets and bodies, one after the other.
std::string parseRequests(const std::string &bytes, random_source *random)
{
    std::string parsed;
    std::unique_ptr<request_parser> parser;
    std::string unread;
    std::size_t at = 0;
    while (at < bytes.size()) {
        const std::size_t left = bytes.size() - at;
        const std::size_t part = random == nullptr ? left : 1 + random->below(left);
        unread.append(bytes, at, part);
        at += part;
        std::string_view input = unread;
        parse_step step = parse_step::complete;
        while (step != parse_step::need_more && (parser || !input.empty())) {
            if (!parser)
                parser
                    = std::make_unique<request_parser>(requestHeadBytesMax, requestFramingBytesMax);
            step = parser->next(input);
            if (step == parse_step::failed) {
                BOOST_TEST((parser->fault().status >= 400 && parser->fault().status < 600));
                return parsed;
            }
            if (step == parse_step::head)
                parsed += parser->head().target + "\n";
            if (step == parse_step::body)
                parsed += parser->bodyPart();
            if (step == parse_step::complete)
                parser.reset();
        }
        unread = std::string(input);
        BOOST_TEST(unread.size() <= requestHeadBytesMax);
    }
    return parsed;
}

void decodeRequests(const std::string &bytes)
{
    // The requests do not depend on how the bytes arrive.
    random_source random(bytes.size());
    BOOST_TEST((parseRequests(bytes, nullptr) == parseRequests(bytes, &random)));
}

void decodeEnvelope(const std::string &bytes)
{
    peer::v1::Envelope envelope;
    if (!envelope.ParseFromString(bytes))
        return;
    const result<peer_message> message = decodeMessage(envelope);
    if (!message)
        return;
    peer::v1::Envelope again;
    encodeMessage(*message, again);
}

std::string serialized(const peer_message &message)
{
    peer::v1::Envelope envelope;
    encodeMessage(message, envelope);
    return envelope.SerializeAsString();
}

published_item workerItem()
{
    published_worker entry;
    entry.name = "i-1";
    entry.address = "10.0.0.1:80";
    entry.service = "s1";
    published_item item;
    item.name = entry.name;
    item.revision = 4;
    item.worker = entry;
    return item;
}

published_item configItem()
{
    host_route route;
    route.name = "r";
    route.host = "a.example";
    route.prefix = "/";
    route.targets = {{"s1", 1}};
    route_config config;
    config.version = 3;
    config.routes = {route};
    config.services = {{"s1", {"/health", 10}}};
    published_item item;
    item.name = "configuration";
    item.revision = 5;
    item.config = std::make_shared<const route_config>(config);
    return item;
}

} // namespace

// All cases guard against input that ends the process, by a crash or an exception, or that is
// decoded into values outside of their range.
BOOST_AUTO_TEST_SUITE(mutated_input_suite)

BOOST_AUTO_TEST_CASE(workerEntries)
{
    decodeMutations(R"({"address":"10.128.0.9:8080","born":1700000000123,"info":{"service":"s1",)"
                    R"("version":"v1","zone":"a","slots":6},"status":{"state":"ready","seq":4,)"
                    R"("warmupLeft":"1500ms"}})",
                    [](const std::string &text) {
                        published_item item;
                        item.name = "i-1";
                        platform::decodeWorker(text, item);
                        BOOST_TEST(item.worker.has_value() == item.fault.empty());
                        BOOST_TEST((!item.worker || item.worker->warmUpLeft >= duration {0}));
                    });
}

BOOST_AUTO_TEST_CASE(configurations)
{
    decodeMutations(
        R"({"version":"0000000c","routes":{"r1":{"host":"a.example","prefix":"/p/","kind":"safe",)"
        R"("timeout":"800ms","targetLatency":"0.3s","priority":1,"service":"s1","maxAttempts":2},)"
        R"("r2":{"host":"b.example","prefix":"/q/","kind":"unsafe","timeout":"1s","priority":0,)"
        R"("backends":[{"service":"s1","weight":90}],"maxAttempts":3}},)"
        R"("services":{"s1":{"healthPath":"/health","maxConns":220}},)"
        R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeout":"3000ms",)"
        R"("idleTimeout":"15000ms"}})",
        [](const std::string &text) {
            published_item item;
            platform::decodeConfiguration(text, item);
            BOOST_TEST((item.config != nullptr) == item.fault.empty());
            if (item.config == nullptr)
                return;
            for (const host_route &route : item.config->routes) {
                BOOST_TEST(!route.targets.empty());
                BOOST_TEST((route.timeout >= duration {0}));
            }
        });
}

BOOST_AUTO_TEST_CASE(storePages)
{
    decodeMutations(R"({"items":[{"key":"servers/i-1","value":"e30=","revision":4,"created":1,)"
                    R"("lease":0}],"events":[{"key":"servers/i-2","revision":5,"removed":true}],)"
                    R"("hasMore":false,"currentRev":7})",
                    decodeStorePage);
}

BOOST_AUTO_TEST_CASE(workerResponses)
{
    const std::string head = "HTTP/1.1 503 Busy\r\nX-Almondnotch-Attempt-Id: id-1\r\n"
                             "X-Almondnotch-Server-Seal: s\r\n"
                             "X-Almondnotch-Server-Load: 1,0,4,100\r\n"
                             "X-Almondnotch-Instance-Id: i-1\r\nServer-Limit: 2.5\r\n"
                             "Server-Leaving: 1\r\nRetry-After: 1.5\r\nContent-Length: 4\r\n"
                             "\r\nbody";
    decodeMutations(head, decodeWorkerResponse);
    decodeMutations(head, decodeProbeResponse);
}

BOOST_AUTO_TEST_CASE(callerRequests)
{
    decodeMutations("GET\n/a/b?c=d%20\nShop.Example:80\n9c41d07be2a35f68\n1200\nclose, x-a\nv",
                    [](const std::string &text) {
                        std::vector<std::string> parts;
                        std::size_t at = 0;
                        while (at <= text.size()) {
                            const std::size_t end = std::min(text.find('\n', at), text.size());
                            parts.push_back(text.substr(at, end - at));
                            at = end + 1;
                        }
                        parts.resize(std::max<std::size_t>(parts.size(), 7));
                        request_head head;
                        head.method = parts[0];
                        head.target = parts[1];
                        head.version = "HTTP/1.1";
                        head.fields = {{"Host", parts[2]},
                                       {"X-Almondnotch-Attempt-Id", parts[3]},
                                       {"X-Almondnotch-Deadline-Remaining", parts[4]},
                                       {"Connection", parts[5]},
                                       {"X-A", parts[6]}};
                        const tl::expected<call_request, request_rejection> parsed
                            = platform::callerProtocol().parseHead(head, "generated");
                        if (parsed && parsed->timeout)
                            BOOST_TEST((*parsed->timeout >= duration {0}));
                    });
}

BOOST_AUTO_TEST_CASE(pipelinedRequests)
{
    decodeMutations("GET /a HTTP/1.1\r\nHost: a\r\nX-A: b\r\n c\r\n\r\n"
                    "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
                    "PUT /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "4;e=\"f\"\r\nwxyz\r\nA\r\n0123456789\r\n0\r\nX-T: t\r\n\r\n"
                    "HEAD /d HTTP/1.0\r\nConnection: close, x-a\r\n\r\n",
                    decodeRequests);
}

BOOST_AUTO_TEST_CASE(peerMessages)
{
    fleet_digest digest;
    digest.self.process = {"vm-1", 7};
    digest.members = {digest.self};
    digest.drains = {{"i-1", milliseconds(5)}};
    decodeMutations(serialized(digest), decodeEnvelope);
    decodeMutations(serialized(reader_report {true, 3, 4}), decodeEnvelope);
    decodeMutations(serialized(items_update {item_scope::workers, 1, 5, {workerItem()}}),
                    decodeEnvelope);
    decodeMutations(serialized(items_update {item_scope::configuration, 1, 5, {configItem()}}),
                    decodeEnvelope);
}

BOOST_AUTO_TEST_SUITE_END()
