// Command line, settings, signals, metrics server and entry addresses of the best-effort processes.

#include "dispatchprocess.h"

#include "address.h"
#include "logging.h"
#include "settings.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <random>
#include <unistd.h>

namespace cactuscove {

namespace po = boost::program_options;

namespace {

constexpr int HandledSignals[] = {SIGTERM, SIGINT, SIGHUP};
// Entries that an agent connects to and takes tasks from. With A agents and E entries each entry is
// connected to A * 8 / E agents: with five agents per entry to about 40. It is then rare that all
// their workers are busy while workers of other agents are free.
constexpr std::size_t EntriesPerAgent = 8;
// Other entries that an entry connects to, in addition to those that connect to it.
constexpr std::size_t EntriesPerEntry = 3;
constexpr std::size_t MaxLoggedAddress = 64; // bytes of an invalid address in the log
constexpr ExitStatus Success{0};
constexpr ExitStatus UsageError{2};

void setSignalMask(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : HandledSignals)
        sigaddset(&signals, signal);
    sigprocmask(how, &signals, nullptr);
}

Incarnation newIncarnation()
{
    std::random_device device;
    const std::uint64_t value = static_cast<std::uint64_t>(device()) << 32 | device();
    return Incarnation{value | 1}; // 0 names no process
}

// Returns the begin of an address that is not valid, for the log.
std::string printable(std::string_view address)
{
    std::string text(address.substr(0, MaxLoggedAddress));
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
    return text;
}

std::string_view nameOf(Role role)
{
    return role == Role::Entry ? "entry" : "agent";
}

// Values of the flags as given. They are checked once the settings file is known.
struct FeatureFlagValues
{
    std::string scarcity;
    std::string workerRecords = "off"; // not a flag of entries
    std::string operatorCopies = "0";  // not a flag of agents
};

// Default of a flag: the environment variable, else `byDefault`.
std::string defaultOf(const char *variable, const char *byDefault)
{
    const char *value = std::getenv(variable);
    return value ? value : byDefault;
}

// Sets the features, and adds a line for each flag with an unknown value to `errors`.
FeatureFlags featuresOf(const FeatureFlagValues &words, const platform::PlatformSettings &settings,
                        std::vector<std::string> &errors)
{
    FeatureFlags features;
    features.hasScarcityControl
        = words.scarcity == "on"
          || (words.scarcity == "auto" && settings.toleratedDataCentreLosses > 0);
    if (words.scarcity != "on" && words.scarcity != "off" && words.scarcity != "auto")
        errors.push_back("--scarcity=" + words.scarcity + ": not off, on or auto");
    features.hasWorkerRecords = words.workerRecords == "on";
    if (words.workerRecords != "on" && words.workerRecords != "off")
        errors.push_back("--worker-records=" + words.workerRecords + ": not off or on");
    const char *end = words.operatorCopies.data() + words.operatorCopies.size();
    const auto [rest, ec]
        = std::from_chars(words.operatorCopies.data(), end, features.operatorCopies);
    if (ec != std::errc() || rest != end || features.operatorCopies < 0
        || features.operatorCopies > static_cast<int>(settings.storePartitions))
        errors.push_back("--operator-copies=" + words.operatorCopies + ": not a number from 0 to "
                         + std::to_string(settings.storePartitions)
                         + ", the number of partitions of a topic");
    return features;
}

// Parses the flags only: the file and the addresses that they name are not checked.
std::variant<LoadedSettings, ExitStatus> parseFlags(Role role, const std::string &program,
                                                    std::span<const std::string> arguments,
                                                    FeatureFlagValues &words)
{
    const char *variable = std::getenv(platform::SettingsPathVariable);
    LoadedSettings loaded;
    po::options_description options(program + " [flags]\n\nFlags");
    auto add = options.add_options();
    add("settings", po::value(&loaded.path)->default_value(variable ? variable : ""),
        "settings file of the platform (TOML); default: the variable CACTUSCOVE_BOOT");
    if (role == Role::Entry)
        add("link-listen", po::value(&loaded.linkListen),
            "ip:port to listen on for other instances, if it differs from the address by which "
            "they reach this one, for example behind a port forwarding");
    add("scarcity",
        po::value(&words.scarcity)->default_value(defaultOf("CACTUSCOVE_SCARCITY", "off")),
        "control of scarce capacity: off, on, or auto (on if the settings say that the loss of a "
        "data centre must be carried)");
    if (role == Role::Entry)
        add("operator-copies",
            po::value(&words.operatorCopies)
                ->default_value(defaultOf("CACTUSCOVE_OPERATOR_COPIES", "0")),
            "partitions of the store that hold a copy of the operators' records; 0: none");
    else
        add("worker-records",
            po::value(&words.workerRecords)
                ->default_value(defaultOf("CACTUSCOVE_WORKER_RECORDS", "off")),
            "keep the description of the worker in the store: off or on");
    add("help", "print this text");
    po::variables_map values;
    try {
        const std::vector<std::string> given(arguments.begin(), arguments.end());
        po::store(po::command_line_parser(given).options(options).positional({}).run(), values);
        po::notify(values);
    } catch (const po::error &error) {
        std::fprintf(stderr, "%s: %s\n", program.c_str(), error.what());
        return UsageError;
    }
    if (!values.count("help"))
        return loaded;
    std::cout << options;
    return Success;
}

// Checks the flags and reads the settings file into `loaded`. Returns all mistakes; empty: none.
std::vector<std::string> checkAndReadSettings(Role role, const FeatureFlagValues &words,
                                              LoadedSettings &loaded)
{
    std::vector<std::string> errors;
    if (!loaded.linkListen.empty() && !isAddress(loaded.linkListen))
        errors.push_back("--link-listen=" + loaded.linkListen + ": not ip:port");
    if (loaded.path.empty()) {
        errors.emplace_back("--settings: missing, and CACTUSCOVE_BOOT is not set");
        return errors;
    }
    auto settings = platform::readSettings(loaded.path, role);
    if (!isOk(settings)) {
        for (const std::string &it : errorOf(settings).lines)
            errors.push_back(loaded.path + ": " + it);
        return errors;
    }
    loaded.settings = std::move(valueOf(settings));
    if (loaded.linkListen.empty())
        loaded.linkListen = loaded.settings.linkAddress;
    loaded.features = featuresOf(words, loaded.settings, errors);
    return errors;
}

} // namespace

