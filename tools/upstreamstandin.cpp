// A small upstream for tests: runs tasks by waiting, announces itself to the agent beside it and
// records every start. `PUT /faults` makes it misbehave.
//
//   POST /run    {job, task, payload, lease_ms}; payload {"run_ms", "fail", "echo"} as JSON text
//   POST /stop   {job, task}
//   GET /starts  {starts: [{ms, job, task}]}, ms since the process started
//   PUT /faults  {fail_all, straggle_factor, close_after_start, close_reused}; fields left out are
//                reset
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

constexpr Duration StartTime = std::chrono::milliseconds(50); // of a task that asks for none

struct Options
{
    std::string listen;
    std::string agent; // empty: announces itself to nobody
    std::string upstream;
    std::string incarnation;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t memoryMb = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t leaseMs = 0;
};

struct Faults
{
    bool failAll = false;
    double straggleFactor = 1;
    bool closeAfterStart = false; // a task starts and its connection closes without an answer
    bool closeReused = false;     // the same, only on reused connections
};

std::string write(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value) + '\n';
}

// Null for text that is no JSON object.
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

Duration milliseconds(const Json::Value &value)
{
    return std::chrono::milliseconds(value.isInt64() ? value.asInt64() : 0);
}

class Standin
{
public:
    Standin(EventLoop &loop, Options options)
        : m_loop(loop)
        , m_http(loop)
        , m_options(std::move(options))
        , m_heartbeat(loop, [this] { announce(); })
        , m_begin(loop.now())
    {}

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

    // Takes no new task, tells the agent and ends when nothing runs any more.
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
        RequestId request;
        std::unique_ptr<Timer> end;
        bool isDropped = false;
    };
    using TaskKey = std::pair<std::string, std::string>; // job and task

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
        // Two repeats may be lost before the announcement lapses.
        m_heartbeat.startIn(std::chrono::milliseconds(m_options.leaseMs) / 3);
    }

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
            const bool isTaken = isOk(reply) && valueOf(reply).status / 100 == 2;
            if (!isTaken && m_isAnnounced)
                std::cerr << "agent does not take announcements\n";
            m_isAnnounced = isTaken;
            done(isTaken);
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

    void refuse(RequestId id, int status, const std::string &reason)
    {
        Json::Value body;
        body["error"] = reason;
        m_server->respond(id,
                          {status, write(body), "application/json", {{"X-Task-Started", "false"}}});
    }

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
        record(key);
        const Json::Value payload = parse(body["payload"].asString());
        Duration runTime = payload.isMember("run_ms") ? milliseconds(payload["run_ms"]) : StartTime;
        runTime = Duration(static_cast<std::int64_t>(static_cast<double>(runTime.count())
                                                     * m_faults.straggleFactor));
        const Duration lease = milliseconds(body["lease_ms"]);
        const bool isLapsed = lease < runTime;
        const bool isFailed = m_faults.failAll || payload["fail"].asBool();
        Json::Value answer;
        answer["task"] = key.second;
        answer["echo"] = payload["echo"];

        const std::uint64_t number = ++m_lastTask;
        Task &task = m_tasks[{key, number}];
        task.request = id;
        task.end = std::make_unique<Timer>(m_loop, [=, this] {
            if (isLapsed)
                finish(key, number, 500, "lease lapsed");
            else if (isFailed)
                finish(key, number, 500, "failed");
            else
                finish(key, number, 200, write(answer));
        });
        task.end->startIn(std::min(runTime, lease));
        if (m_faults.closeAfterStart || (m_faults.closeReused && !request.isFirstOnConnection)) {
            task.isDropped = true;
            m_server->closeWithoutResponse(id);
        }
    }

    // A task can start twice only by a fault of the system under test, so each start counts.
    void record(const TaskKey &key)
    {
        Json::Value start;
        start["ms"] = Json::Int64((m_loop.now() - m_begin) / std::chrono::milliseconds(1));
        start["job"] = key.first;
        start["task"] = key.second;
        m_starts["starts"].append(start);
    }

    void finish(const TaskKey &key, std::uint64_t number, int status, const std::string &body)
    {
        const auto node = m_tasks.extract({key, number});
        if (node.empty())
            return;
        if (!node.mapped().isDropped)
            m_server->respond(node.mapped().request, {status, body});
        // The timer that called this must not be destroyed inside its own callback.
        m_loop.post([timer = std::shared_ptr<Timer>(std::move(node.mapped().end))] {});
        stopIfIdle();
    }

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

    void stopIfIdle()
    {
        if (!m_hasLeft || !m_tasks.empty() || m_isStopping)
            return;
        m_isStopping = true;
        m_server->stopAccepting();
        // Leaves time for the last answers to be written.
        m_linger = std::make_unique<Timer>(m_loop, [this] { m_loop.stop(); });
        m_linger->startIn(std::chrono::milliseconds(100));
    }

    EventLoop &m_loop;
    HttpClient m_http;
    Options m_options;
    Timer m_heartbeat;
    std::unique_ptr<Timer> m_linger;
    std::unique_ptr<HttpServer> m_server;
    TimePoint m_begin;
    Faults m_faults;
    std::map<std::pair<TaskKey, std::uint64_t>, Task> m_tasks; // running, by order of start
    std::uint64_t m_lastTask = 0;
    Json::Value m_starts = [] {
        Json::Value value;
        value["starts"] = Json::Value(Json::arrayValue);
        return value;
    }();
    bool m_isAnnounced = true;
    bool m_isLeaving = false;
    bool m_hasLeft = false; // the agent was told
    bool m_isStopping = false;
};

bool readOptions(int argc, char **argv, Options &options)
{
    namespace po = boost::program_options;
    po::options_description flags("upstreamstandin");
    flags.add_options()("help", "show the options");
    flags.add_options()("listen", po::value(&options.listen)->default_value("127.0.0.1:0"),
                        "ip:port to listen on");
    flags.add_options()("agent", po::value(&options.agent),
                        "address of the agent beside it, with or without http://");
    flags.add_options()("upstream", po::value(&options.upstream)->default_value("walk-desk"),
                        "name of the upstream");
    flags.add_options()("incarnation", po::value(&options.incarnation),
                        "of this run; default: from the process id and the time");
    flags.add_options()("slots", po::value(&options.slots)->default_value(8), "tasks at a time");
    flags.add_options()("connections", po::value(&options.connections)->default_value(64),
                        "connections at a time");
    flags.add_options()("memory-mb", po::value(&options.memoryMb)->default_value(131072),
                        "memory that one task may need");
    flags.add_options()("accelerators", po::value(&options.accelerators)->default_value(0),
                        "accelerators that one task may need");
    flags.add_options()("lease-ms", po::value(&options.leaseMs)->default_value(3000),
                        "lease of an announcement");
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
    Standin standin(loop, std::move(options));
    if (!standin.listen())
        return 1;
    for (const int signal : {SIGTERM, SIGINT})
        loop.onSignal(signal, [&] { standin.leave(); });
    loop.run();
    return 0;
}
