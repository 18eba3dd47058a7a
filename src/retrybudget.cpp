// Token arithmetic of the retry budget.

#include "retrybudget.h"

#include <algorithm>

namespace cactuscove {

namespace {

// Ten times 0.1 falls short of 1 by rounding.
constexpr double Rounding = 1e-9;

} // namespace

RetryBudget RetryBudget::create(double perSuccess, double burst)
{
    return {std::max(0.0, perSuccess), std::max(1.0, burst)};
}

// Starts empty: with initial tokens, processes that restart during a storm would bring new retries.
RetryBudget::RetryBudget(double perSuccess, double burst)
    : m_perSuccess(perSuccess)
    , m_burst(burst)
    , m_tokens(0)
{}

void RetryBudget::success()
{
    m_tokens = std::min(m_burst, m_tokens + m_perSuccess);
}

bool RetryBudget::trySpend()
{
    if (m_tokens < 1 - Rounding)
        return false;
    m_tokens = std::max(0.0, m_tokens - 1);
    return true;
}

} // namespace cactuscove
