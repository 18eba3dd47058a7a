// The formats of requests and responses are the platform's.

#include "dispatchcallers.h"

#include "bootclock.h"
#include "platform.h"

#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// For a caller that does not say how long it waits, on a queue without a timeout.
constexpr Duration DefaultCallerTimeout = 30s;
constexpr Duration NotReadyRetryDelay = 1s; // sent as Retry-After

Duration defaultCallerTimeout(const QueueSettings &queue)
{
    return queue.timeout > Duration{} ? queue.timeout : DefaultCallerTimeout;
}

} // namespace

DispatchCallers::DispatchCallers(EventLoop &loop, Metrics &metrics, const JobDispatcher &dispatcher,
                                 Handlers handlers)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_dispatcher(dispatcher)
    , m_handlers(std::move(handlers))
{}

std::optional<HttpServerError> DispatchCallers::listen(std::string_view address)
{
    HttpServerLimits limits;
    limits.detectClientClose = true;
    auto server = HttpServer::listen(
        m_loop, address, limits,
        [this](RequestId id, const HttpRequest &request) { onRequest(id, request); },
        [this](RequestId id) { onClosed(id); });
    if (!isOk(server))
        return errorOf(server);
    m_server = std::move(valueOf(server));
    return std::nullopt;
}

void DispatchCallers::answer(CallerId caller, const DispatchAnswer &answer)
{
    const RequestId id{caller.value};
    const auto arrived = m_arrivalTimes.extract(id);
    if (arrived.empty())
        return;
    m_metrics.add("cactuscove_jobs_answered_total",
                  {{"outcome", std::string(nameOf(answer.outcome))}, {"reason", answer.reason}});
    m_metrics.observeSeconds("cactuscove_job_seconds",
                             {{"outcome", std::string(nameOf(answer.outcome))}},
                             std::chrono::duration<double>(bootNow() - arrived.mapped()).count());
    respond(id, platform::formatAnswer(answer));
}

void DispatchCallers::respond(RequestId id, HttpResponse response)
{
    if (m_isClosingConnections)
        response.headers["Connection"] = "close";
    m_server->respond(id, std::move(response));
}

void DispatchCallers::onRequest(RequestId id, const HttpRequest &request)
{
    const DispatchConfig &config = m_dispatcher.config();
    if (config.version == 0 || m_isRefusingJobs)
        return respond(id, platform::formatNotReady(NotReadyRetryDelay));
    const auto host = request.headers.find("host");
    const QueueMatch match
        = matchQueue(config, host == request.headers.end() ? "" : host->second, request.path);
    if (!match.queue)
        return respond(id, platform::formatNoQueue());
    if (request.method == "GET" && match.pathSuffix.empty())
        return respond(id, platform::formatQueueState(m_dispatcher.waitingJobs(match.queue->name)));
    if (!platform::isJobId(match.pathSuffix))
        return respond(id, platform::formatError({"id", "not a job's id"}));
    if (request.method != "POST")
        return respond(id, platform::formatUnknownJob());
    auto job = platform::parseJob(match.pathSuffix, request.body);
    if (!isOk(job)) {
        m_handlers.log({Severity::Info,
                        "job_invalid",
                        {{"job", std::string(match.pathSuffix)},
                         {"queue", match.queue->name},
                         {"field", errorOf(job).field},
                         {"reason", errorOf(job).reason}}});
        return respond(id, platform::formatError(errorOf(job)));
    }
    valueOf(job).queue = match.queue->name;
    m_arrivalTimes[id] = bootNow();
    const Duration timeout
        = platform::callerTimeout(request).value_or(defaultCallerTimeout(*match.queue));
    m_handlers.onJob(CallerId{id.value}, std::move(valueOf(job)), timeout);
}

void DispatchCallers::onClosed(RequestId id)
{
    if (m_arrivalTimes.erase(id) > 0) // otherwise it was answered
        m_handlers.onCallerLeft(CallerId{id.value});
}

} // namespace cactuscove
