// Connects EntryNode to the HTTP APIs of callers and operators.

#include "entryprocess.h"

#include "callerapi.h"
#include "entrynode.h"
#include "nodeprocess.h"
#include "operatorapi.h"

#include <cstdio>

namespace cactuscove {

namespace {

constexpr std::string_view JobsPath = "/v1/jobs";

class EntryProcess : public NodeProcess<EntryNode>
{
public:
    static Result<std::unique_ptr<EntryProcess>, ProcessError>
    create(const ProcessSettings &settings)
    {
        std::unique_ptr<EntryProcess> process(new EntryProcess(settings));
        if (auto error = process->listen())
            return *std::move(error);
        process->m_log.setReading(true);
        return process;
    }

private:
    // An HTTP request of a caller that the node has not answered yet.
    struct PendingRequest
    {
        std::string traceId; // of the trace that the job belongs to
        TimePoint since;     // when the request arrived
    };

    explicit EntryProcess(const ProcessSettings &settings)
        : NodeProcess(settings)
    {}

    std::unique_ptr<EntryNode> makeNode(NodeSettings settings) override
    {
        auto node
            = std::make_unique<EntryNode>(std::move(settings), m_context.settings.logRetention);
        m_operatorApi.emplace(m_context.loop, m_context.self, node->ledger(), operatorHooks());
        return node;
    }

    OperatorApiHooks operatorHooks()
    {
        OperatorApiHooks hooks;
        hooks.isReady = [this] { return m_node->isActive(); };
        hooks.isLogReachable = [this] { return m_log.isReachable(); };
        hooks.loads = [this] { return m_node->loads(m_context.loop.now()); };
        hooks.append = [this](Record record) { m_log.append(std::move(record)); };
        hooks.withdraw = [this](const std::string &appendId) { return m_log.withdraw(appendId); };
        hooks.respond = [this](RequestId id, HttpResponse reply) {
            respond(id, "operators", std::move(reply));
        };
        return hooks;
    }

    void onLedgerChange() override { m_operatorApi->onLedgerChange(); }

    void handleRequest(RequestId id, HttpRequest request) override
    {
        if (request.path == JobsPath || request.path.starts_with("/v1/jobs/"))
            return handleCaller(id, request);
        if (!m_operatorApi->handle(id, request))
            respond(id, "other", {404, "{\"error\":\"not_found\"}\n"});
    }

    void handleCaller(RequestId id, const HttpRequest &request)
    {
        const std::string route(JobsPath);
        if (!m_node->acceptsJobs())
            return respond(id, route, notReadyResponse());
        auto parsed = parseCallerRequest(request, m_node->ledger().fleetConfig());
        if (!isOk(parsed))
            return respond(id, route, toResponse(errorOf(parsed)));
        CallerCommand &command = valueOf(parsed);
        const TimePoint now = m_context.loop.now();
        // If the caller sent no trace context, the span of the job is the root of a new trace.
        const TraceContext trace = command.trace.value_or(
            TraceContext{m_context.tracer.startSpan(nullptr).traceId, std::string()});
        m_pendingRequests.emplace(id, PendingRequest{trace.traceId, now});
        const CallerId caller{id.value};
        const TimePoint waitUntil = now + command.wait;
        handleInput([&](TimePoint at, Outbox &out) {
            switch (command.action) {
            case CallerAction::Submit:
                m_node->submit(caller, std::move(command.spec), trace, waitUntil, at, out);
                break;
            case CallerAction::Query:
                m_node->query(caller, command.key, waitUntil, at, out);
                break;
            case CallerAction::Cancel:
                m_node->cancel(caller, command.key, waitUntil, at, out);
                break;
            }
        });
    }

    void perform(AnswerCaller &effect) override
    {
        auto node = m_pendingRequests.extract(RequestId{effect.caller.value});
        if (!node)
            return;
        const PendingRequest &pending = node.mapped();
        const TimePoint now = m_context.loop.now();
        if (const auto *answer = std::get_if<Answer>(&effect.reply)) {
            const std::string outcome(nameOf(answer->outcome));
            m_context.metrics.add("cactuscove_jobs_answered_total",
                                  {{"outcome", outcome}, {"reason", answer->reason}});
            m_context.metrics.observeSeconds(
                "cactuscove_job_seconds", {{"outcome", outcome}},
                std::chrono::duration<double>(now - pending.since).count());
        }
        respond(node.key(), std::string(JobsPath), toResponse(effect, pending.traceId));
    }

    // The caller has closed the connection. Its job continues, because the caller may ask for the
    // answer again, also at another entry.
    void onRequestClosed(RequestId id) override
    {
        if (m_pendingRequests.erase(id) > 0)
            m_node->callerDisconnected(CallerId{id.value});
    }

    void onLogReadStarted() override { m_node->onLogReadStarted(); }
    void onLogEndRead() override { m_node->onLogEndRead(); }
    void onLogReachable(bool isReachable) override
    {
        m_node->onLogReachable(isReachable, m_context.loop.now());
    }

    void updateRoleMetrics() override
    {
        m_context.metrics.set("cactuscove_remembered_keys", {},
                              static_cast<double>(m_node->rememberedKeyCount()));
    }

    std::optional<OperatorApi> m_operatorApi; // built with the node, whose ledger it reads
    // A CallerId, by which the node knows a request, has the value of the RequestId.
    std::map<RequestId, PendingRequest> m_pendingRequests;
};

} // namespace

int runEntry(const ProcessSettings &settings)
{
    auto process = EntryProcess::create(settings);
    if (isOk(process))
        return valueOf(process)->run();
    std::fprintf(stderr, "cactuscove entry: %s\n", errorOf(process).reason.c_str());
    return 1;
}

} // namespace cactuscove
