#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "servers/service_interfaces.h"

namespace almondnotch {

/// Records the actions that the service "decision" executes. A test may deliver events from within
/// `onAction`.
struct action_recorder
{
    std::vector<action> recordedActions;
    std::function<void(const action &recorded)> onAction;

    void record(const action &recorded)
    {
        recordedActions.push_back(recorded);
        if (onAction)
            onAction(recorded);
    }
};

/// Base of the fake services, which record the actions they receive.
template <typename Service>
class fake_service : public Service
{
public:
    explicit fake_service(action_recorder &recorder) : m_recorder(recorder) { }

    result<void> start(service_manager & /*owner*/) override { return {}; }
    void stop() override { }
    const counter_set &counters() const override { return m_counters; }

protected:
    action_recorder &m_recorder;
    counter_set m_counters;
};

class fake_workers : public fake_service<worker_transport_interface>
{
public:
    using fake_service::fake_service;
    void startAttempt(const start_attempt &command) override { m_recorder.record(command); }
    void cancelAttempt(const cancel_attempt &command) override { m_recorder.record(command); }
    void withdrawAttempt(const withdraw_attempt &command) override { m_recorder.record(command); }
    void startProbe(const start_probe &command) override { m_recorder.record(command); }
};

class fake_platform : public fake_service<platform_client_interface>
{
public:
    using fake_service::fake_service;
    void readPlatformValue(const read_platform_value &command) override
    {
        m_recorder.record(command);
    }
    void readItems(const read_items &command) override { m_recorder.record(command); }
};

class fake_peers : public fake_service<peer_link_interface>
{
public:
    using fake_service::fake_service;
    void sendPeerMessage(const send_peer_message &command) override { m_recorder.record(command); }
    void flush(duration /*timeLimit*/, std::function<void()> done) override
    {
        flushDone = std::move(done);
    }

    std::function<void()> flushDone;
};

class fake_entry : public fake_service<http_entry_interface>
{
public:
    using fake_service::fake_service;
    void sendResponse(const send_response &command) override { m_recorder.record(command); }
    void sendEntryResponse(const send_entry_response &command) override
    {
        m_recorder.record(command);
    }
    void flush(duration /*timeLimit*/, std::function<void()> done) override
    {
        flushDone = std::move(done);
    }

    std::function<void()> flushDone;
};

} // namespace almondnotch
