// Shell of the entry: requests of callers and operators come in, answers go out.

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
    // One HTTP request of a caller that waits for the node's reply. A CallerId has the number of
    // its RequestId.
    struct Waiting
    {
        std::string traceId;
        TimePoint since;
    };

    explicit EntryProcess(const ProcessSettings &settings)
        : NodeProcess(settings)
    {}

    std::unique_ptr<EntryNode> makeNode(NodeSettings settings) override
    {
        auto node = std::make_unique<EntryNode>(std::move(settings), m_parts.settings.logRetention);
        m_operators.emplace(m_parts.loop, m_parts.self, node->ledger(), operatorHooks());
        return node;
    }

    OperatorApiHooks operatorHooks()
    {
        OperatorApiHooks hooks;
        hooks.isReady = [this] { return m_node->isActive(); };
        hooks.isLogReachable = [this] { return m_log.isReachable(); };
        hooks.loads = [this] { return m_node->loads(m_parts.loop.now()); };
        hooks.append = [this](Record record) { m_log.append(std::move(record)); };
        hooks.withdraw = [this](const std::string &appendId) { return m_log.withdraw(appendId); };
        hooks.respond = [this](RequestId id, HttpResponse reply) {
            respond(id, "operators", std::move(reply));
        };
        return hooks;
    }

    void onLedgerChange() override { m_operators->onLedgerChange(); }

    void handleRequest(RequestId id, HttpRequest request) override
    {
        if (request.path == JobsPath || request.path.starts_with("/v1/jobs/"))
            return handleCaller(id, request);
        if (!m_operators->handle(id, request))
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
        const TimePoint now = m_parts.loop.now();
        // Without a caller's context the job's span is the first of a new trace.
        const TraceContext trace = command.trace.value_or(
            TraceContext{m_parts.tracer.child(nullptr).traceId, std::string()});
        m_waiting.emplace(id, Waiting{trace.traceId, now});
        const CallerId caller{id.value};
        const TimePoint waitUntil = now + command.wait;
        step([&](TimePoint at, Outbox &out) {
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
        auto node = m_waiting.extract(RequestId{effect.caller.value});
        if (!node)
            return;
        const Waiting &waiting = node.mapped();
        const TimePoint now = m_parts.loop.now();
        if (const auto *answer = std::get_if<Answer>(&effect.reply)) {
            const std::string outcome(nameOf(answer->outcome));
            m_parts.metrics.add("cactuscove_jobs_answered_total",
                                {{"outcome", outcome}, {"reason", answer->reason}});
            m_parts.metrics.observeSeconds(
                "cactuscove_job_seconds", {{"outcome", outcome}},
                std::chrono::duration<double>(now - waiting.since).count());
        }
        respond(node.key(), std::string(JobsPath), toResponse(effect, waiting.traceId));
    }

    // The caller hung up; its job goes on, because the caller may ask again elsewhere.
    void onRequestClosed(RequestId id) override
    {
        if (m_waiting.erase(id) > 0)
            m_node->callerDisconnected(CallerId{id.value});
    }

    void onLogReadStarted() override { m_node->onLogReadStarted(); }
    void onLogEndRead() override { m_node->onLogEndRead(); }
    void onLogReachable(bool isReachable) override
    {
        m_node->onLogReachable(isReachable, m_parts.loop.now());
    }

    void updateRoleMetrics() override
    {
        m_parts.metrics.set("cactuscove_remembered_keys", {},
                            static_cast<double>(m_node->rememberedKeyCount()));
    }

    std::optional<OperatorApi> m_operators; // built with the node, whose ledger it reads
    std::map<RequestId, Waiting> m_waiting;
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
