#pragma once

#include <cstdint>

namespace almondnotch {

/// Token bucket that limits extra attempts (retries or hedges) to a ratio of the first attempts:
/// each first attempt adds `ratio` tokens, each extra attempt takes one. Only first attempts
/// add tokens, so the retries of a failing service stay within the ratio, too.
class attempt_budget
{
public:
    /// Initial and maximum number of tokens. With the initial tokens, a service with few calls can
    /// retry single failures.
    static constexpr double initialTokens = 3;
    static constexpr double tokensMax = 10;

    /// Counts a first attempt and adds `ratio` tokens, up to `tokensMax`.
    void addFirstAttempt(double ratio);

    /// Takes one token for an extra attempt.
    /// \return false if the budget is exhausted.
    bool takeExtraAttempt();

    std::uint64_t firstAttemptCount() const { return m_firstAttempts; }
    std::uint64_t extraAttemptCount() const { return m_extraAttempts; }
    std::uint64_t deniedCount() const { return m_denied; }
    double tokens() const { return m_tokens; }

private:
    double m_tokens = initialTokens;
    std::uint64_t m_firstAttempts = 0;
    std::uint64_t m_extraAttempts = 0;
    std::uint64_t m_denied = 0;
};

} // namespace almondnotch
