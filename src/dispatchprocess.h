// What the two best-effort processes share: settings, loop, log, metrics, known entries.

#pragma once

#include "entryselection.h"
#include "eventlog.h"
#include "eventloop.h"
#include "framedlink.h"
#include "httpclient.h"
#include "httpserver.h"
#include "metrics.h"
#include "platform.h"
#include "storefollower.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace cactuscove {

// Each side of a connection between an entry and an agent sends at least this often, and a part of
// the interval later at most, so that silence is found soon.
inline constexpr Duration BeatInterval = std::chrono::milliseconds(100);
// A message that was sent this short a time ago counts as the beat.
inline constexpr Duration RecentlySent = std::chrono::milliseconds(40);
// Beats with the sender's clock, also on a connection that is busy.
inline constexpr int ClockBeats = 10; // one of as many
// A connection on which nothing came for this long is replaced.
inline constexpr Duration LinkSilence = std::chrono::milliseconds(350);

// Topic with the link address of each entry, by its instance's name.
inline constexpr char EntriesTopic[] = "entries";

struct DispatchError
{
    std::string reason;
};

class DispatchProcess
{
public:
    virtual ~DispatchProcess() = default;
    DispatchProcess(const DispatchProcess &) = delete;
    DispatchProcess &operator=(const DispatchProcess &) = delete;

    int run();

protected:
    DispatchProcess(Role role, platform::PlatformSettings settings, std::string settingsPath);

    void log(const LogEvent &event);
    // Follows the entries' topic; onEntryAddress() gets each address that is not known yet.
    void followEntries();
    bool addEntryAddress(const std::string &address, std::string_view source);
    // Takes all that another process knows. Until the first such list only one connection is kept,
    // so that a fleet that starts as a whole does not connect to the few entries of its settings.
    void addEntryAddresses(const KnownEntries &known);
    // A beat is due on the connection at this turn of the beat timer.
    bool isBeatDue(const FramedLink &link) const;
    std::optional<DispatchError> serveMetrics();

    virtual void onEntryAddress(const std::string &address) = 0; // already in m_selection
    virtual void beginShutdown() = 0;
    virtual std::string metricsText() = 0;

    Role m_role;
    platform::PlatformSettings m_settings;
    std::string m_settingsPath;
    Incarnation m_self;
    EventLoop m_loop;
    EventLog m_log;
    Metrics m_metrics;
    HttpClient m_http;
    EntrySelection m_selection; // of the entries that are known, the own one not included
    int m_beats = 0;            // turns of the beat timer
    std::unique_ptr<StoreFollower> m_entriesFollower;
    bool m_shuttingDown = false;

private:
    void reload();

    std::unique_ptr<HttpServer> m_metricsServer;
};

struct LoadedSettings
{
    platform::PlatformSettings settings;
    std::string path;       // of the settings file
    std::string linkListen; // where an entry listens for other instances
};

using ExitStatus = StrongId<struct ExitStatusTag, int>;

// Keeps signals pending until the event loop handles them. To be called first: before that they end
// the process.
void holdSignals();

// Reads the flags and the settings file. Where there is nothing to run, prints the help or every
// mistake and returns the exit status of the process.
std::variant<LoadedSettings, ExitStatus>
loadPlatformSettings(Role role, std::span<const std::string> arguments);

} // namespace cactuscove
