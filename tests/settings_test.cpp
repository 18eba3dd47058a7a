// Settings of a process from command-line flags and environment variables.

#include "settings.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace cactuscove {
namespace {

const std::vector<std::string> Valid
    = {"--listen=127.0.0.1:7001", "--data-centre=nairobi-1", "--log-url=http://127.0.0.1:7000"};

TEST(Settings, ReadsFlagsAndDefaults)
{
    const auto read = readSettings(Role::Agent, Valid);
    ASSERT_TRUE(std::holds_alternative<ProcessSettings>(read));
    const auto &settings = std::get<ProcessSettings>(read);
    EXPECT_EQ(settings.listen, "127.0.0.1:7001");
    EXPECT_EQ(settings.logStream, "cactuscove");
    EXPECT_EQ(settings.logRetention, std::chrono::seconds(3600));
}

// If only the first mistake were reported, an operator would find the next one only after fixing it
// and starting the process again.
TEST(Settings, NamesEveryMistakeAtOnce)
{
    const std::vector<std::string> arguments
        = {"--listen=nowhere", "--log-url=ftp://x", "--log-level=loud", "--shutdown-timeout-s=0"};
    const auto read = readSettings(Role::Entry, arguments);
    ASSERT_TRUE(std::holds_alternative<SettingsErrors>(read));
    std::string all;
    for (const auto &it : std::get<SettingsErrors>(read).lines)
        all += it + '\n';
    for (const char *flag :
         {"--listen", "--data-centre", "--log-url", "--log-level", "--shutdown-timeout-s"})
        EXPECT_NE(all.find(flag), std::string::npos) << flag << " not named in:\n" << all;
}

TEST(Settings, FlagGoesBeforeEnvironmentVariable)
{
    setenv("CACTUSCOVE_DATA_CENTRE", "from-environment", 1);
    setenv("CACTUSCOVE_OFFICE", "from-environment", 1);
    const auto read = readSettings(Role::Entry, Valid);
    unsetenv("CACTUSCOVE_DATA_CENTRE");
    unsetenv("CACTUSCOVE_OFFICE");
    ASSERT_TRUE(std::holds_alternative<ProcessSettings>(read));
    EXPECT_EQ(std::get<ProcessSettings>(read).dataCentre, "nairobi-1");
    EXPECT_EQ(std::get<ProcessSettings>(read).office, "from-environment");
}

TEST(Settings, UnknownFlagIsAnErrorAndHelpIsNot)
{
    EXPECT_TRUE(std::holds_alternative<SettingsErrors>(
        readSettings(Role::Entry, std::vector<std::string>{"--listne=127.0.0.1:1"})));
    EXPECT_TRUE(std::holds_alternative<HelpText>(
        readSettings(Role::Entry, std::vector<std::string>{"--help"})));
}

} // namespace
} // namespace cactuscove
