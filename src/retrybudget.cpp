// Implements the token bucket of the retry budget.

#include "retrybudget.h"

#include <algorithm>

namespace cactuscove {

namespace {

// Tolerance for a whole token, because a sum of ten times 0.1 is less than 1 by rounding.
constexpr double RoundingTolerance = 1e-9;

} // namespace

RetryBudget RetryBudget::create(double perSuccess, double burst)
{
    return {std::max(0.0, perSuccess), std::max(1.0, burst)};
}

// Starts empty: with initial tokens, processes that restart during an overload would add retries.
RetryBudget::RetryBudget(double perSuccess, double burst)
    : m_perSuccess(perSuccess)
    , m_burst(burst)
    , m_tokens(0)
{}

void RetryBudget::recordSuccess()
{
    m_tokens = std::min(m_burst, m_tokens + m_perSuccess);
}

bool RetryBudget::trySpend()
{
    if (m_tokens < 1 - RoundingTolerance)
        return false;
    m_tokens = std::max(0.0, m_tokens - 1);
    return true;
}

} // namespace cactuscove