void blockSignals()
{
    setSignalMask(SIG_BLOCK);
}

std::variant<LoadedSettings, ExitStatus>
loadPlatformSettings(Role role, std::span<const std::string> arguments)
{
    const std::string program = "cactuscove dispatch-" + std::string(nameOf(role));
    FeatureFlagValues words;
    auto flags = parseFlags(role, program, arguments, words);
    if (!isOk(flags))
        return flags;
    LoadedSettings &loaded = valueOf(flags);
    const std::vector<std::string> errors = checkAndReadSettings(role, words, loaded);
    for (const std::string &it : errors)
        std::fprintf(stderr, "%s: %s\n", program.c_str(), it.c_str());
    if (!errors.empty())
        return UsageError;
    return flags;
}

DispatchProcess::DispatchProcess(Role role, platform::PlatformSettings settings,
                                 std::string settingsPath)
    : m_role(role)
    , m_settings(std::move(settings))
    , m_settingsPath(std::move(settingsPath))
    , m_incarnation(newIncarnation())
    , m_log(m_loop, nameOf(role), m_settings.instance, STDOUT_FILENO)
    , m_http(m_loop)
    , m_selection(m_settings.instance, 1)
{}

void DispatchProcess::log(const LogEvent &event)
{
    m_metrics.add("cactuscove_events_total", {{"event", event.name}});
    m_log.write(event);
}

