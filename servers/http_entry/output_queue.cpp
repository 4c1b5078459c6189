#include "servers/http_entry/output_queue.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <sys/socket.h>
#include <sys/uio.h>

namespace almondnotch {

namespace {

constexpr std::size_t partsMax = 32;
/// Bytes of one write, so that a large response does not hold up other connections.
constexpr std::size_t writeBytesMax = std::size_t {256} * 1024;

/// The buffers of one write.
class part_list
{
public:
    bool isFull() const { return m_count + 2 > partsMax || m_bytes == writeBytesMax; }
    std::size_t bytes() const { return m_bytes; }

    /// Adds a message without its first `skipped` bytes, as far as there is room.
    void add(const output_message &message, std::size_t skipped)
    {
        const std::size_t skippedOfHead = std::min(skipped, message.head.size());
        addPart(message.head, skippedOfHead);
        if (message.bodyOwner)
            addPart(message.bodyOwner->body, skipped - skippedOfHead);
    }

    ssize_t write(int descriptor)
    {
        msghdr header {};
        header.msg_iov = m_parts.data();
        header.msg_iovlen = m_count;
        // Unlike `writev`, this raises no SIGPIPE.
        return ::sendmsg(descriptor, &header, MSG_NOSIGNAL | MSG_DONTWAIT);
    }

private:
    void addPart(const std::string &text, std::size_t skipped)
    {
        const std::size_t size = std::min(text.size() - skipped, writeBytesMax - m_bytes);
        if (size == 0)
            return;
        // The call reads from the pointer only.
        m_parts[m_count++] = {const_cast<char *>(text.data()) + skipped, size};
        m_bytes += size;
    }

    std::array<iovec, partsMax> m_parts {};
    std::size_t m_count = 0;
    std::size_t m_bytes = 0;
};

} // namespace

void output_queue::push(output_message message)
{
    m_bytes += message.size();
    m_messages.push_back(std::move(message));
}

output_queue::write_result output_queue::write(int descriptor, std::size_t &finished)
{
    part_list parts;
    std::size_t skipped = m_written;
    for (const output_message &message : m_messages) {
        if (parts.isFull())
            break;
        parts.add(message, skipped);
        skipped = 0;
    }
    const ssize_t count = parts.write(descriptor);
    if (count < 0)
        return errno == EAGAIN || errno == EINTR ? write_result::blocked : write_result::failed;
    finished = removeWritten(static_cast<std::size_t>(count));
    return write_result::progress;
}

/// \return the number of final responses that were removed.
std::size_t output_queue::removeWritten(std::size_t count)
{
    m_bytes -= count;
    m_written += count;
    std::size_t finished = 0;
    while (!m_messages.empty() && m_written >= m_messages.front().size()) {
        m_written -= m_messages.front().size();
        finished += m_messages.front().isFinal ? 1 : 0;
        m_messages.pop_front();
    }
    return finished;
}

} // namespace almondnotch
