// The jobs of a DispatchFleet and their callers, and the checks of what these see.

#include "dispatchfleetimpl.h"

namespace cactuscove {

void DispatchFleet::Impl::scheduleJobs()
{
    for (const JobKind &kind : options.kinds) {
        double atMs = 0;
        while (true) {
            const Duration at = fromMs(atMs);
            const double factor = options.rateFactor ? options.rateFactor(kind, at) : 1;
            atMs += std::exponential_distribution<double>(kind.jobsPerSecond * factor
                                                          / 1000)(random);
            if (fromMs(atMs) > options.length)
                break;
            scheduleJob(kind, Start + 3s + fromMs(atMs));
        }
    }
}

void DispatchFleet::Impl::scheduleJob(const JobKind &kind, TimePoint at)
{
    Job job;
    job.kind = &kind;
    job.spec.id = "job" + std::to_string(jobs.size());
    job.spec.queue = kind.queue;
    job.spec.needs
        = {static_cast<std::int64_t>(positiveNormal(static_cast<double>(kind.cpuMillis),
                                                    0.2 * static_cast<double>(kind.cpuMillis))),
           64, 0};
    job.spec.taskCount = static_cast<std::uint32_t>(
        std::max(1.0, std::round(positiveNormal(kind.meanTasks, 0.4 * kind.meanTasks))));
    const double jobMs = positiveNormal(kind.meanRunMs, kind.runTimeSpread * kind.meanRunMs);
    job.spec.declaredRunTime = fromMs(jobMs * (1 + 0.4 * (2 * uniform() - 1)));
    double longest = 0;
    double sum = 0;
    for (std::uint32_t i = 0; i < job.spec.taskCount; ++i) {
        job.workMs.push_back(positiveNormal(jobMs, kind.taskSpread * jobMs));
        longest = std::max(longest, job.workMs.back());
        sum += job.workMs.back();
    }
    job.firstSentAt = at;
    job.objectiveAt = at + fromMs(1.6 * longest + 60);
    job.callerTimeout = fromMs(1500 + 3 * (1.6 * longest + 60));
    const double work = sum * static_cast<double>(job.spec.needs.cpuMillis)
                        / (kind.meanRunMs * kind.meanTasks * static_cast<double>(kind.cpuMillis));
    if (options.callerTimeout)
        job.callerTimeout = *options.callerTimeout;
    job.isCrashing = kind.crashingShare > 0 && uniform() < kind.crashingShare;
    job.value = job.isCrashing ? 0 : kind.value * std::min(4.0, 0.3 + 0.7 * work);
    const std::size_t number = jobs.size();
    jobsById[job.spec.id] = number;
    jobs.push_back(std::move(job));
    post(at, [this, number] { sendJob(number); });
}

std::size_t DispatchFleet::Impl::pickEntry(const std::vector<std::size_t> &up)
{
    if (options.entryDemand.empty())
        return up[static_cast<std::size_t>(uniform() * static_cast<double>(up.size()))];
    const auto demandOf
        = [this](std::size_t e) { return options.entryDemand[e % options.entryDemand.size()]; };
    double total = 0;
    for (const std::size_t e : up)
        total += demandOf(e);
    double pick = uniform() * total;
    for (const std::size_t e : up) {
        pick -= demandOf(e);
        if (pick < 0)
            return e;
    }
    return up.back();
}

void DispatchFleet::Impl::sendJob(std::size_t number)
{
    std::vector<std::size_t> up;
    const double usedEntries = options.usedEntryShare * static_cast<double>(entries.size());
    for (std::size_t i = 0; i < entries.size() && static_cast<double>(i) < usedEntries; ++i)
        if (entries[i].isUp)
            up.push_back(i);
    Job &job = jobs[number];
    if (job.isAnswered || now > job.firstSentAt + 8s)
        return;
    if (up.empty())
        return post(now + ResubmitPause, [this, number] { sendJob(number); });
    const std::size_t e = pickEntry(up);
    const std::uint64_t caller = ++callerNumber;
    trace("caller" + std::to_string(caller),
          {Severity::Info, "job_sent", {{"job", job.spec.id}, {"entry", std::to_string(e)}}});
    job.caller = caller;
    job.sentAt = now;
    job.entry = e;
    callers[caller] = number;
    const std::uint64_t incarnation = entries[e].incarnation;
    stepEntry(e, [this, caller, number](JobDispatcher &dispatcher, DispatcherOutbox &out) {
        // The HTTP server drops a request whose caller has closed the connection meanwhile.
        if (jobs[number].caller != caller)
            return;
        dispatcher.submit(CallerId{caller}, jobs[number].spec, jobs[number].callerTimeout, now,
                          out);
    });
    // The caller gives up, or loses its connection with the process, and submits the job again.
    post(now + job.callerTimeout, [this, number, caller, e, incarnation] {
        if (jobs[number].isAnswered || jobs[number].caller != caller)
            return;
        jobs[number].wasOnlyRefused = false;
        jobs[number].caller = 0;
        if (entries[e].incarnation == incarnation)
            stepEntry(e, [this, caller](JobDispatcher &dispatcher, DispatcherOutbox &out) {
                dispatcher.callerDisconnected(CallerId{caller}, now, out);
            });
        post(now + ResubmitPause, [this, number] { sendJob(number); });
    });
}

void DispatchFleet::Impl::onAnswer(std::uint64_t caller, const DispatchAnswer &answer)
{
    const auto found = callers.find(caller);
    if (found == callers.end())
        return;
    const std::size_t number = found->second;
    Job &job = jobs[number];
    callers.erase(found);
    if (job.isAnswered || job.caller != caller)
        return;
    if (answer.outcome == JobOutcome::Unknown) {
        job.wasOnlyRefused = false;
        job.caller = 0;
        post(now + ResubmitPause, [this, number] { sendJob(number); });
        return;
    }
    trace("caller" + std::to_string(caller),
          {Severity::Info, "job_answered", {{"job", job.spec.id}}});
    job.isAnswered = true;
    job.outcome = answer.outcome;
    job.reason = answer.reason;
    job.answeredAt = now;
}

void DispatchFleet::Impl::disconnectCallersOf(std::size_t e)
{
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        Job &job = jobs[i];
        if (job.entry != e || job.isAnswered || job.caller == 0)
            continue;
        job.caller = 0;
        job.wasOnlyRefused = false;
        post(now + ResubmitPause, [this, i] { sendJob(i); });
    }
}

