// Log of the best-effort processes: format, limits, and that it never blocks.

#include "eventlog.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace cactuscove {

namespace {

class EventLogTest : public testing::Test
{
protected:
    void SetUp() override { ASSERT_EQ(pipe2(m_pipe.data(), O_CLOEXEC), 0); }
    void TearDown() override
    {
        close(m_pipe[0]);
        close(m_pipe[1]);
    }

    std::string readAll()
    {
        fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> buf;
        for (ssize_t n = 0; (n = read(m_pipe[0], buf.data(), buf.size())) > 0;)
            text.append(buf.data(), static_cast<std::size_t>(n));
        return text;
    }

    EventLoop m_loop;
    std::array<int, 2> m_pipe{};
};

} // namespace

// Guards against a field value with spaces that breaks up its line.
TEST_F(EventLogTest, AnEventIsOneLineOfFields)
{
    EventLog log(m_loop, "entry", "e1", m_pipe[1]);
    log.write({Severity::Warning, "job_refused", {{"job", "a b"}, {"wait_ms", "7"}}});
    log.flush();
    const std::string text = readAll();
    EXPECT_NE(
        text.find("level=WARNING event=job_refused role=entry instance=e1 job=\"a b\" wait_ms=7\n"),
        std::string::npos)
        << text;
}

// Guards against one kind of event with very many lines that keeps others out of the log, and
// against dropped events that are not counted.
TEST_F(EventLogTest, EachKindHasABudget)
{
    EventLog log(m_loop, "entry", "e1", m_pipe[1], {5, 1 << 20});
    for (int i = 0; i < 50; ++i)
        log.write({Severity::Info, "job_refused", {}});
    log.write({Severity::Info, "config_in_force", {}});
    log.flush();
    const std::string text = readAll();
    EXPECT_LE(std::count(text.begin(), text.end(), '\n'), 12);
    EXPECT_NE(text.find("config_in_force"), std::string::npos);
    EXPECT_GE(log.droppedEvents(), 40u);
}

// Guards against a process that blocks because nobody reads its log.
TEST_F(EventLogTest, AFullPipeDoesNotBlock)
{
    EventLog log(m_loop, "entry", "e1", m_pipe[1], {1'000'000, 64 << 10});
    for (int i = 0; i < 5000; ++i) {
        log.write({Severity::Info, "task_ended", {{"text", std::string(100, 'x')}}});
        log.flush();
    }
    EXPECT_GT(log.droppedEvents(), 0u);
}

} // namespace cactuscove
