#include "servers/worker_transport/worker_response.h"

#include <algorithm>
#include <string_view>
#include <vector>

#include "servers/curl_loop/header_text.h"
#include "servers/worker_transport/load_parser.h"

namespace almondnotch {

namespace {

const char *const loadHeader = "Almondnotch-Load";
const char *const stateHeader = "Almondnotch-State";

/// True if the value of a `Connection` header, a comma-separated list, contains this header name.
bool listsConnectionOption(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t end = list.find(',');
        if (equalIgnoringCase(trimmed(list.substr(0, end)), name))
            return true;
        list = end == std::string_view::npos ? std::string_view() : list.substr(end + 1);
    }
    return false;
}

} // namespace

std::optional<load_report> readLoad(const response_reader &reader)
{
    const std::vector<std::string_view> loads = reader.headerValues(loadHeader);
    const std::vector<std::string_view> states = reader.headerValues(stateHeader);
    std::optional<load_report> report
        = loads.size() == 1 ? parseLoadHeader(loads.front()) : std::optional<load_report>();
    const std::optional<worker_state> state
        = states.size() == 1 ? parseWorkerState(states.front()) : std::optional<worker_state>();
    if (!report && state == worker_state::draining)
        report = load_report {};
    if (report && state)
        report->state = *state;
    return report;
}

bool isLoadMalformed(const response_reader &reader)
{
    const std::vector<std::string_view> loads = reader.headerValues(loadHeader);
    const std::vector<std::string_view> states = reader.headerValues(stateHeader);
    return (!loads.empty() && (loads.size() > 1 || !parseLoadHeader(loads.front())))
           || (!states.empty() && (states.size() > 1 || !parseWorkerState(states.front())));
}

bool isRejectedBeforeRun(const response_reader &reader)
{
    const std::vector<std::string_view> outcomes = reader.headerValues("Almondnotch-Outcome");
    return reader.status() == 503 && outcomes.size() == 1 && outcomes.front() == "not-run";
}

call_response takeCallResponse(response_reader &reader)
{
    call_response response;
    response.status = reader.status();
    response.outcome = isRejectedBeforeRun(reader) ? call_outcome::not_run : call_outcome::run;
    const std::vector<std::string_view> connection = reader.headerValues("Connection");
    const bool keepsContentLength = reader.isHeadRequest() || reader.status() == 304;
    for (const header_field &field : reader.headers()) {
        const bool isConnectionOption
            = std::any_of(connection.begin(), connection.end(), [&field](std::string_view list) {
                  return listsConnectionOption(list, field.name);
              });
        const bool isContentLength = equalIgnoringCase(field.name, "Content-Length");
        if (!isConnectionOption && !isHopByHop(field.name) && !isAlmondnotchHeader(field.name)
            && (!isContentLength || keepsContentLength))
            response.headers.push_back(field);
    }
    response.body = reader.takeBody();
    return response;
}

} // namespace almondnotch