std::map<std::string, KindResult> DispatchFleet::Impl::results() const
{
    std::map<std::string, KindResult> out;
    std::map<std::string, std::pair<double, double>> values;
    for (const Job &job : jobs) {
        KindResult &it = out[job.kind->queue];
        ++it.submitted;
        const bool isDone = job.isAnswered && job.outcome == JobOutcome::Completed;
        const bool onTime = isDone && job.answeredAt <= job.objectiveAt;
        it.onTime += onTime;
        it.late += isDone && !onTime;
        const bool isRefused = job.isAnswered && job.outcome == JobOutcome::Refused;
        it.refused += isRefused;
        it.other += !isDone && !isRefused;
        if (isRefused)
            it.slowestRefusal
                = std::max<Duration>(it.slowestRefusal, job.answeredAt - job.firstSentAt);
        values[job.kind->queue].first += job.value * (onTime ? 1 : isDone ? LateValueShare : 0);
        values[job.kind->queue].second += job.value;
    }
    for (auto &[queue, it] : out) {
        it.valueShare = values[queue].first / values[queue].second;
        it.sizes = sizeResults(queue);
    }
    return out;
}

FleetMoment DispatchFleet::Impl::momentNow() const
{
    FleetMoment it;
    double cores = 0;
    for (const Worker &worker : workers)
        cores += static_cast<double>(worker.capacity.cpuMillis);
    for (std::size_t a = 0; a < agents.size(); ++a) {
        if (!agents[a].isUp)
            continue;
        it.knownWorkerShare += !agents[a].runner->workers().empty();
        for (const WorkerLoad &load : agents[a].runner->loads(now))
            it.usableCoreShare
                += load.isUsable ? static_cast<double>(workers[a].capacity.cpuMillis) : 0;
        it.connectedShare += connectedEntriesOf(a);
    }
    const std::size_t kept = std::min(options.linksPerAgent, entries.size());
    it.knownWorkerShare /= static_cast<double>(agents.size());
    it.usableCoreShare /= cores;
    it.connectedShare /= static_cast<double>(agents.size() * kept);
    return it;
}

