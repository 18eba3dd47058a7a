// The program upstreamstandin: an upstream for system tests and the demo. It announces itself to an
// agent, runs tasks by waiting for their run time, and records every start.
//
//   POST /run    {job, task, payload, lease_ms}: starts a task and answers at its end, with 200 and
//                {task, echo}, or 500. The payload is JSON text: {run_ms, fail, echo}. A request
//                that starts nothing is answered with 400, 409 or 503 and X-Task-Started: false.
//   POST /stop   {job, task}: ends the task at once
//   GET /starts  {starts: [{ms, job, task}]}, ms since the process started
//   PUT /faults  {fail_all, straggle_factor, close_after_start, close_reused}: makes it misbehave;
//                fields left out are reset
//   GET /healthz

#include "eventloop.h"
#include "httpclient.h"
#include "httpserver.h"

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdio>
#include <iostream>
#include <unistd.h>

namespace cactuscove {
namespace {

constexpr Duration DefaultRunTime = std::chrono::milliseconds(50); // of a task without run_ms

// The flags; readOptions() sets them.
struct Options
{
    std::string listen;             // ip:port
    std::string agent;              // ip:port; empty: announces itself to nobody
    std::string upstream;           // name of the upstream that it belongs to
    std::string incarnation;        // identifies this process
    std::uint32_t slots = 0;        // tasks at a time
    std::uint32_t connections = 0;  // at a time
    std::uint32_t memoryMb = 0;     // that one task may need
    std::uint32_t accelerators = 0; // that one task may need
    std::uint32_t leaseMs = 0;      // time for which an announcement is valid
};

// How it misbehaves; set by PUT /faults.
struct Faults
{
    bool failAll = false;         // every task fails at its end
    double straggleFactor = 1;    // of the run times of new tasks
    bool closeAfterStart = false; // tasks run, but their connections close without an answer
    bool closeReused = false;     // the same, but not for the first request of a connection
};

// The value as one line of JSON.
std::string write(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value) + '\n';
}

// A null value for text that is not a JSON object.
Json::Value parse(const std::string &text)
{
    Json::Value value;
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)
        || !value.isObject())
        return {};
    return value;
}

// A number of milliseconds as a duration; 0 if the value is not an integer.
Duration milliseconds(const Json::Value &value)
{
    return std::chrono::milliseconds(value.isInt64() ? value.asInt64() : 0);
}

class UpstreamStandin
{
public:
    UpstreamStandin(EventLoop &loop, Options options)
        : m_loop(loop)
        , m_http(loop)
        , m_options(std::move(options))
        , m_heartbeat(loop, [this] { announce(); })
        , m_startTime(loop.now())
    {}

    // Listens, prints the address and announces itself; false if it cannot listen.
    bool listen()
    {
        HttpServerLimits limits;
        limits.maxConnections = m_options.connections;
        auto listened = HttpServer::listen(
            m_loop, m_options.listen, limits,
            [this](RequestId id, const HttpRequest &request) { handle(id, request); });
        if (!isOk(listened)) {
            std::cerr << errorOf(listened).reason << '\n';
            return false;
        }
        m_server = std::move(valueOf(listened));
        std::cout << "listening on " << m_server->address() << " incarnation "
                  << m_options.incarnation << std::endl;
        announce();
        return true;
    }

    // Refuses new tasks, tells the agent that it leaves, and stops the loop when no task runs.
    void leave()
    {
        if (m_isLeaving)
            return;
        m_isLeaving = true;
        m_heartbeat.stop();
        Json::Value body;
        body["incarnation"] = m_options.incarnation;
        callAgent("DELETE", body, [this](bool) {
            m_hasLeft = true;
            stopIfIdle();
        });
    }

private:
    struct Task
    {
        RequestId request;            // answered at the end of the task
        std::unique_ptr<Timer> timer; // fires when the run time or the lease is over
        bool isDropped = false;       // the connection was closed by a fault, so there is no answer
    };
    using TaskKey = std::pair<std::string, std::string>; // job and task

    // Tells the agent what this upstream offers, and schedules the next announcement.
    void announce()
    {
        Json::Value body;
        body["upstream"] = m_options.upstream;
        body["incarnation"] = m_options.incarnation;
        body["address"] = m_server->address();
        body["slots"] = m_options.slots;
        body["connections"] = m_options.connections;
        body["memory_mb"] = m_options.memoryMb;
        body["accelerators"] = m_options.accelerators;
        body["lease_ms"] = m_options.leaseMs;
        callAgent("PUT", body, [](bool) {});
        // Two announcements may be lost before the lease of the last one ends.
        m_heartbeat.startIn(std::chrono::milliseconds(m_options.leaseMs) / 3);
    }

