// Operator commands against the operator APIs of two entries that share one log.

#include "fleetconfig.h"
#include "ledger.h"
#include "logclient.h"
#include "operatorapi.h"
#include "operatorcommands.h"

#include "../tools/logstandinserver.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <future>
#include <mutex>
#include <sstream>
#include <thread>

namespace cactuscove {
namespace {

using namespace std::chrono_literals;
using testing::AllOf;
using testing::HasSubstr;

const std::string ValidFile = "version: 1\nid_memory: 2m\n";
const std::string OtherFile = "version: 1\nid_memory: 3m\n";

// The parts of an entry process that operator commands need.
struct TestEntry
{
    TestEntry(EventLoop &loop, HttpClient &http, const std::string &logAddress,
              Incarnation incarnation)
        : log(loop, http, {"http://" + logAddress, "cactuscove", incarnation.value, 0s, 300ms},
              {[this](const std::vector<LogRecord> &records, LogOffset) {
                   for (const LogRecord &it : records)
                       ledger.apply(it);
                   api.onLedgerChange();
               },
               [](const SnapshotRecord &) {}})
        , api(loop, incarnation, ledger,
              {[] { return true; }, [this] { return log.isReachable(); },
               [] {
                   return std::vector<LoadReport>{{Incarnation{9}, "walk-desk", 3, 8}};
               },
               [this](Record record) { log.append(std::move(record)); },
               [this](const std::string &appendId) { return log.withdraw(appendId); },
               [this](RequestId id, HttpResponse reply) { server->respond(id, std::move(reply)); },
               600ms})
    {
        auto listened = HttpServer::listen(loop, "127.0.0.1:0", {},
                                           [this](RequestId id, const HttpRequest &request) {
                                               if (!api.handle(id, request))
                                                   server->respond(id, {404});
                                           });
        server = std::move(valueOf(listened));
        log.setReading(true);
    }

    Ledger ledger;
    LogClient log;
    OperatorApi api;
    std::unique_ptr<HttpServer> server;
};

struct CommandResult
{
    ExitCode exit;
    std::string out;
    std::string err;
};

// Runs two entries and a log stand-in on a thread of their own. Office 0 uses the first entry and
// office 1 the second.
class OperatorTest : public testing::Test
{
protected:
    void SetUp() override
    {
        std::promise<void> ready;
        m_thread = std::thread([this, &ready] { serve(ready); });
        ready.get_future().wait();
        for (const std::string &url : urls)
            waitFor([&] {
                return run({"status"}, url).out.find("log: reachable") != std::string::npos;
            });
    }

    void TearDown() override
    {
        onLoop([this] { m_loop->stop(); });
        m_thread.join();
        for (const std::string &it : m_files)
            std::remove(it.c_str());
    }

    // Runs a task on the thread of the event loop and waits for its end.
    void onLoop(std::function<void()> task)
    {
        std::promise<void> done;
        {
            const std::lock_guard guard(m_mutex);
            m_tasks.push_back([&] {
                task();
                done.set_value();
            });
        }
        done.get_future().wait();
    }

    void setFaults(std::function<void(LogFaults &)> change)
    {
        onLoop([&] { change(m_log->faults()); });
    }

    // Polls the condition for up to 5 s. Returns whether it holds.
    static bool waitFor(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 500 && !condition(); ++i)
            std::this_thread::sleep_for(10ms);
        return condition();
    }

    static CommandResult run(std::vector<std::string> arguments, const std::string &url)
    {
        arguments.push_back("--entry-url=" + url);
        std::ostringstream out;
        std::ostringstream err;
        const ExitCode exit = runOperatorCommand(arguments, out, err);
        return {exit, out.str(), err.str()};
    }

