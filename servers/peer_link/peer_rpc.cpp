#include "servers/peer_link/peer_rpc.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <thread>

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>
#include <peer.grpc.pb.h>

namespace almondnotch {

namespace {

/// Number of incoming RPCs that the server is ready to accept while its thread handles another;
/// further RPCs wait in gRPC.
constexpr int outstandingAccepts = 16;
/// gRPC itself refuses messages that exceed the size limit by more than this margin. The margin
/// lets `peer_link` count messages that exceed the limit slightly.
constexpr std::size_t receiveBytesMargin = 262'144;
/// Initial and maximum backoff between connection attempts, and timeout of one attempt. With gRPC's
/// default backoff of up to 120 s a restarted peer would stay unreachable.
constexpr int initialBackoffMs = 100;
constexpr int maxBackoffMs = 1'000;
constexpr int connectTimeoutMs = 1'500;
/// Maximum time to wait for RPCs in progress when the server stops.
constexpr std::chrono::milliseconds shutdownTimeLimit {200};

/// An asynchronous operation; its address is the tag under which the completion queue reports its
/// end.
class operation
{
public:
    operation() = default;
    operation(const operation &) = delete;
    operation &operator=(const operation &) = delete;
    virtual ~operation() = default;
    virtual void onCompleted(bool ok) = 0;
};

} // namespace

class peer_rpc::channel
{
public:
    explicit channel(std::shared_ptr<grpc::Channel> connection)
        : m_connection(std::move(connection)), m_stub(peer::v1::Peer::NewStub(m_connection))
    { }

    peer::v1::Peer::Stub &stub() { return *m_stub; }
    bool isConnected() const { return m_connection->GetState(false) == GRPC_CHANNEL_READY; }

private:
    std::shared_ptr<grpc::Channel> m_connection;
    std::unique_ptr<peer::v1::Peer::Stub> m_stub;
};

struct peer_rpc::state
{
    class server_call;
    class client_call;

    void run();
    void acceptNext();

    rpc_limits limits;
    rpc_callbacks callbacks;
    std::string address;
    grpc::ResourceQuota quota {"peer_link"};
    peer::v1::Peer::AsyncService service;
    std::unique_ptr<grpc::ServerCompletionQueue> queue;
    std::unique_ptr<grpc::Server> server;
    std::thread thread;
    std::atomic<std::size_t> queuedMessages {0};
    std::atomic<std::uint64_t> refusedMessages {0};
    std::atomic<bool> refusing {false};
    /// Guards the members below. No operation may be added to the queue once it has been shut down.
    std::mutex mutex;
    bool stopping = false;
    std::set<client_call *> clientCalls;
};

/// One incoming RPC, from the request to accept it until its response has been sent.
class peer_rpc::state::server_call : public operation
{
public:
    explicit server_call(state &owner) : m_owner(owner), m_response(&m_context) { }

    /// The owner's mutex must be held.
    void request()
    {
        m_owner.service.RequestSend(&m_context, m_envelope.get(), &m_response, m_owner.queue.get(),
                                    m_owner.queue.get(), this);
    }

    void onCompleted(bool ok) override
    {
        if (!ok || m_responding) {
            delete this;
            return;
        }
        m_owner.acceptNext();
        const bool hasRoom = m_owner.queuedMessages.fetch_add(1) < m_owner.limits.receiveQueueMax;
        const bool accepted = hasRoom && !m_owner.refusing.load();
        if (accepted) {
            m_owner.callbacks.onMessage(std::move(m_envelope));
        } else {
            m_owner.queuedMessages.fetch_sub(1);
            m_owner.refusedMessages.fetch_add(1);
        }
        respond(accepted);
    }

private:
    void respond(bool accepted)
    {
        const std::scoped_lock lock(m_owner.mutex);
        if (m_owner.stopping) {
            delete this;
            return;
        }
        m_responding = true;
        if (accepted)
            m_response.Finish(peer::v1::Ack(), grpc::Status::OK, this);
        else
            m_response.FinishWithError(
                grpc::Status(grpc::StatusCode::RESOURCE_EXHAUSTED,
                             "the receive queue is full or the process is shutting down"),
                this);
    }

    state &m_owner;
    grpc::ServerContext m_context;
    std::shared_ptr<peer::v1::Envelope> m_envelope = std::make_shared<peer::v1::Envelope>();
    grpc::ServerAsyncResponseWriter<peer::v1::Ack> m_response;
    bool m_responding = false;
};

/// One outgoing RPC.
class peer_rpc::state::client_call : public operation
{
public:
    client_call(state &owner, std::shared_ptr<channel> to, std::uint64_t sendId)
        : m_owner(owner), m_channel(std::move(to)), m_sendId(sendId)
    { }