    // Calls the agent's /v1/upstream; `done` gets whether the agent answered with success.
    void callAgent(const char *method, const Json::Value &body,
                   const std::function<void(bool)> &done)
    {
        if (m_options.agent.empty())
            return m_loop.post([done] { done(true); });
        HttpCall call;
        call.method = method;
        call.url = "http://" + m_options.agent + "/v1/upstream";
        call.body = write(body);
        call.timeout = std::chrono::milliseconds(m_options.leaseMs) / 3;
        m_http.start(std::move(call), [this, done](const Result<HttpReply, HttpCallError> &reply) {
            const bool isAccepted = isOk(reply) && valueOf(reply).status / 100 == 2;
            if (!isAccepted && m_isAnnounced)
                std::cerr << "the agent does not accept announcements\n";
            m_isAnnounced = isAccepted;
            done(isAccepted);
        });
    }

    void handle(RequestId id, const HttpRequest &request)
    {
        if (request.method == "POST" && request.path == "/run")
            return run(id, request);
        if (request.method == "POST" && request.path == "/stop")
            return stop(id, request);
        if (request.method == "GET" && request.path == "/starts")
            return m_server->respond(id, {200, write(m_starts)});
        if (request.method == "PUT" && request.path == "/faults")
            return setFaults(id, request);
        if (request.path == "/healthz")
            return m_server->respond(id, {200, "{}\n"});
        m_server->respond(id, {404, "{\"error\":\"no such path\"}\n"});
    }

    // Answers a request to run a task that does not start it.
    void refuse(RequestId id, int status, const std::string &reason)
    {
        Json::Value body;
        body["error"] = reason;
        m_server->respond(id,
                          {status, write(body), "application/json", {{"X-Task-Started", "false"}}});
    }

    // Starts a task; its timer calls finish().
    void run(RequestId id, const HttpRequest &request)
    {
        const Json::Value body = parse(request.body);
        if (!body["job"].isString() || !body["task"].isString() || !body["lease_ms"].isInt64())
            return refuse(id, 400, "job, task and lease_ms are needed");
        const auto incarnation = request.headers.find("x-upstream-incarnation");
        if (incarnation == request.headers.end() || incarnation->second != m_options.incarnation)
            return refuse(id, 409, "another incarnation");
        if (m_isLeaving || m_tasks.size() >= m_options.slots)
            return refuse(id, 503, m_isLeaving ? "leaving" : "full");

        const TaskKey key{body["job"].asString(), body["task"].asString()};
        recordStart(key);
        const Json::Value payload = parse(body["payload"].asString());
        Duration runTime
            = payload.isMember("run_ms") ? milliseconds(payload["run_ms"]) : DefaultRunTime;
        runTime = Duration(static_cast<std::int64_t>(static_cast<double>(runTime.count())
                                                     * m_faults.straggleFactor));
        const Duration lease = milliseconds(body["lease_ms"]);
        const bool lapses = lease < runTime;
        const bool fails = m_faults.failAll || payload["fail"].asBool();
        Json::Value answer;
        answer["task"] = key.second;
        answer["echo"] = payload["echo"];

        const std::uint64_t number = ++m_lastTask;
        Task &task = m_tasks[{key, number}];
        task.request = id;
        task.timer = std::make_unique<Timer>(m_loop, [=, this] {
            if (lapses)
                finish(key, number, 500, "lease lapsed");
            else if (fails)
                finish(key, number, 500, "failed");
            else
                finish(key, number, 200, write(answer));
        });
        task.timer->startIn(std::min(runTime, lease));
        if (m_faults.closeAfterStart || (m_faults.closeReused && !request.isFirstOnConnection)) {
            task.isDropped = true;
            m_server->closeWithoutResponse(id);
        }
    }

    // Adds a start to the list of GET /starts, also if the task was started before: such a start is
    // a fault of the system under test, which tests must see.
    void recordStart(const TaskKey &key)
    {
        Json::Value start;
        start["ms"] = Json::Int64((m_loop.now() - m_startTime) / std::chrono::milliseconds(1));
        start["job"] = key.first;
        start["task"] = key.second;
        m_starts["starts"].append(start);
    }

    // Ends a run and answers its request; does nothing if the run has ended.
    void finish(const TaskKey &key, std::uint64_t number, int status, const std::string &body)
    {
        const auto node = m_tasks.extract({key, number});
        if (node.empty())
            return;
        if (!node.mapped().isDropped)
            m_server->respond(node.mapped().request, {status, body});
        // This may be the callback of the run's own timer, which must not be destroyed inside it.
        m_loop.post([timer = std::shared_ptr<Timer>(std::move(node.mapped().timer))] {});
        stopIfIdle();
    }

