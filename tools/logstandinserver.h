// A stand-in for the platform's log service, with streams in memory, long polls, trimming and
// faults. Used by the program tools/logstandin.cpp and, in process, by unit tests.
//
//   POST /streams/NAME/records  appends the body as one record: 200 {offset}
//   GET /streams/NAME/records?from=N&limit=N&wait_ms=N
//                               200 {first, records: [{offset, body}], next} as soon as there is a
//                               record from offset `from` on, or after wait_ms; 410 {first} if that
//                               record was trimmed; `first` is the oldest offset that is kept
//   PUT /faults                 sets LogFaults; the answer has all of them

#pragma once

#include "eventloop.h"
#include "httpserver.h"
#include "jsonfields.h"
#include "recordcodec.h"

#include <json/value.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cactuscove {

// How the service misbehaves. Set by PUT /faults; a field that is left out keeps its value.
struct LogFaults
{
    bool down = false;                 // connections are closed without effect or reply
    std::uint64_t delayMs = 0;         // time from the effect of any request to its reply
    std::uint64_t appendDelayMs = 0;   // time until appends take effect, also if the client is gone
    std::uint64_t dropReplies = 0;     // number of next appends that take effect but get no reply
    std::uint64_t retain = UINT64_MAX; // records kept in each stream
};

class LogStandinServer
{
public:
    // `address` is "ip:port"; port 0 chooses a free one. The loop must outlive the server.
    static Result<std::unique_ptr<LogStandinServer>, HttpServerError>
    listen(EventLoop &loop, std::string_view address)
    {
        std::unique_ptr<LogStandinServer> self(new LogStandinServer(loop));
        auto server = HttpServer::listen(
            loop, address, {.maxBodyBytes = MaxRecordBytes},
            [it = self.get()](RequestId id, const HttpRequest &request) {
                it->handle(id, request);
            },
            [it = self.get()](RequestId id) { it->removeReader(id); });
        if (!isOk(server))
            return errorOf(server);
        self->m_server = std::move(valueOf(server));
        return self;
    }

    std::string address() const { return m_server->address(); }
    LogFaults &faults() { return m_faults; }

    // Appends a record, answers the reads that wait for it and returns its offset.
    std::uint64_t append(const std::string &name, std::string body)
    {
        Stream &stream = m_streams[name];
        stream.records.push_back(std::move(body));
        trim(stream);
        answerReaders();
        return stream.next() - 1;
    }

    // The records of a stream that are kept, the oldest first.
    const std::deque<std::string> &records(const std::string &name)
    {
        return m_streams[name].records;
    }

private:
    static constexpr std::size_t MaxRecordBytes = 16 << 20;
    static constexpr std::size_t MaxReplyBytes = 2 << 20; // the record that exceeds it is the last
    static constexpr std::uint64_t MaxWaitMs = 30'000;
    static constexpr std::uint64_t MaxRecordsPerReply = 1000;

    struct Stream
    {
        std::uint64_t first = 0;         // offset of the oldest record that is kept
        std::deque<std::string> records; // that are kept
        // The offset that the next record gets.
        std::uint64_t next() const { return first + records.size(); }
    };

    // A read that has not been answered.
    struct Reader
    {
        RequestId id;
        std::string stream;
        std::uint64_t from = 0;  // first offset that it wants
        std::uint64_t limit = 0; // most records in the reply
        TimePoint until;         // answered without records at this time
    };

    explicit LogStandinServer(EventLoop &loop)
        : m_loop(loop)
        , m_timer(loop, [this] { runDueTasks(); })
    {}

    void handle(RequestId id, const HttpRequest &request)
    {
        if (request.path == "/faults")
            return handleFaults(id, request);
        if (m_faults.down)
            return m_server->closeWithoutResponse(id);
        const std::string stream = streamOf(request.path);
        if (stream.empty())
            return m_server->respond(id, {404, R"({"error":"no such path"})"});
        if (request.method == "POST")
            return handleAppend(id, stream, request.body);
        if (request.method != "GET")
            return m_server->respond(id, {405, R"({"error":"no such method"})"});
        const std::uint64_t wait = std::min(parameter(request, "wait_ms", 0), MaxWaitMs);
        m_readers.push_back({id, stream, parameter(request, "from", 0),
                             parameter(request, "limit", MaxRecordsPerReply),
                             m_loop.now() + std::chrono::milliseconds(wait)});
        // An empty task, because runDueTasks() also answers reads whose time is over.
        schedule(m_readers.back().until, [] {});
        answerReaders();
    }

    void handleAppend(RequestId id, const std::string &stream, const std::string &body)
    {
        if (m_faults.appendDelayMs == 0)
            return finishAppend(id, stream, body);
        schedule(m_loop.now() + std::chrono::milliseconds(m_faults.appendDelayMs),
                 [=, this] { finishAppend(id, stream, body); });
    }

    void finishAppend(RequestId id, const std::string &stream, const std::string &body)
    {
        const std::uint64_t offset = append(stream, body);
        if (m_faults.dropReplies > 0) {
            --m_faults.dropReplies;
            return m_server->closeWithoutResponse(id);
        }
        Json::Value json;
        json["offset"] = jsonfields::uint(offset);
        reply(id, 200, json);
    }

