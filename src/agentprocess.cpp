// Connects AgentNode to the upstream beside it: serves the HTTP API through which the upstream
// announces itself, and starts and stops tasks on the upstream.

#include "agentprocess.h"

#include "nodeprocess.h"
#include "upstreamapi.h"
#include "upstreamclient.h"

#include <cstdio>

namespace cactuscove {

namespace {

// Time between two checks of whether the agent must read the log itself.
constexpr std::chrono::seconds LogCheckInterval{1};

class AgentProcess : public NodeProcess<AgentNode>
{
public:
    static Result<std::unique_ptr<AgentProcess>, ProcessError>
    create(const ProcessSettings &settings)
    {
        std::unique_ptr<AgentProcess> process(new AgentProcess(settings));
        if (auto error = process->listen())
            return *std::move(error);
        process->checkLog();
        return process;
    }

private:
    explicit AgentProcess(const ProcessSettings &settings)
        : NodeProcess(settings)
        , m_upstreamClient(m_context.loop, m_context.http,
                           [this](const TaskRef &ref, std::uint32_t attempt, TaskResult result) {
                               onUpstreamResult(ref, attempt, std::move(result));
                           })
        , m_logCheckTimer(m_context.loop, [this] { checkLog(); })
    {}

    std::unique_ptr<AgentNode> makeNode(NodeSettings settings) override
    {
        return std::make_unique<AgentNode>(std::move(settings));
    }

    void handleRequest(RequestId id, HttpRequest request) override
    {
        if (request.path != "/v1/upstream")
            return respond(id, "other", {404, "{\"error\":\"not_found\"}\n"});
        if (request.method == "PUT")
            return announceUpstream(id, request);
        if (request.method == "DELETE")
            return removeUpstream(id, request);
        respond(id, request.path, {405, "{\"error\":\"method_not_allowed\"}\n"});
    }

    void announceUpstream(RequestId id, const HttpRequest &request)
    {
        const auto parsed = parseAnnouncement(request.body);
        if (!isOk(parsed))
            return respond(id, request.path,
                           {errorOf(parsed).status, formatError(errorOf(parsed))});
        handleInput([&](TimePoint now, Outbox &out) {
            m_node->onUpstreamAnnounced(valueOf(parsed), now, out);
        });
        respond(id, request.path, {200, "{}\n"});
    }

    void removeUpstream(RequestId id, const HttpRequest &request)
    {
        const auto parsed = parseLeave(request.body);
        if (!isOk(parsed))
            return respond(id, request.path,
                           {errorOf(parsed).status, formatError(errorOf(parsed))});
        handleInput([&](TimePoint now, Outbox &out) {
            m_node->onUpstreamLeft(valueOf(parsed).incarnation, now, out);
        });
        respond(id, request.path, {200, "{}\n"});
    }

    // Entries feed the log records to the agents. An agent reads the log itself only while it
    // receives no feed.
    void checkLog()
    {
        m_log.setReading(m_node->shouldReadLog(m_context.loop.now()));
        m_logCheckTimer.startIn(LogCheckInterval);
    }

    void perform(StartOnUpstream &effect) override
    {
        const TraceContext context = m_context.tracer.startSpan(&effect.trace);
        m_runningSpans[{effect.ref, effect.attempt}]
            = {context, effect.trace.spanId, m_context.loop.now()};
        effect.trace = context;
        m_upstreamClient.start(effect);
    }

    void perform(StopOnUpstream &effect) override { m_upstreamClient.stop(effect); }

    void onUpstreamResult(const TaskRef &ref, std::uint32_t attempt, TaskResult result)
    {
        const std::string status(nameOf(result.status));
        const TimePoint now = m_context.loop.now();
        m_context.metrics.add("cactuscove_upstream_starts_total", {{"result", status}});
        if (auto node = m_runningSpans.extract({ref, attempt})) {
            const RunSpan &span = node.mapped();
            m_context.metrics.observeSeconds(
                "cactuscove_upstream_seconds", {},
                std::chrono::duration<double>(now - span.startedAt).count());
            m_context.tracer.finishSpan({"upstream.run",
                                         span.context,
                                         span.parentSpanId,
                                         span.startedAt,
                                         now,
                                         {{"job", ref.key.value},
                                          {"task", std::to_string(ref.index)},
                                          {"result", status}}});
        }
        handleInput([&](TimePoint at, Outbox &out) {
            m_node->onUpstreamResult(ref, attempt, std::move(result), at, out);
        });
    }

    void updateRoleMetrics() override
    {
        const Ledger &ledger = m_node->ledger();
        m_context.metrics.set("cactuscove_shards_owned", {},
                              static_cast<double>(ledger.shardsOf(m_context.self).size()));
        for (const LoadReport &it : m_node->loads(m_context.loop.now())) {
            if (it.agent != m_context.self)
                continue;
            m_context.metrics.set("cactuscove_upstream_slots", {}, it.slots);
            m_context.metrics.set("cactuscove_upstream_free_slots", {}, it.freeSlots);
            m_context.metrics.set("cactuscove_tasks_queued", {}, it.queued);
        }
    }

    // The span of a task that the upstream is running.
    struct RunSpan
    {
        TraceContext context;
        std::string parentSpanId;
        TimePoint startedAt;
    };

    UpstreamClient m_upstreamClient;
    Timer m_logCheckTimer;
    std::map<std::pair<TaskRef, std::uint32_t>, RunSpan> m_runningSpans; // by task and attempt
};

} // namespace

int runAgent(const ProcessSettings &settings)
{
    auto process = AgentProcess::create(settings);
    if (isOk(process))
        return valueOf(process)->run();
    std::fprintf(stderr, "cactuscove agent: %s\n", errorOf(process).reason.c_str());
    return 1;
}

} // namespace cactuscove
