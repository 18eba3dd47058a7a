// Shell of the agent: the upstream's announcements come in, starts on the upstream go out.

#include "agentprocess.h"

#include "nodeprocess.h"
#include "upstreamapi.h"
#include "upstreamclient.h"

#include <cstdio>

namespace cactuscove {

namespace {

// How often an agent that still misses a feed checks whether it has to read the log itself.
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
        , m_upstream(m_parts.loop, m_parts.http,
                     [this](const TaskRef &ref, std::uint32_t attempt, TaskResult result) {
                         onUpstreamResult(ref, attempt, std::move(result));
                     })
        , m_logCheck(m_parts.loop, [this] { checkLog(); })
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
        step([&](TimePoint now, Outbox &out) {
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
        step([&](TimePoint now, Outbox &out) {
            m_node->onUpstreamLeft(valueOf(parsed).incarnation, now, out);
        });
        respond(id, request.path, {200, "{}\n"});
    }

    // Agents are fed by entries; they read the log only while they have no feed.
    void checkLog()
    {
        m_log.setReading(m_node->shouldReadLog(m_parts.loop.now()));
        m_logCheck.startIn(LogCheckInterval);
    }

    void perform(StartOnUpstream &effect) override
    {
        const TraceContext context = m_parts.tracer.child(&effect.trace);
        m_running[{effect.ref, effect.attempt}]
            = {context, effect.trace.spanId, m_parts.loop.now()};
        effect.trace = context;
        m_upstream.start(effect);
    }

    void perform(StopOnUpstream &effect) override { m_upstream.stop(effect); }

    void onUpstreamResult(const TaskRef &ref, std::uint32_t attempt, TaskResult result)
    {
        const std::string status(nameOf(result.status));
        const TimePoint now = m_parts.loop.now();
        m_parts.metrics.add("cactuscove_upstream_starts_total", {{"result", status}});
        if (auto node = m_running.extract({ref, attempt})) {
            const RunSpan &span = node.mapped();
            m_parts.metrics.observeSeconds(
                "cactuscove_upstream_seconds", {},
                std::chrono::duration<double>(now - span.startedAt).count());
            m_parts.tracer.finish({"upstream.run",
                                   span.context,
                                   span.parentSpanId,
                                   span.startedAt,
                                   now,
                                   {{"job", ref.key.value},
                                    {"task", std::to_string(ref.index)},
                                    {"result", status}}});
        }
        step([&](TimePoint at, Outbox &out) {
            m_node->onUpstreamResult(ref, attempt, std::move(result), at, out);
        });
    }

    void updateRoleMetrics() override
    {
        const Ledger &ledger = m_node->ledger();
        m_parts.metrics.set("cactuscove_shards_owned", {},
                            static_cast<double>(ledger.shardsOf(m_parts.self).size()));
        for (const LoadReport &it : m_node->loads(m_parts.loop.now())) {
            if (it.agent != m_parts.self)
                continue;
            m_parts.metrics.set("cactuscove_upstream_slots", {}, it.slots);
            m_parts.metrics.set("cactuscove_upstream_free_slots", {}, it.freeSlots);
            m_parts.metrics.set("cactuscove_tasks_queued", {}, it.queued);
        }
    }

    struct RunSpan
    {
        TraceContext context;
        std::string parentSpanId;
        TimePoint startedAt;
    };

    UpstreamClient m_upstream;
    Timer m_logCheck;
    std::map<std::pair<TaskRef, std::uint32_t>, RunSpan> m_running;
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
