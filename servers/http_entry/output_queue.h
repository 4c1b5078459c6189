#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include "core/byte_budget.h"
#include "decision/types.h"

namespace almondnotch {

/// A response, or an interim one, that is to be written to a connection.
struct output_message
{
    std::string head;
    /// Owns the body; null if none is written.
    shared_response bodyOwner = nullptr;
    /// The body's part of the memory for responses.
    byte_reservation reservation {};
    /// True for a response, false for an interim one.
    bool isFinal = true;

    std::size_t size() const { return head.size() + (bodyOwner ? bodyOwner->body.size() : 0); }
};

/// The messages that a connection has not written yet, in their order.
class output_queue
{
public:
    enum class write_result {
        progress,
        /// The socket takes no more bytes for now.
        blocked,
        /// The connection is broken.
        failed,
    };

    void push(output_message message);
    bool isEmpty() const { return m_messages.empty(); }
    /// Bytes that have not been written.
    std::size_t bytes() const { return m_bytes; }

    /// Writes some of the messages with one call. Must not be empty.
    /// \param[out] finished set to the number of final responses that are written whole now.
    write_result write(int descriptor, std::size_t &finished);

private:
    std::size_t removeWritten(std::size_t count);

    std::deque<output_message> m_messages;
    /// Bytes of the first message that were written.
    std::size_t m_written = 0;
    std::size_t m_bytes = 0;
};

} // namespace almondnotch