    // Ends all runs of a task and answers with their number.
    void stop(RequestId id, const HttpRequest &request)
    {
        const Json::Value body = parse(request.body);
        const TaskKey key{body["job"].asString(), body["task"].asString()};
        Json::Value answer;
        answer["stopped"] = 0;
        for (auto it = m_tasks.lower_bound({key, 0}); it != m_tasks.end() && it->first.first == key;
             it = m_tasks.lower_bound({key, 0})) {
            answer["stopped"] = answer["stopped"].asInt() + 1;
            finish(key, it->first.second, 500, "stopped");
        }
        m_server->respond(id, {200, write(answer)});
    }

    void setFaults(RequestId id, const HttpRequest &request)
    {
        const Json::Value body = parse(request.body);
        m_faults = {};
        m_faults.failAll = body["fail_all"].asBool();
        m_faults.closeAfterStart = body["close_after_start"].asBool();
        m_faults.closeReused = body["close_reused"].asBool();
        if (body["straggle_factor"].isNumeric())
            m_faults.straggleFactor = body["straggle_factor"].asDouble();
        m_server->respond(id, {200, "{}\n"});
    }

    // Stops the loop once the agent was told and no task runs.
    void stopIfIdle()
    {
        if (!m_hasLeft || !m_tasks.empty() || m_isStopping)
            return;
        m_isStopping = true;
        m_server->stopAccepting();
        // The loop runs on for a while, so that the last answers are written.
        m_stopTimer = std::make_unique<Timer>(m_loop, [this] { m_loop.stop(); });
        m_stopTimer->startIn(std::chrono::milliseconds(100));
    }

    EventLoop &m_loop;
    HttpClient m_http;
    Options m_options;
    Timer m_heartbeat;
    std::unique_ptr<Timer> m_stopTimer;
    std::unique_ptr<HttpServer> m_server;
    TimePoint m_startTime;
    Faults m_faults;
    std::map<std::pair<TaskKey, std::uint64_t>, Task> m_tasks; // running, by key and number
    std::uint64_t m_lastTask = 0; // number of the run that started last
    // The answer to GET /starts.
    Json::Value m_starts = [] {
        Json::Value value;
        value["starts"] = Json::Value(Json::arrayValue);
        return value;
    }();
    bool m_isAnnounced = true; // the agent has accepted the last call; limits the error output
    bool m_isLeaving = false;  // leave() was called
    bool m_hasLeft = false;    // the agent was told, or could not be
    bool m_isStopping = false; // the loop stops soon
};

// False after --help or for wrong flags; the text for the user is printed.
bool readOptions(int argc, char **argv, Options &options)
{
    namespace po = boost::program_options;
    po::options_description flags("upstreamstandin");
    flags.add_options()("help", "print this text");
    flags.add_options()("listen", po::value(&options.listen)->default_value("127.0.0.1:0"),
                        "ip:port to listen on");
    flags.add_options()("agent", po::value(&options.agent),
                        "ip:port of its agent, with or without http://");
    flags.add_options()("upstream", po::value(&options.upstream)->default_value("walk-desk"),
                        "name of the upstream");
    flags.add_options()("incarnation", po::value(&options.incarnation),
                        "identifies this process; default: from the process id and the time");
    flags.add_options()("slots", po::value(&options.slots)->default_value(8), "tasks at a time");
    flags.add_options()("connections", po::value(&options.connections)->default_value(64),
                        "connections at a time");
    flags.add_options()("memory-mb", po::value(&options.memoryMb)->default_value(131072),
                        "memory that one task may need");
    flags.add_options()("accelerators", po::value(&options.accelerators)->default_value(0),
                        "accelerators that one task may need");
    flags.add_options()("lease-ms", po::value(&options.leaseMs)->default_value(3000),
                        "ms for which an announcement is valid");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, flags), values);
        po::notify(values);
    } catch (const po::error &ex) {
        std::cerr << ex.what() << '\n';
        return false;
    }
    if (values.count("help")) {
        std::cout << flags;
        return false;
    }
    const std::string scheme = "http://";
    if (options.agent.starts_with(scheme))
        options.agent.erase(0, scheme.size());
    if (options.incarnation.empty()) {
        const auto time = std::chrono::system_clock::now().time_since_epoch().count();
        options.incarnation = std::to_string(getpid()) + '-' + std::to_string(time);
    }
    return true;
}

} // namespace
} // namespace cactuscove

int main(int argc, char **argv)
{
    using namespace cactuscove;
    Options options;
    if (!readOptions(argc, argv, options))
        return 2;
    EventLoop loop;
    UpstreamStandin standin(loop, std::move(options));
    if (!standin.listen())
        return 1;
    for (const int signal : {SIGTERM, SIGINT})
        loop.onSignal(signal, [&] { standin.leave(); });
    loop.run();
    return 0;
}
