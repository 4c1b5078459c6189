#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "servers/ports.h"

namespace almondnotch {

/// Records what the decision task orders; the test may deliver events from within `onAction`.
struct action_recorder
{
    std::vector<action> seen;
    std::function<void(const action &order)> onAction;

    void record(const action &order)
    {
        seen.push_back(order);
        if (onAction)
            onAction(order);
    }
};

/// A port that holds no resources.
template <typename Port>
class fake_port : public Port
{
public:
    explicit fake_port(action_recorder &recorder) : m_recorder(recorder) { }

    result<void> start(kernel & /*owner*/) override { return {}; }
    void stop() override { }
    const counter_set &counters() const override { return m_counters; }

protected:
    action_recorder &m_recorder;
    counter_set m_counters;
};

class fake_workers : public fake_port<worker_port>
{
public:
    using fake_port::fake_port;
    void startAttempt(const start_attempt &order) override { m_recorder.record(order); }
    void cancelAttempt(const cancel_attempt &order) override { m_recorder.record(order); }
    void startProbe(const start_probe &order) override { m_recorder.record(order); }
};

class fake_platform : public fake_port<platform_port>
{
public:
    using fake_port::fake_port;
    void readPlatform(const read_platform &order) override { m_recorder.record(order); }
    void readItems(const read_items &order) override { m_recorder.record(order); }
};

class fake_peers : public fake_port<peer_port>
{
public:
    using fake_port::fake_port;
    void sendPeerMessage(const send_peer_message &order) override { m_recorder.record(order); }
    void flush(duration /*timeLimit*/, std::function<void()> done) override
    {
        flushDone = std::move(done);
    }

    std::function<void()> flushDone;
};

class fake_entry : public fake_port<entry_port>
{
public:
    using fake_port::fake_port;
    void sendResponse(const send_response &order) override { m_recorder.record(order); }
    void sendEntryResponse(const send_entry_response &order) override { m_recorder.record(order); }
    void flush(duration /*timeLimit*/, std::function<void()> done) override
    {
        flushDone = std::move(done);
    }

    std::function<void()> flushDone;
};

} // namespace almondnotch
