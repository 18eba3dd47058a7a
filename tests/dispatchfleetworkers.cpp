// The workers of a DispatchFleet: the calls of their agents, their runs, leases and ends.

#include "dispatchfleetimpl.h"

namespace cactuscove {

void DispatchFleet::Impl::setId(Worker &it) const
{
    it.id = "w" + std::to_string(it.index);
    if (!options.keepsWorkerIds)
        it.id += "-" + std::to_string(it.incarnation);
}

void DispatchFleet::Impl::sendWorkerHeartbeat(std::size_t i, std::uint64_t incarnation)
{
    Worker &it = workers[i];
    if (it.incarnation != incarnation)
        return;
    const bool isFirst = it.sequence == 0;
    const double part = isFirst && options.hasSpreadHeartbeats ? uniform() : 1;
    post(now + fromMs(part * toMs(WorkerHeartbeatInterval)),
         [this, i, incarnation] { sendWorkerHeartbeat(i, incarnation); });
    if (!it.isUp)
        return;
    reportWorker(i);
}

void DispatchFleet::Impl::reportWorker(std::size_t i)
{
    Worker &it = workers[i];
    WorkerInfo info;
    info.id = it.id;
    info.upstream = "upstream";
    info.address = "worker";
    info.dataCentre = "dc" + std::to_string(i % static_cast<std::size_t>(options.dataCentres));
    info.capacity = it.capacity;
    info.isDraining = it.isDraining;
    info.startedAtUnixMs = startTimeOf(it);
    info.sequence = ++it.sequence;
    stepAgent(i, [this, i, info, clock = clockOf(it)](TaskRunner &runner, RunnerOutbox &out) {
        agents[i].record = info;
        agents[i].recordAt = now;
        runner.onWorkerInfo(info, clock, now, out);
    });
}

std::int64_t DispatchFleet::Impl::startTimeOf(const Worker &it)
{
    return static_cast<std::int64_t>(toMs(it.startedAt.time_since_epoch()));
}

WorkerClock DispatchFleet::Impl::clockOf(const Worker &it) const
{
    return WorkerClock{static_cast<std::int64_t>(toMs(now - it.startedAt))};
}

bool DispatchFleet::Impl::isReached(const Worker &it)
{
    return it.isListening || (it.isConnected && uniform() < 0.5);
}

StartReply DispatchFleet::Impl::replyOf(Worker &it, const StartRun &order, bool isOtherProcess)
{
    if (isOtherProcess)
        return {StartAnswer::OtherProcess, std::nullopt};
    return {startAnswers[order.call.value + 1000000 * static_cast<std::uint64_t>(it.index)],
            clockOf(it)};
}

StopReply DispatchFleet::Impl::replyOf(Worker &it, const StopRun &, bool isOtherProcess) const
{
    return {isOtherProcess ? CallAnswer::OtherProcess : CallAnswer::Ok, clockOf(it)};
}

PollReply DispatchFleet::Impl::replyOf(Worker &it, const PollRuns &, bool isOtherProcess)
{
    PollReply out;
    out.answer = isOtherProcess ? CallAnswer::OtherProcess : CallAnswer::Ok;
    if (isOtherProcess)
        return out;
    out.clock = clockOf(it);
    out.startedAtUnixMs = startTimeOf(it);
    updateProgress(it);
    for (const auto &[task, run] : it.runs)
        out.active.push_back(
            {task, run.attempt,
             std::min(99, static_cast<int>(100 * run.doneMs / std::max(run.workMs, 0.001)))});
    out.ended = it.ended;
    return out;
}

void DispatchFleet::Impl::execute(Worker &it, const StartRun &order,
                                  const std::function<void()> &done)
{
    StartAnswer &answer
        = startAnswers[order.call.value + 1000000 * static_cast<std::uint64_t>(it.index)];
    answer = start(it, order);
    if (answer == StartAnswer::Accepted && it.crashAtStart)
        crash(static_cast<std::size_t>(it.index), *std::exchange(it.crashAtStart, {}));
    done();
}

StartAnswer DispatchFleet::Impl::start(Worker &it, const StartRun &order)
{
    const auto running = it.runs.find(order.task);
    if (running != it.runs.end() && running->second.attempt == order.attempt)
        return StartAnswer::Accepted;
    if (running != it.runs.end() && options.refusesSecondAttempts)
        return StartAnswer::OldAttempt;
    const auto lastAttempt = it.lastAttempts.find(order.task);
    if (lastAttempt != it.lastAttempts.end() && order.attempt <= lastAttempt->second)
        return StartAnswer::OldAttempt;
    if (options.checksDeadlines && clockOf(it) > order.deadline)
        return StartAnswer::Late;
    extendLease(it, order.deadline);
    const auto found = jobsById.find(order.task.jobId);
    Job &job = jobs[found->second];
    job.hasRun = true;
    starts.emplace_back(now, it.index);
    job.startedTasks.insert(order.task.index);
    job.lastStartAt = now;
    trace("worker" + std::to_string(it.index), {Severity::Info,
                                                "run_started",
                                                {{"job", order.task.jobId},
                                                 {"task", std::to_string(order.task.index)},
                                                 {"attempt", std::to_string(order.attempt)}}});
    updateProgress(it);
    Run run;
    run.attempt = order.attempt;
    run.needs = job.spec.needs;
    run.workMs = it.isFailing || uniform() < options.failureRate ? job.workMs[order.task.index] / 5
                                                                 : job.workMs[order.task.index];
    const bool fails = run.workMs != job.workMs[order.task.index];
    checkSingleRun(order.task, it);
    it.runs[order.task] = run;
    checkCapacity(it);
    scheduleEnd(it, order.task, fails);
    if (job.isCrashing && order.task.index == 0)
        scheduleCrash(it, job, order.task);
    return StartAnswer::Accepted;
}

void DispatchFleet::Impl::scheduleCrash(Worker &it, Job &job, const TaskId &task)
{
    if (job.crashes >= MaxCrashes)
        violations.push_back("task " + task.jobId + "/0 started after "
                             + std::to_string(job.crashes) + " crashes at "
                             + std::to_string(toMs(now - Start)));
    post(now + options.crashDelay, [this, &it, &job, task, incarnation = it.incarnation] {
        if (it.incarnation != incarnation || !it.isUp || !it.runs.count(task))
            return;
        ++job.crashes;
        ++crashCount;
        crash(static_cast<std::size_t>(it.index), options.crashDowntime);
    });
}

void DispatchFleet::Impl::crash(std::size_t i, Duration down)
{
    Worker &it = workers[i];
    it.isUp = false;
    ++it.incarnation;
    setId(it);
    it.isDraining = false;
    it.isListening = it.isConnected = true;
    it.runs.clear();
    it.ended.clear();
    it.lastAttempts.clear();
    it.waitingPolls.clear();
    it.endNumber = 0;
    it.sequence = 0;
    post(now + down, [this, i, incarnation = it.incarnation] {
        Worker &restarted = workers[i];
        if (restarted.incarnation != incarnation)
            return; // it crashed once more
        restarted.isUp = true;
        restarted.startedAt = restarted.progressAt = restarted.leaseEnd = now;
        for (const auto &call : std::exchange(restarted.lateCalls, {}))
            call();
        post(now + options.registrationTime,
             [this, i, incarnation] { sendWorkerHeartbeat(i, incarnation); });
    });
}

void DispatchFleet::Impl::leave(std::size_t i, const WorkerLeave &leave)
{
    Worker &it = workers[i];
    it.isDraining = true;
    reportWorker(i);
    const auto postIfSame
        = [this, i, incarnation = it.incarnation](Duration after, const auto &step) {
              post(now + after, [this, i, incarnation, step] {
                  if (workers[i].incarnation == incarnation)
                      step();
              });
          };
    if (!leave.isLeaveLost)
        postIfSame(leave.leavesAfter, [this, i] {
            stepAgent(i, [this, id = workers[i].id](TaskRunner &runner, RunnerOutbox &out) {
                runner.onWorkerLeft(id, now, out);
            });
        });
    if (leave.listenerClosesAfter)
        postIfSame(*leave.listenerClosesAfter, [&it] { it.isListening = false; });
    if (leave.connectionsCloseAfter)
        postIfSame(*leave.connectionsCloseAfter, [this, &it] { closeConnections(it); });
    postIfSame(leave.endsAfter, [this, i, down = leave.down] { crash(i, down); });
}

void DispatchFleet::Impl::closeConnections(Worker &it)
{
    it.isConnected = false;
    ++it.closings;
    for (const auto &poll : std::exchange(it.waitingPolls, {}))
        poll();
}

void DispatchFleet::Impl::setCapacity(std::size_t i, std::int64_t cpuMillis)
{
    Worker &it = workers[i];
    it.capacity.cpuMillis = cpuMillis;
    if (cpuMillis >= it.countedCapacity.cpuMillis)
        it.countedCapacity = it.capacity;
    else
        post(now + CapacityGrace, [&it, cpuMillis] {
            if (it.capacity.cpuMillis == cpuMillis)
                it.countedCapacity = it.capacity;
        });
}

void DispatchFleet::Impl::scheduleEnd(Worker &it, const TaskId &task, bool fails)
{
    Run &run = it.runs.at(task);
    run.number = ++runNumber;
    if (it.speed <= 0)
        return;
    const std::uint64_t number = run.number;
    const std::uint64_t incarnation = it.incarnation;
    post(now + fromMs((run.workMs - run.doneMs) / it.speed),
         [this, &it, incarnation, task, number, fails] {
             const auto found = it.runs.find(task);
             if (it.incarnation == incarnation && found != it.runs.end()
                 && found->second.number == number)
                 endRun(it, task, fails ? TaskEnd::Failed : TaskEnd::Done);
         });
}

void DispatchFleet::Impl::updateProgress(Worker &it)
{
    const double elapsed = toMs(now - it.progressAt);
    it.progressAt = now;
    for (auto &[task, run] : it.runs)
        run.doneMs = std::min(run.workMs, run.doneMs + elapsed * it.speed);
}

void DispatchFleet::Impl::endRun(Worker &it, const TaskId &task, TaskEnd end)
{
    updateProgress(it);
    const auto node = it.runs.extract(task);
    trace("worker" + std::to_string(it.index),
          {Severity::Info,
           "run_ended",
           {{"job", task.jobId},
            {"task", std::to_string(task.index)},
            {"attempt", std::to_string(node.mapped().attempt)},
            {"end", std::string(nameOf(end))},
            {"lease_end_ms", std::to_string(toMs(it.leaseEnd - Start))}}});
    it.lastAttempts[task] = std::max(it.lastAttempts[task], node.mapped().attempt);
    it.ended.push_back({++it.endNumber, task, node.mapped().attempt, end});
    for (const auto &poll : std::exchange(it.waitingPolls, {}))
        poll();
}

void DispatchFleet::Impl::execute(Worker &it, const StopRun &order,
                                  const std::function<void()> &done)
{
    it.lastAttempts[order.task] = std::max(it.lastAttempts[order.task], order.attempt);
    const auto found = it.runs.find(order.task);
    if (found != it.runs.end() && found->second.attempt <= order.attempt
        && !found->second.isStopping) {
        found->second.isStopping = true;
        found->second.number = ++runNumber; // cancels the scheduled end; the stop ends the run
        const std::uint64_t incarnation = it.incarnation;
        const std::uint64_t number = found->second.number;
        post(now + StopDelay, [this, &it, incarnation, task = order.task, number] {
            const auto run = it.runs.find(task);
            if (it.incarnation == incarnation && run != it.runs.end()
                && run->second.number == number)
                endRun(it, task, TaskEnd::Stopped);
        });
    }
    done();
}

void DispatchFleet::Impl::execute(Worker &it, const PollRuns &order,
                                  const std::function<void()> &done)
{
    std::erase_if(it.ended, [&](const EndedRun &end) { return end.number <= order.acknowledged; });
    if (order.leaseUntil)
        extendLease(it, *order.leaseUntil);
    if (order.maxWait <= Duration{} || !it.ended.empty())
        return done();
    auto isDone = std::make_shared<bool>(false);
    const auto once = [done, isDone] {
        if (!std::exchange(*isDone, true))
            done();
    };
    it.waitingPolls.push_back(once);
    const std::uint64_t incarnation = it.incarnation;
    post(now + order.maxWait, [&it, incarnation, once] {
        if (it.incarnation == incarnation)
            once();
    });
}

void DispatchFleet::Impl::extendLease(Worker &it, WorkerClock until)
{
    const std::int64_t longest = clockOf(it).value + 1000;
    const TimePoint end = it.startedAt + std::chrono::milliseconds(std::min(until.value, longest));
    if (end <= it.leaseEnd)
        return;
    it.leaseEnd = end;
    const std::uint64_t incarnation = it.incarnation;
    post(end + 1us, [this, &it, incarnation] {
        if (it.incarnation != incarnation || now <= it.leaseEnd)
            return;
        std::vector<TaskId> lapsed;
        for (const auto &[task, run] : it.runs)
            lapsed.push_back(task);
        for (const TaskId &task : lapsed)
            endRun(it, task, TaskEnd::Lost);
    });
}

void DispatchFleet::Impl::checkSingleRun(const TaskId &task, const Worker &starting)
{
    for (const Worker &it : workers)
        if (it.isUp && it.runs.count(task))
            violations.push_back("task " + task.jobId + "/" + std::to_string(task.index)
                                 + " runs on w" + std::to_string(it.index) + " and w"
                                 + std::to_string(starting.index) + " at "
                                 + std::to_string(toMs(now - Start)));
}

void DispatchFleet::Impl::checkCapacity(const Worker &it)
{
    Resources used;
    for (const auto &[task, run] : it.runs)
        used += run.needs;
    if (!used.fitsIn(it.countedCapacity))
        violations.push_back("w" + std::to_string(it.index) + " over its capacity at "
                             + std::to_string(toMs(now - Start)));
}
} // namespace cactuscove
