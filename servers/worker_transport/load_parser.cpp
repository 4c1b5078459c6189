#include "servers/worker_transport/load_parser.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace almondnotch {

namespace {

/// Consumes "name=" and a count at the start of the text.
std::optional<unsigned> consumeCount(std::string_view &text, std::string_view name)
{
    if (!text.starts_with(name))
        return std::nullopt;
    text.remove_prefix(name.size());
    unsigned value = 0;
    const std::from_chars_result parsed
        = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || value > loadCountMax)
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    return value;
}

std::optional<unsigned> countField(const nlohmann::json &document, const char *name)
{
    const auto found = document.find(name);
    if (found == document.end() || !found->is_number_unsigned())
        return std::nullopt;
    const std::uint64_t value = found->get<std::uint64_t>();
    if (value > loadCountMax)
        return std::nullopt;
    return static_cast<unsigned>(value);
}

} // namespace

std::optional<load_report> parseLoadHeader(std::string_view text)
{
    const std::optional<unsigned> running = consumeCount(text, "running=");
    const std::optional<unsigned> queued
        = running ? consumeCount(text, ";queued=") : std::optional<unsigned>();
    const std::optional<unsigned> slots
        = queued ? consumeCount(text, ";slots=") : std::optional<unsigned>();
    if (!slots || !text.empty())
        return std::nullopt;
    return load_report {*running, *queued, *slots, worker_state::ready};
}

std::optional<worker_state> parseWorkerState(std::string_view text)
{
    if (text == "ready")
        return worker_state::ready;
    if (text == "cold")
        return worker_state::cold;
    if (text == "draining")
        return worker_state::draining;
    return std::nullopt;
}

std::optional<load_report> parseLoadDocument(std::string_view text)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    const std::optional<unsigned> running = countField(document, "running");
    const std::optional<unsigned> queued = countField(document, "queued");
    const std::optional<unsigned> slots = countField(document, "slots");
    const auto stateField = document.find("state");
    if (!running || !queued || !slots || stateField == document.end() || !stateField->is_string())
        return std::nullopt;
    const std::optional<worker_state> state
        = parseWorkerState(stateField->get_ref<const std::string &>());
    if (!state)
        return std::nullopt;
    return load_report {*running, *queued, *slots, *state};
}

} // namespace almondnotch