void DispatchFleet::Impl::watch(Duration from, Duration to, Duration interval)
{
    watchedFrom = Start + 3s + from;
    watchInterval = interval;
    for (Duration at = from; at < to; at += interval)
        post(Start + 3s + at, [this] { moments.push_back(momentNow()); });
}

std::vector<FleetMoment> DispatchFleet::Impl::timeline() const
{
    std::vector<FleetMoment> out = moments;
    for (const Job &job : jobs) {
        if (job.sentAt < watchedFrom)
            continue;
        const auto i = static_cast<std::size_t>((job.sentAt - watchedFrom) / watchInterval);
        if (i >= out.size())
            continue;
        JobCounts &it = job.sentAt == job.firstSentAt ? out[i].fresh : out[i].returned;
        const bool isDone = job.isAnswered && job.outcome == JobOutcome::Completed;
        const bool isRefused = job.isAnswered && job.outcome == JobOutcome::Refused;
        it.onTime += isDone && job.answeredAt <= job.objectiveAt;
        it.late += isDone && job.answeredAt > job.objectiveAt;
        it.refused += isRefused;
        it.failed += !isDone && !isRefused;
    }
    return out;
}

PlayedJob DispatchFleet::Impl::playedJobOf(const Job &job) const
{
    PlayedJob out{job.kind->queue, job.firstSentAt - Start - 3s, 0, job.value};
    for (const double workMs : job.workMs)
        out.coreSeconds += workMs / 1000 * static_cast<double>(job.spec.needs.cpuMillis) / 1000;
    const bool isDone = job.isAnswered && job.outcome == JobOutcome::Completed;
    out.isOnTime = isDone && job.answeredAt <= job.objectiveAt;
    out.isLate = isDone && !out.isOnTime;
    out.isRefused = job.isAnswered && job.outcome == JobOutcome::Refused;
    out.isCrashing = job.isCrashing;
    out.crashes = job.crashes;
    out.isGivenUp = isGivenUp(job);
    out.answerTime = job.isAnswered ? job.answeredAt - job.firstSentAt : PlayedJob::NeverAnswered;
    return out;
}

std::array<SizeResult, 3> DispatchFleet::Impl::sizeResults(const std::string &queue) const
{
    std::vector<std::pair<std::int64_t, const Job *>> bySize;
    for (const Job &job : jobs)
        if (job.kind->queue == queue)
            bySize.emplace_back(-job.spec.needs.cpuMillis * job.spec.taskCount, &job);
    std::sort(bySize.begin(), bySize.end());
    std::array<SizeResult, 3> sizes;
    for (std::size_t i = 0; i < bySize.size(); ++i) {
        const Job &job = *bySize[i].second;
        const std::size_t tenth = i * 10 / bySize.size();
        SizeResult &it = sizes[tenth < 1 ? 0 : tenth < 3 ? 1 : 2];
        ++it.submitted;
        it.onTime += job.isAnswered && job.outcome == JobOutcome::Completed
                     && job.answeredAt <= job.objectiveAt;
        if (job.startedTasks.size() < job.spec.taskCount)
            continue;
        ++it.started;
        it.meanWaitMs += (toMs(job.lastStartAt - job.firstSentAt) - it.meanWaitMs) / it.started;
    }
    return sizes;
}

bool DispatchFleet::Impl::isGivenUp(const Job &job)
{
    return job.isAnswered && job.outcome == JobOutcome::Failed && job.reason != "task_failed";
}

void DispatchFleet::Impl::checkAnswers()
{
    for (const Job &job : jobs)
        if (isGivenUp(job) && !job.isCrashing)
            violations.push_back(job.spec.id + " is sound and was given up");
    for (const Job &job : jobs)
        if (job.isAnswered && job.outcome == JobOutcome::Refused && job.wasOnlyRefused
            && job.hasRun)
            violations.push_back(job.spec.id + " was refused and ran");
}
} // namespace cactuscove