int DispatchProcess::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    for (const int signal : {SIGTERM, SIGINT})
        m_loop.onSignal(signal, [this] {
            if (m_isShuttingDown)
                return;
            m_isShuttingDown = true;
            log({Severity::Info, "shutdown_started", {}});
            beginShutdown();
        });
    m_loop.onSignal(SIGHUP, [this] { reloadSettings(); });
    setSignalMask(SIG_UNBLOCK);
    log({Severity::Info,
         "process_started",
         {{"version", std::string(version())},
          {"incarnation", std::to_string(m_incarnation.value)},
          {"data_centre", m_settings.dataCentre},
          {"seeds", std::to_string(m_settings.seedLinkAddresses.size())}}});
    for (const std::string &it : m_settings.seedLinkAddresses)
        addEntryAddress(it, "settings");
    m_loop.run();
    log({Severity::Info, "process_stopped", {}});
    m_log.flush();
    return 0;
}

// Only the seeds are taken over: this process cannot change its own addresses while it runs.
void DispatchProcess::reloadSettings()
{
    const auto settings = platform::readSettings(m_settingsPath, m_role);
    if (!isOk(settings)) {
        for (const std::string &it : errorOf(settings).lines)
            log({Severity::Error, "settings_refused", {{"reason", it}}});
        return;
    }
    log({Severity::Info, "settings_reloaded", {{"path", m_settingsPath}}});
    m_settings.seedLinkAddresses = valueOf(settings).seedLinkAddresses;
    for (const std::string &it : m_settings.seedLinkAddresses)
        addEntryAddress(it, "settings");
}

bool DispatchProcess::addEntryAddress(const std::string &address, std::string_view source)
{
    if (address == m_settings.linkAddress)
        return false;
    if (!isRemoteAddress(address)) {
        log({Severity::Warning,
             "entry_address_ignored",
             {{"address", printable(address)}, {"source", std::string(source)}}});
        return false;
    }
    if (!m_selection.add(address))
        return false;
    log({Severity::Info, "entry_known", {{"address", address}, {"source", std::string(source)}}});
    onEntryAddressAdded(address);
    return true;
}

void DispatchProcess::followEntryAddresses()
{
    StoreFollowerSettings settings;
    settings.store = m_settings.storeAddress;
    settings.topic = platform::productTopic(EntryAddressTopic);
    // Entries also send each other's addresses, so it does little harm if a broken connection to
    // the store is found late.
    settings.readWait = std::chrono::seconds(15);
    settings.stallTimeout = std::chrono::milliseconds(15500);
    settings.seed = m_incarnation.value;
    m_entryFollower = std::make_unique<StoreFollower>(
        m_loop, m_http, std::move(settings),
        StoreFollower::Handlers{
            [this](const platform::StoreRecord &record) {
                if (!record.value.empty()) // not deleted
                    addEntryAddress(record.value, "store");
            },
            [this](bool isReachable, const std::string &detail) {
                m_metrics.set("cactuscove_log_reachable", {}, isReachable);
                log({isReachable ? Severity::Info : Severity::Warning,
                     isReachable ? "store_regained" : "store_lost",
                     {{"topic", EntryAddressTopic}, {"detail", detail}}});
            },
            {},
            [this](std::string_view key) { log(unreadableRecordEvent(EntryAddressTopic, key)); },
            [this](const FailedRead &read) { log(failedReadEvent(EntryAddressTopic, read)); }});
}

void DispatchProcess::addEntryAddresses(const KnownEntries &known)
{
    for (const std::string &address : known.addresses)
        addEntryAddress(address, "entry");
    m_selection.setConnectionCount(m_role == Role::Agent ? EntriesPerAgent : EntriesPerEntry);
}

bool DispatchProcess::isHeartbeatDue(const FramedLink &link) const
{
    return m_heartbeatTicks % HeartbeatsPerClockUpdate == 0
           || m_loop.now() - link.sentAt() > RecentSendTime;
}

std::optional<StartupError> DispatchProcess::serveMetrics()
{
    auto server = HttpServer::listen(
        m_loop, m_settings.metricsAddress, {}, [this](RequestId id, const HttpRequest &request) {
            if (request.path == "/metrics")
                m_metricsServer->respond(id, {200, metricsText(), "text/plain; version=0.0.4", {}});
            else
                m_metricsServer->respond(id, {404, "{\"error\":\"not_found\"}\n"});
        });
    if (!isOk(server))
        return StartupError{errorOf(server).reason};
    m_metricsServer = std::move(valueOf(server));
    return std::nullopt;
}

} // namespace cactuscove