    CommandResult apply(int office, const std::string &text, const std::string &base = "")
    {
        const std::string author = office == 0 ? "ida" : "otieno";
        std::vector<std::string> arguments{"apply", fileWith(text), "--author=" + author,
                                           office == 0 ? "--office=hollisdale"
                                                       : "--office=maji-baridi"};
        if (!base.empty())
            arguments.push_back("--base=" + base);
        return run(arguments, urls[static_cast<std::size_t>(office)]);
    }

    std::string fileWith(const std::string &text)
    {
        const std::lock_guard guard(m_mutex);
        m_files.push_back(testing::TempDir() + "fleet-" + std::to_string(getpid()) + "-"
                          + std::to_string(m_files.size()) + ".yaml");
        std::ofstream(m_files.back()) << text;
        return m_files.back();
    }

    std::vector<std::string> urls;

private:
    void serve(std::promise<void> &ready)
    {
        EventLoop loop;
        HttpClient http(loop);
        auto log = LogStandinServer::listen(loop, "127.0.0.1:0");
        m_log = valueOf(log).get();
        m_loop = &loop;
        TestEntry first(loop, http, m_log->address(), Incarnation{1});
        TestEntry second(loop, http, m_log->address(), Incarnation{2});
        urls = {"http://" + first.server->address(), "http://" + second.server->address()};
        Timer tick(loop, [&] {
            tick.startIn(1ms);
            std::vector<std::function<void()>> tasks;
            {
                const std::lock_guard guard(m_mutex);
                tasks.swap(m_tasks);
            }
            for (const auto &task : tasks)
                task();
        });
        tick.startIn(1ms);
        ready.set_value();
        loop.run();
    }