    void handleFaults(RequestId id, const HttpRequest &request)
    {
        const auto json = request.method == "PUT" ? readJson(request.body) : Json::Value();
        if (!isOk(json) || !setFaults(valueOf(json)))
            return m_server->respond(id, {400, R"({"error":"malformed faults"})"});
        Json::Value now;
        now["down"] = m_faults.down;
        now["delay_ms"] = jsonfields::uint(m_faults.delayMs);
        now["append_delay_ms"] = jsonfields::uint(m_faults.appendDelayMs);
        now["drop_replies"] = jsonfields::uint(m_faults.dropReplies);
        now["retain"] = jsonfields::uint(m_faults.retain);
        m_server->respond(id, {200, writeJson(now)});
    }

    // False, without effect, if a field is unknown or malformed.
    bool setFaults(const Json::Value &json)
    {
        using namespace jsonfields;
        LogFaults faults = m_faults;
        try {
            for (const std::string &name : json.getMemberNames()) {
                if (name == "down")
                    faults.down = boolean(json, "down");
                else if (name == "delay_ms")
                    faults.delayMs = number(json, "delay_ms", MaxWaitMs);
                else if (name == "append_delay_ms")
                    faults.appendDelayMs = number(json, "append_delay_ms", MaxWaitMs);
                else if (name == "drop_replies")
                    faults.dropReplies = number(json, "drop_replies");
                else if (name == "retain")
                    faults.retain = number(json, "retain");
                else
                    return false;
            }
        } catch (const FieldError &) {
            return false;
        } catch (const Json::Exception &) {
            return false; // not an object
        }
        m_faults = faults;
        if (m_faults.down) {
            for (const Reader &reader : std::exchange(m_readers, {}))
                m_server->closeWithoutResponse(reader.id);
        }
        for (auto &[name, stream] : m_streams)
            trim(stream);
        return true;
    }

    // Drops the oldest records beyond the retention.
    void trim(Stream &stream) const
    {
        for (; stream.records.size() > m_faults.retain; ++stream.first)
            stream.records.pop_front();
    }

    // Answers the reads for which there are records, or whose time is over.
    void answerReaders()
    {
        std::vector<Reader> unanswered;
        for (Reader &reader : std::exchange(m_readers, {})) {
            const Stream &stream = m_streams[reader.stream];
            if (reader.from < stream.first)
                reply(reader.id, 410, firstOf(stream));
            else if (reader.from < stream.next() || m_loop.now() >= reader.until)
                reply(reader.id, 200, recordsFrom(stream, reader));
            else
                unanswered.push_back(std::move(reader));
        }
        m_readers = std::move(unanswered);
    }

    // The bodies of replies to reads.
    static Json::Value firstOf(const Stream &stream)
    {
        Json::Value json;
        json["first"] = jsonfields::uint(stream.first);
        return json;
    }

    static Json::Value recordsFrom(const Stream &stream, const Reader &reader)
    {
        Json::Value json = firstOf(stream);
        Json::Value &records = json["records"] = Json::Value(Json::arrayValue);
        std::uint64_t next = std::min(reader.from, stream.next());
        std::size_t bytes = 0;
        for (; next < stream.next() && records.size() < reader.limit && bytes < MaxReplyBytes;
             ++next) {
            const std::string &body = stream.records[next - stream.first];
            Json::Value &record = records.append(Json::Value(Json::objectValue));
            record["offset"] = jsonfields::uint(next);
            record["body"] = body;
            bytes += body.size();
        }
        json["next"] = jsonfields::uint(next);
        return json;
    }

    // Sends a reply, delayed by the fault delayMs.
    void reply(RequestId id, int status, const Json::Value &json)
    {
        HttpResponse response{status, writeJson(json)};
        if (m_faults.delayMs == 0)
            return m_server->respond(id, std::move(response));
        schedule(m_loop.now() + std::chrono::milliseconds(m_faults.delayMs),
                 [this, id, response] { m_server->respond(id, response); });
    }

    // The request has ended, for example because its client is gone.
    void removeReader(RequestId id)
    {
        std::erase_if(m_readers, [id](const Reader &reader) { return reader.id == id; });
    }

    // Runs the task at the given time.
    void schedule(TimePoint due, std::function<void()> task)
    {
        m_tasks.emplace(due, std::move(task));
        m_timer.startAt(m_tasks.begin()->first);
    }

    // Called by m_timer: runs the tasks that are due.
    void runDueTasks()
    {
        while (!m_tasks.empty() && m_tasks.begin()->first <= m_loop.now()) {
            const auto task = std::move(m_tasks.begin()->second);
            m_tasks.erase(m_tasks.begin());
            task();
        }
        answerReaders();
        if (!m_tasks.empty())
            m_timer.startAt(m_tasks.begin()->first);
    }

    // NAME of a path "/streams/NAME/records"; empty for other paths.
    static std::string streamOf(const std::string &path)
    {
        const std::string prefix = "/streams/";
        const std::string suffix = "/records";
        if (path.size() <= prefix.size() + suffix.size() || !path.starts_with(prefix)
            || !path.ends_with(suffix))
            return {};
        return path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    }

    // A numeric parameter of the query, or `fallback` if it is missing or malformed.
    static std::uint64_t parameter(const HttpRequest &request, const std::string &name,
                                   std::uint64_t fallback)
    {
        const auto it = request.query.find(name);
        if (it != request.query.end())
            std::from_chars(it->second.data(), it->second.data() + it->second.size(), fallback);
        return fallback;
    }

    EventLoop &m_loop;
    Timer m_timer;
    std::multimap<TimePoint, std::function<void()>> m_tasks; // set by schedule(), by time
    LogFaults m_faults;
    std::map<std::string, Stream> m_streams;
    std::vector<Reader> m_readers;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace cactuscove
