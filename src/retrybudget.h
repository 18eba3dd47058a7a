// Limits retries in proportion to successes, so that failures cannot multiply the load.

#pragma once

#include "types.h"

namespace cactuscove {

// A token bucket: each success adds a part of a token, each retry spends a whole one. A home keeps
// one for each upstream and asks it before it starts a failed idempotent task again.
class RetryBudget
{
public:
    // Each success adds `perSuccess` tokens (at least 0); the bucket holds `burst` tokens (at least
    // 1) and starts empty.
    static RetryBudget create(double perSuccess, double burst);

    void recordSuccess();
    bool trySpend(); // spends a token if there is one; false means that no retry is allowed now

    double tokens() const { return m_tokens; }

private:
    RetryBudget(double perSuccess, double burst);

    double m_perSuccess;
    double m_burst;
    double m_tokens; // 0 <= m_tokens <= m_burst
};

} // namespace cactuscove