    std::thread m_thread;
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_tasks;
    std::vector<std::string> m_files;
    EventLoop *m_loop = nullptr;
    LogStandinServer *m_log = nullptr;
};

TEST_F(OperatorTest, AcceptedFileIsInForceForBothOffices)
{
    const auto plan = run({"plan", fileWith(ValidFile)}, urls[0]);
    EXPECT_EQ(plan.exit, ExitCode::Success) << plan.err;
    EXPECT_THAT(plan.out, AllOf(HasSubstr("revision 0"), HasSubstr("id_memory: 10m -> 2m"),
                                HasSubstr("--base=0")));
    const auto applied = apply(0, ValidFile);
    EXPECT_EQ(applied.exit, ExitCode::Success) << applied.err;
    EXPECT_EQ(applied.out, "accepted: revision 1 by ida (hollisdale)\n");
    EXPECT_TRUE(waitFor([&] { return run({"get"}, urls[1]).out == ValidFile; }));
    EXPECT_EQ(apply(1, OtherFile).exit, ExitCode::Success);
    const auto history = run({"history"}, urls[1]);
    EXPECT_THAT(history.out, HasSubstr("revision 2 by otieno (maji-baridi)\n"
                                       "  id_memory: 2m -> 3m\n"
                                       "revision 1 by ida (hollisdale)\n"));
    const auto status = run({"status"}, urls[1]);
    EXPECT_THAT(status.out, AllOf(HasSubstr("revision 2"), HasSubstr("log: reachable")));
}

// When both offices apply a file to the same base at once, exactly one must succeed, and the other
// must be told which revision was accepted.
TEST_F(OperatorTest, LoserOfARaceIsToldTheWinner)
{
    auto first = std::async(std::launch::async, [this] { return apply(0, ValidFile, "0"); });
    auto second = std::async(std::launch::async, [this] { return apply(1, OtherFile, "0"); });
    const CommandResult a = first.get();
    const CommandResult b = second.get();
    const bool firstWon = a.exit == ExitCode::Success;
    const CommandResult &loser = firstWon ? b : a;
    EXPECT_EQ((firstWon ? a : b).exit, ExitCode::Success);
    EXPECT_EQ(loser.exit, ExitCode::Conflict);
    EXPECT_THAT(loser.err, HasSubstr(firstWon ? "revision 1 by ida (hollisdale)"
                                              : "revision 1 by otieno (maji-baridi)"));
    EXPECT_TRUE(
        waitFor([&] { return run({"get"}, urls[0]).out == (firstWon ? ValidFile : OtherFile); }));
    EXPECT_EQ(apply(0, ValidFile + "# later\n", "7").exit, ExitCode::Conflict);
}

// A refused file must change nothing, and one run must name all its errors.
TEST_F(OperatorTest, RefusedFileNamesEveryErrorAndChangesNothing)
{
    const std::string bad = "version: 1\nid_memory: soon\ncolour: red\n";
    for (const char *command : {"validate", "plan"}) {
        const auto result = run({command, fileWith(bad)}, urls[0]);
        EXPECT_EQ(result.exit, ExitCode::InvalidFile);
        EXPECT_THAT(result.err, AllOf(HasSubstr(":2: id_memory = \"soon\": must be a duration"),
                                      HasSubstr(":3: colour = \"red\": unknown field")));
    }
    const auto applied = apply(0, bad);
    EXPECT_EQ(applied.exit, ExitCode::InvalidFile);
    EXPECT_THAT(applied.err, AllOf(HasSubstr(":2: id_memory"), HasSubstr("nothing has changed")));
    EXPECT_THAT(run({"history"}, urls[0]).out, testing::IsEmpty());
}

// Guards against a file that takes effect although the operator was told that nothing has changed.
TEST_F(OperatorTest, OutageOfTheLogIsReportedAtOnce)
{
    setFaults([](LogFaults &faults) { faults.down = true; });
    EXPECT_TRUE(waitFor([&] { return apply(0, ValidFile).exit == ExitCode::Unreachable; }));
    setFaults([](LogFaults &faults) { faults.down = false; });
    EXPECT_TRUE(waitFor([&] { return apply(0, OtherFile).exit == ExitCode::Success; }));
    EXPECT_THAT(run({"history"}, urls[0]).out, Not(HasSubstr("10m -> 2m")));
    EXPECT_EQ(run({"get"}, "http://127.0.0.1:1").exit, ExitCode::Unreachable);
}

// The log service may record the file and then lose its reply. The operator must be told that the
// file was accepted, and it must not be applied twice.
TEST_F(OperatorTest, LostReplyOfTheLogIsResolved)
{
    setFaults([](LogFaults &faults) { faults.dropReplies = 1; });
    EXPECT_EQ(apply(0, ValidFile).exit, ExitCode::Success);
    EXPECT_EQ(run({"history"}, urls[0]).out.find("revision 2"), std::string::npos);
}

// A file that takes effect after the timeout must not be reported as refused, and a second attempt
// must not report a conflict with the first one.
TEST_F(OperatorTest, UnclearApplyIsReportedAsUnclearAndMayBeRepeated)
{
    setFaults([](LogFaults &faults) { faults.appendDelayMs = 900; });
    EXPECT_EQ(apply(0, ValidFile, "0").exit, ExitCode::Unclear);
    setFaults([](LogFaults &faults) { faults.appendDelayMs = 0; });
    EXPECT_TRUE(waitFor([&] { return run({"get"}, urls[0]).out == ValidFile; }));
    EXPECT_EQ(apply(0, ValidFile, "0").exit, ExitCode::Success);
}

TEST(OperatorCommands, WrongUsageNamesEveryMistake)
{
    std::ostringstream out;
    std::ostringstream err;
    const std::vector<std::string> arguments{"apply", "--base=x", "--entry-url=ftp://x"};
    EXPECT_EQ(runOperatorCommand(arguments, out, err), ExitCode::UsageError);
    for (const char *name : {"FILE", "--office", "--author", "--base", "--entry-url"})
        EXPECT_THAT(err.str(), HasSubstr(name));
    EXPECT_TRUE(isOperatorCommand("status"));
    EXPECT_FALSE(isOperatorCommand("entry"));
}

} // namespace
} // namespace cactuscove
