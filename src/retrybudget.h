// Limits retries and hedges in proportion to successes, so that failures cannot multiply load.

#pragma once

#include "types.h"

namespace cactuscove {

class RetryBudget
{
public:
    // `perSuccess` tokens are earned by each success, up to `burst` tokens.
    static RetryBudget create(double perSuccess, double burst);

    void success();
    bool trySpend(); // spends one token if there is one

    double tokens() const { return m_tokens; }

private:
    RetryBudget(double perSuccess, double burst);

    double m_perSuccess;
    double m_burst;
    double m_tokens; // 0 <= m_tokens <= m_burst
};

} // namespace cactuscove
