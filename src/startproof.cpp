// The proof that an attempt was never started.

#include "startproof.h"

namespace cactuscove {

void RunStarts::addSent(TimePoint now)
{
    lastSentAt = leaseFrom = now;
    ++sent;
    ++unanswered;
}

void RunStarts::addAnswer()
{
    --unanswered;
}

NeverStarted NeverStarted::notSent()
{
    return NeverStarted(Evidence::NotSent);
}

std::optional<NeverStarted> NeverStarted::prove(const RunStarts &starts)
{
    if (starts.isConfirmed || starts.unanswered > 0)
        return std::nullopt;
    return NeverStarted(starts.sent == 0 ? Evidence::NotSent : Evidence::AllDeclined);
}

std::string_view NeverStarted::name() const
{
    return m_evidence == Evidence::NotSent ? "not_sent" : "all_declined";
}

} // namespace cactuscove
