// Base class of the processes dispatch-entry and dispatch-agent, which handle best-effort jobs:
// owns the settings, event loop, log, metrics, HTTP client and the set of known entries. Also reads
// the command line flags and the settings file.

#pragma once

#include "entryselection.h"
#include "eventlog.h"
#include "eventloop.h"
#include "featureflags.h"
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

// Interval of the heartbeat timer. Each side of a connection between an entry and an agent sends
// something at least every LinkHeartbeatInterval + RecentSendTime, so that a broken connection is
// found soon.
inline constexpr Duration LinkHeartbeatInterval = std::chrono::milliseconds(100);
// No heartbeat is due on a connection on which a message was sent this recently.
inline constexpr Duration RecentSendTime = std::chrono::milliseconds(40);
// One heartbeat in this many is sent on busy connections too, because it carries the sender's
// clock.
inline constexpr int HeartbeatsPerClockUpdate = 10;
// An agent closes a connection to an entry on which no message arrives for this long, and connects
// again.
inline constexpr Duration LinkSilenceTimeout = std::chrono::milliseconds(350);

// Topic in the store that holds the link address ("ip:port") of each entry. The record's key is the
// name of the entry's instance.
inline constexpr char EntryAddressTopic[] = "entries";

// Why a process could not start.
struct StartupError
{
    std::string reason; // with the address that it cannot listen on
};

// A derived class adds a start() that opens its listening sockets. runDispatchEntry() or
// runDispatchAgent() creates the object, calls start() and then run().
class DispatchProcess
{
public:
    virtual ~DispatchProcess() = default;
    DispatchProcess(const DispatchProcess &) = delete;
    DispatchProcess &operator=(const DispatchProcess &) = delete;

    // Unblocks the signals, connects to the entries of the settings and runs the event loop until
    // the shutdown has finished. SIGTERM and SIGINT begin the shutdown, SIGHUP reads the settings
    // file again. Returns the exit status of the process.
    int run();

protected:
    DispatchProcess(Role role, platform::PlatformSettings settings, std::string settingsPath);

    // Writes a line to the log and counts the event by its name in the metrics.
    void log(const LogEvent &event);
    // Creates m_entryFollower, which adds each address that it reads from EntryAddressTopic.
    void followEntryAddresses();
    // Adds the link address "ip:port" of an entry to m_selection and calls onEntryAddressAdded().
    // Returns false if the address is malformed, known already or this process's own. `source`
    // is written to the log and says where the address comes from.
    bool addEntryAddress(const std::string &address, std::string_view source);
    // Adds the addresses that an entry sent. Until the first such list arrives, only one connection
    // is kept: otherwise, when a whole fleet starts, every process would connect to the few entries
    // that the settings name.
    void addEntryAddresses(const KnownEntries &known);
    // Returns true if a heartbeat must be sent on `link` in this tick of the heartbeat timer.
    bool isHeartbeatDue(const FramedLink &link) const;
    // Starts the HTTP server that answers GET /metrics with metricsText().
    std::optional<StartupError> serveMetrics();

    // Called by addEntryAddress() for each new address, after it was added to m_selection.
    virtual void onEntryAddressAdded(const std::string &address) = 0;
    // Called once, for the first SIGTERM or SIGINT. Must stop m_loop when the process may end.
    virtual void beginShutdown() = 0;
    // Returns the metrics in the text format of Prometheus. Called for each GET /metrics.
    virtual std::string metricsText() = 0;

    Role m_role;
    platform::PlatformSettings m_settings;
    std::string m_settingsPath;
    Incarnation m_incarnation; // chosen at random for each run of the process
    EventLoop m_loop;
    EventLog m_log;
    Metrics m_metrics;
    HttpClient m_http;
    EntrySelection m_selection; // knows all other entries and chooses those to connect to
    int m_heartbeatTicks = 0;   // ticks of the heartbeat timer so far
    std::unique_ptr<StoreFollower> m_entryFollower; // none before followEntryAddresses()
    bool m_isShuttingDown = false;                  // SIGTERM or SIGINT has arrived

private:
    // Reads the settings file again and adds its seed addresses; changes of other fields need a
    // restart. Logs a file with mistakes and ignores it.
    void reloadSettings();

    std::unique_ptr<HttpServer> m_metricsServer;
};

// The command line flags and the settings file of a process.
struct LoadedSettings
{
    platform::PlatformSettings settings;
    std::string path; // of the settings file
    // "ip:port" on which an entry listens for connections of agents and other entries. Differs from
    // settings.linkAddress behind a port forwarding; not used by an agent.
    std::string linkListen;
    FeatureFlags features;
};

using ExitStatus = StrongId<struct ExitStatusTag, int>;

// Blocks SIGTERM, SIGINT and SIGHUP until DispatchProcess::run() handles them. Must be called
// first: a signal that arrives earlier ends the process.
void blockSignals();

// Reads the flags in `arguments` and the settings file. For --help prints the help to standard
// output and returns exit status 0. For wrong flags or settings prints all mistakes to standard
// error and returns exit status 2.
std::variant<LoadedSettings, ExitStatus>
loadPlatformSettings(Role role, std::span<const std::string> arguments);

} // namespace cactuscove
