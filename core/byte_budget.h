#pragma once

#include <cstddef>
#include <utility>

namespace almondnotch {

/// Bounds the bytes that several holders keep in memory together.
class byte_budget
{
public:
    explicit byte_budget(std::size_t bytesMax) : m_bytesMax(bytesMax) { }
    byte_budget(const byte_budget &) = delete;
    byte_budget &operator=(const byte_budget &) = delete;

    /// Bytes held by all reservations together; never more than the maximum.
    std::size_t held() const { return m_held; }

private:
    friend class byte_reservation;

    std::size_t m_bytesMax;
    std::size_t m_held = 0;
};

/// The part of a `byte_budget` that one holder has taken. Returns it when it is destroyed.
class byte_reservation
{
public:
    /// A reservation without a budget, which never fails.
    byte_reservation() = default;
    /// \param budget must outlive the reservation.
    explicit byte_reservation(byte_budget &budget) : m_budget(&budget) { }
    byte_reservation(byte_reservation &&other) noexcept
        : m_budget(std::exchange(other.m_budget, nullptr)), m_bytes(std::exchange(other.m_bytes, 0))
    { }
    byte_reservation &operator=(byte_reservation &&other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }
    byte_reservation(const byte_reservation &) = delete;
    byte_reservation &operator=(const byte_reservation &) = delete;
    ~byte_reservation() { release(); }

    /// Holds `bytes` in total from now on.
    /// \return false, and nothing is changed, if the budget does not allow it.
    bool growTo(std::size_t bytes)
    {
        if (m_budget == nullptr || bytes <= m_bytes)
            return true;
        const std::size_t added = bytes - m_bytes;
        if (added > m_budget->m_bytesMax - m_budget->m_held)
            return false;
        m_budget->m_held += added;
        m_bytes = bytes;
        return true;
    }

    void release()
    {
        if (m_budget != nullptr)
            m_budget->m_held -= std::exchange(m_bytes, 0);
    }

private:
    byte_budget *m_budget = nullptr;
    std::size_t m_bytes = 0;
};

} // namespace almondnotch
