#pragma once

#include <cstdint>

namespace almondnotch {

/// Lets extra work be at most a share of ordinary work: each ordinary unit adds `share` tokens,
/// each extra unit takes one. Without ordinary work nothing is added, so a failing service gets no
/// retries beyond the share.
class share_budget
{
public:
    /// Tokens at the start and at most; lets a service with few calls retry a single failure.
    static constexpr double initialTokens = 3;
    static constexpr double tokensMax = 10;

    void ordinary(double share);

    /// Takes a token.
    /// \return false if the budget is used up.
    bool takeExtra();

    std::uint64_t ordinaryCount() const { return m_ordinary; }
    std::uint64_t extraCount() const { return m_extra; }
    std::uint64_t deniedCount() const { return m_denied; }
    double tokens() const { return m_tokens; }

private:
    double m_tokens = initialTokens;
    std::uint64_t m_ordinary = 0;
    std::uint64_t m_extra = 0;
    std::uint64_t m_denied = 0;
};

} // namespace almondnotch