    /// The owner's mutex must be held.
    void start(const peer::v1::Envelope &envelope)
    {
        m_context.set_deadline(std::chrono::system_clock::now() + m_owner.limits.sendTimeLimit);
        m_reader = m_channel->stub().AsyncSend(&m_context, envelope, m_owner.queue.get());
        m_reader->Finish(&m_ack, &m_status, this);
    }

    void cancel() { m_context.TryCancel(); }

    void onCompleted(bool /*ok*/) override
    {
        {
            const std::scoped_lock lock(m_owner.mutex);
            m_owner.clientCalls.erase(this);
        }
        m_owner.callbacks.onSent(
            m_sendId, m_status.ok()
                          ? std::string()
                          : "gRPC status " + std::to_string(static_cast<int>(m_status.error_code()))
                                + ": " + m_status.error_message());
        delete this;
    }

private:
    state &m_owner;
    std::shared_ptr<channel> m_channel;
    std::uint64_t m_sendId;
    grpc::ClientContext m_context;
    peer::v1::Ack m_ack;
    grpc::Status m_status;
    std::unique_ptr<grpc::ClientAsyncResponseReader<peer::v1::Ack>> m_reader;
};

void peer_rpc::state::acceptNext()
{
    const std::scoped_lock lock(mutex);
    if (!stopping) {
        // The object deletes itself when its RPC has ended.
        std::make_unique<server_call>(*this).release()->request();
    }
}

void peer_rpc::state::run()
{
    void *tag = nullptr;
    bool ok = false;
    while (queue->Next(&tag, &ok))
        static_cast<operation *>(tag)->onCompleted(ok);
}

result<std::unique_ptr<peer_rpc>> peer_rpc::create(const std::string &listenAddress,
                                                   rpc_limits limits, rpc_callbacks callbacks)
{
    std::unique_ptr<state> data = std::make_unique<state>();
    data->limits = limits;
    data->callbacks = std::move(callbacks);
    data->quota.Resize(limits.memoryBytesMax);
    data->quota.SetMaxThreads(2);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(listenAddress, grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&data->service);
    builder.SetResourceQuota(data->quota);
    builder.SetMaxReceiveMessageSize(static_cast<int>(limits.messageBytesMax + receiveBytesMargin));
    // Otherwise two processes could listen on one port and each would receive only some of the
    // messages.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    data->queue = builder.AddCompletionQueue();
    data->server = builder.BuildAndStart();
    if (!data->server || port == 0)
        return fail(error_code::unavailable, "listen for peers", listenAddress,
                    "gRPC could not listen on the address");
    data->address = listenAddress.substr(0, listenAddress.rfind(':') + 1) + std::to_string(port);
    for (int count = 0; count < outstandingAccepts; ++count)
        data->acceptNext();
    state *borrowed = data.get();
    data->thread = std::thread([borrowed]() { borrowed->run(); });
    return std::unique_ptr<peer_rpc>(new peer_rpc(std::move(data)));
}

peer_rpc::peer_rpc(std::unique_ptr<state> data) : m_state(std::move(data)) { }

peer_rpc::~peer_rpc()
{
    {
        const std::scoped_lock lock(m_state->mutex);
        m_state->stopping = true;
        for (state::client_call *call : m_state->clientCalls)
            call->cancel();
    }
    m_state->server->Shutdown(std::chrono::system_clock::now() + shutdownTimeLimit);
    m_state->queue->Shutdown();
    m_state->thread.join();
}

const std::string &peer_rpc::address() const
{
    return m_state->address;
}

std::shared_ptr<peer_rpc::channel> peer_rpc::connect(const std::string &peerAddress)
{
    grpc::ChannelArguments arguments;
    arguments.SetResourceQuota(m_state->quota);
    arguments.SetMaxReceiveMessageSize(static_cast<int>(m_state->limits.messageBytesMax));
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, initialBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, connectTimeoutMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxBackoffMs);
    // A message must be sent at most once.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
    // Connections in gRPC's global subchannel pool would outlive the channel.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return std::make_shared<channel>(grpc::CreateCustomChannel(
        "ipv4:" + peerAddress, grpc::InsecureChannelCredentials(), arguments));
}

bool peer_rpc::isConnected(const channel &to)
{
    return to.isConnected();
}

void peer_rpc::send(const std::shared_ptr<channel> &to, std::uint64_t sendId,
                    const peer::v1::Envelope &envelope)
{
    const std::scoped_lock lock(m_state->mutex);
    // The object deletes itself when its RPC has ended.
    state::client_call *call = std::make_unique<state::client_call>(*m_state, to, sendId).release();
    m_state->clientCalls.insert(call);
    call->start(envelope);
}

void peer_rpc::notifyMessageDequeued()
{
    m_state->queuedMessages.fetch_sub(1);
}

void peer_rpc::refuseMessages()
{
    m_state->refusing.store(true);
}

std::uint64_t peer_rpc::refusedTotal() const
{
    return m_state->refusedMessages.load();
}

} // namespace almondnotch
