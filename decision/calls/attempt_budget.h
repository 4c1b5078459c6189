#pragma once

#include <cstdint>

namespace almondnotch {

/// Lets extra work be at most a share of ordinary work: each ordinary unit adds `share` tokens,
/// each extra unit takes one. Without ordinary work nothing is added, so a failing service gets no
/// retries beyond the share.
class attempt_budget
{
public:
    /// Tokens at the start and at most; lets a service with few calls retry a single failure.
    static constexpr double initialTokens = 3;
    static constexpr double tokensMax = 10;

    void addFirstAttempt(double ratio);

    /// Takes a token.
    /// \return false if the budget is used up.
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
