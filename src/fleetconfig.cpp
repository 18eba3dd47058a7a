// Reads the configuration file with yaml-cpp. The read*() functions below define the name, type and
// range of each field.
//
// Each process parses every accepted file again when it reads the log, so all versions of the
// program must accept the same files. A change that makes validation stricter or looser therefore
// needs a new value of the field `version`.

#include "fleetconfig.h"

#include "durationtext.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <set>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t FileVersion = 1;

// 100 teams need about 20 KB. A ledger snapshot contains the last 20 files, so this limit keeps a
// snapshot below a few MB.
constexpr std::size_t MaxFileBytes = 65'536;
constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxReportedValueBytes = 64;

constexpr double MaxWeight = 1000;
constexpr double MinWeight = 0.001;
constexpr std::uint32_t MaxSlots = 65536;
constexpr std::uint32_t MaxRunningTasks = 10'000'000;
constexpr double MaxStartsPerSecond = 1'000'000;
// Upper limits that operators can only lower: hedges take at most 2% of the starts from other work,
// and at most half of an upstream's workers are ejected at a time.
constexpr double MaxHedgeLimit = 0.02;
constexpr double MaxEjectedFraction = 0.5;
constexpr double MaxRetryBudget = 0.5;

std::string formatNumber(double value)
{
    char buf[32];
    const auto [end, ec] = std::to_chars(std::begin(buf), std::end(buf), value);
    return {buf, end};
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameBytes
           && std::all_of(text.begin(), text.end(), [](char c) {
                  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
              });
}

// Reads one file and collects all errors. `path` in the functions below is the dotted path of a
// field, as in ConfigError::field.
class ConfigReader
{
public:
    FleetConfig readFile(const YAML::Node &node);
    void addError(int line, std::string field, std::string value, std::string reason);
    ConfigErrors takeErrors(); // sorted by line

private:
    using ReadValue = std::function<void(const YAML::Node &value, const std::string &path)>;
    struct Field
    {
        std::string_view name;
        ReadValue read;
        bool isRequired = false;
    };

    static int lineOf(const YAML::Node &node) { return node.Mark().line + 1; }
    // The value as shown in an error.
    static std::string valueText(const YAML::Node &node);
    // Returns the text of an unquoted scalar, or an empty string for any other node. A quoted
    // number is a string in YAML.
    static std::string plainText(const YAML::Node &node);
    void addError(const YAML::Node &node, const std::string &path, std::string reason);

    // Returns whether the field has a value. A missing value is reported on the line of its key,
    // because yaml-cpp gives it the position of the next line.
    bool checkPresent(const YAML::Node &key, const YAML::Node &value, const std::string &path);

    // Calls visitEntry(key, value, path) for each entry of a map. A node that is not a map, and a
    // key that occurs twice, are errors.
    template <typename Visit>
    void readEntries(const YAML::Node &node, const std::string &path, Visit visitEntry);
    // Reads a map with fixed field names. Unknown and missing required fields are errors.
    void readFields(const YAML::Node &node, const std::string &path,
                    const std::vector<Field> &fields);
    // Reader of a map from names that the operator chooses to values of type T.
    template <typename T>
    ReadValue namedMap(std::map<std::string, T> &target,
                       void (ConfigReader::*read)(const YAML::Node &, const std::string &, T &));

    // Readers of single values. They store a valid value in `target` and report any other one.
    ReadValue integer(std::uint32_t &target, std::uint32_t min, std::uint32_t max);
    ReadValue real(double &target, double min, double max);
    ReadValue duration(Duration &target, Duration min, Duration max);
    ReadValue name(std::string &target);

    void readVersion(const YAML::Node &node, const std::string &path);
    void readLimits(const YAML::Node &node, const std::string &path, LimitsConfig &limits);
    void readClass(const YAML::Node &node, const std::string &path, ClassConfig &config);
    void readTeam(const YAML::Node &node, const std::string &path, TeamConfig &config);
    void readTeamUpstreams(const YAML::Node &node, const std::string &path, TeamConfig &config);
    void readUpstream(const YAML::Node &node, const std::string &path, UpstreamConfig &config);
    void checkReferences(const FleetConfig &config);

    struct UpstreamReference
    {
        int line;
        std::string path;
        std::string upstream;
    };

    ConfigErrors m_errors;
    std::vector<UpstreamReference> m_references; // checked after the whole file has been read
};

void ConfigReader::addError(int line, std::string field, std::string value, std::string reason)
{
    m_errors.push_back({std::max(line, 1), std::move(field), std::move(value), std::move(reason)});
}

void ConfigReader::addError(const YAML::Node &node, const std::string &path, std::string reason)
{
    addError(lineOf(node), path, valueText(node), std::move(reason));
}

ConfigErrors ConfigReader::takeErrors()
{
    std::stable_sort(m_errors.begin(), m_errors.end(),
                     [](const auto &a, const auto &b) { return a.line < b.line; });
    return std::move(m_errors);
}

std::string ConfigReader::valueText(const YAML::Node &node)
{
    if (node.IsMap())
        return "(map)";
    if (node.IsSequence())
        return "(list)";
    return node.IsScalar() ? node.Scalar().substr(0, MaxReportedValueBytes) : "(empty)";
}

std::string ConfigReader::plainText(const YAML::Node &node)
{
    return node.IsScalar() && node.Tag() != "!" ? node.Scalar() : "";
}

bool ConfigReader::checkPresent(const YAML::Node &key, const YAML::Node &value,
                                const std::string &path)
{
    if (value.IsNull())
        addError(lineOf(key), path, "(empty)", "a value is missing");
    return !value.IsNull();
}

template <typename Visit>
void ConfigReader::readEntries(const YAML::Node &node, const std::string &path, Visit visitEntry)
{
    if (!node.IsMap()) {
        addError(node, path, "must be a map");
        return;
    }
    std::set<std::string> seen;
    for (const auto &entry : node) {
        if (!entry.first.IsScalar()) {
            addError(entry.first, path, "a field name must be plain text");
            continue;
        }
        const std::string key = entry.first.Scalar();
        std::string entryPath = path;
        entryPath.append(path.empty() ? "" : ".").append(key);
        if (seen.insert(key).second)
            visitEntry(entry.first, entry.second, entryPath);
        else
            addError(entry.first, entryPath, "is given twice");
    }
}

void ConfigReader::readFields(const YAML::Node &node, const std::string &path,
                              const std::vector<Field> &fields)
{
    std::set<std::string_view> present;
    readEntries(node, path, [&](const YAML::Node &key, const YAML::Node &value, const auto &at) {
        const auto it = std::find_if(fields.begin(), fields.end(), [&key](const Field &field) {
            return field.name == key.Scalar();
        });
        if (it == fields.end()) {
            std::string known;
            for (const Field &field : fields)
                known.append(known.empty() ? "" : ", ").append(field.name);
            addError(lineOf(key), at, valueText(value), "unknown field; known here: " + known);
            return;
        }
        present.insert(it->name);
        if (checkPresent(key, value, at))
            it->read(value, at);
    });
    if (!node.IsMap())
        return;
    for (const Field &field : fields) {
        if (field.isRequired && !present.contains(field.name))
            addError(lineOf(node), (path.empty() ? "" : path + ".") + std::string(field.name),
                     "(missing)", "is required");
    }
}

template <typename T>
ConfigReader::ReadValue ConfigReader::namedMap(std::map<std::string, T> &target,
                                               void (ConfigReader::*read)(const YAML::Node &,
                                                                          const std::string &, T &))
{
    return [this, &target, read](const YAML::Node &node, const std::string &path) {
        readEntries(
            node, path, [&](const YAML::Node &key, const YAML::Node &value, const auto &at) {
                if (!isName(key.Scalar())) {
                    addError(key, at, "a name must have 1 to 64 characters of a-z, 0-9, '-', '_'");
                    return;
                }
                if (checkPresent(key, value, at))
                    (this->*read)(value, at, target[key.Scalar()]);
            });
    };
}

ConfigReader::ReadValue ConfigReader::integer(std::uint32_t &target, std::uint32_t min,
                                              std::uint32_t max)
{
    return [this, &target, min, max](const YAML::Node &node, const std::string &path) {
        const std::string text = plainText(node);
        std::uint64_t value = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty() || ec != std::errc() || end != text.data() + text.size() || value < min
            || value > max) {
            addError(node, path,
                     "must be a whole number from " + std::to_string(min) + " to "
                         + std::to_string(max));
            return;
        }
        target = static_cast<std::uint32_t>(value);
    };
}

ConfigReader::ReadValue ConfigReader::real(double &target, double min, double max)
{
    return [this, &target, min, max](const YAML::Node &node, const std::string &path) {
        const std::string text = plainText(node);
        double value = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool isInRange = value >= min && value <= max; // false for "nan"
        if (text.empty() || ec != std::errc() || end != text.data() + text.size() || !isInRange) {
            addError(node, path,
                     "must be a number from " + formatNumber(min) + " to " + formatNumber(max));
            return;
        }
        target = value;
    };
}

ConfigReader::ReadValue ConfigReader::duration(Duration &target, Duration min, Duration max)
{
    return [this, &target, min, max](const YAML::Node &node, const std::string &path) {
        Duration value{};
        if (!node.IsScalar() || !parseDuration(node.Scalar(), value) || value < min
            || value > max) {
            addError(node, path,
                     "must be a duration from " + formatDuration(min) + " to " + formatDuration(max)
                         + ", such as 500ms, 30s or 10m");
            return;
        }
        target = value;
    };
}

ConfigReader::ReadValue ConfigReader::name(std::string &target)
{
    return [this, &target](const YAML::Node &node, const std::string &path) {
        if (!node.IsScalar() || !isName(node.Scalar())) {
            addError(node, path, "must have 1 to 64 characters of a-z, 0-9, '-', '_'");
            return;
        }
        target = node.Scalar();
    };
}

void ConfigReader::readVersion(const YAML::Node &node, const std::string &path)
{
    if (plainText(node) != std::to_string(FileVersion))
        addError(node, path, "must be " + std::to_string(FileVersion));
}

void ConfigReader::readLimits(const YAML::Node &node, const std::string &path, LimitsConfig &limits)
{
    readFields(node, path,
               {{"max_tasks_per_job", integer(limits.maxTasksPerJob, 1, MaxTasksPerJob)},
                {"max_body_bytes", integer(limits.maxBodyBytes, 1024, 16 << 20)},
                {"max_deadline", duration(limits.maxDeadline, 1ms, 600s)}});
}

void ConfigReader::readClass(const YAML::Node &node, const std::string &path, ClassConfig &config)
{
    readFields(node, path,
               {{"share", real(config.share, MinWeight, MaxWeight), true},
                {"queue_target", duration(config.queueTarget, 1ms, 600s), true}});
}

void ConfigReader::readTeam(const YAML::Node &node, const std::string &path, TeamConfig &config)
{
    const auto upstreams = [this, &config](const YAML::Node &value, const std::string &at) {
        readTeamUpstreams(value, at, config);
    };
    readFields(node, path,
               {{"office", name(config.office), true},
                {"weight", real(config.weight, MinWeight, MaxWeight)},
                {"max_running_tasks", integer(config.maxRunningTasks, 0, MaxRunningTasks)},
                {"max_starts_per_second", real(config.maxStartsPerSecond, 0, MaxStartsPerSecond)},
                {"upstreams", upstreams, true}});
}

void ConfigReader::readTeamUpstreams(const YAML::Node &node, const std::string &path,
                                     TeamConfig &config)
{
    if (!node.IsSequence() || node.size() == 0) {
        addError(node, path, "must be a list of at least one upstream");
        return;
    }
    for (std::size_t i = 0; i < node.size(); ++i) {
        const std::string at = path + "[" + std::to_string(i) + "]";
        std::string upstream;
        name(upstream)(node[i], at);
        if (upstream.empty())
            continue;
        if (std::find(config.upstreams.begin(), config.upstreams.end(), upstream)
            != config.upstreams.end()) {
            addError(node[i], at, "is given twice");
            continue;
        }
        config.upstreams.push_back(upstream);
        m_references.push_back({lineOf(node[i]), at, upstream});
    }
}

void ConfigReader::readUpstream(const YAML::Node &node, const std::string &path,
                                UpstreamConfig &config)
{
    const auto ejection = [this, &config](const YAML::Node &value, const std::string &at) {
        readFields(value, at,
                   {{"threshold", real(config.ejectionThreshold, 0.01, 1)},
                    {"max_fraction", real(config.maxEjectedFraction, 0, MaxEjectedFraction)}});
    };
    readFields(node, path,
               {{"slots_per_worker", integer(config.slotsPerWorker, 0, MaxSlots)},
                {"connections_per_worker", integer(config.connectionsPerWorker, 0, MaxSlots)},
                {"retry_budget", real(config.retryBudget, 0, MaxRetryBudget)},
                {"hedge_limit", real(config.hedgeLimit, 0, MaxHedgeLimit)},
                {"ejection", ejection}});
}

void ConfigReader::checkReferences(const FleetConfig &config)
{
    for (const UpstreamReference &it : m_references) {
        if (!config.upstreams.contains(it.upstream))
            addError(it.line, it.path, it.upstream, "is no upstream of this file");
    }
}

FleetConfig ConfigReader::readFile(const YAML::Node &node)
{
    FleetConfig config;
    std::map<std::string, ClassConfig> classes;
    readFields(
        node, "",
        {{"version", [this](const auto &it, const auto &at) { readVersion(it, at); }, true},
         {"id_memory", duration(config.idMemory, 1s, 1h)},
         {"limits", [&](const auto &it, const auto &at) { readLimits(it, at, config.limits); }},
         {"classes", namedMap(classes, &ConfigReader::readClass)},
         {"teams", namedMap(config.teams, &ConfigReader::readTeam)},
         {"upstreams", namedMap(config.upstreams, &ConfigReader::readUpstream)}});
    // Default classes. A share only matters while the classes compete for slots. The queue target
    // is the wait beyond which a caller of the class is better served by a refusal.
    if (classes.empty())
        classes = {{"urgent", {6, 2s}}, {"normal", {3, 5s}}, {"bulk", {1, 30s}}};
    config.classes = std::move(classes);
    checkReferences(config);
    return config;
}

// Maps the path of each field to its value in the notation of the file.
std::map<std::string, std::string> fieldsByPath(const FleetConfig &config)
{
    std::map<std::string, std::string> fields;
    fields["id_memory"] = formatDuration(config.idMemory);
    fields["limits.max_tasks_per_job"] = std::to_string(config.limits.maxTasksPerJob);
    fields["limits.max_body_bytes"] = std::to_string(config.limits.maxBodyBytes);
    fields["limits.max_deadline"] = formatDuration(config.limits.maxDeadline);
    for (const auto &[name, it] : config.classes) {
        const std::string path = "classes." + name + ".";
        fields[path + "share"] = formatNumber(it.share);
        fields[path + "queue_target"] = formatDuration(it.queueTarget);
    }
    for (const auto &[name, it] : config.teams) {
        const std::string path = "teams." + name + ".";
        fields[path + "office"] = it.office;
        fields[path + "weight"] = formatNumber(it.weight);
        fields[path + "max_running_tasks"] = std::to_string(it.maxRunningTasks);
        fields[path + "max_starts_per_second"] = formatNumber(it.maxStartsPerSecond);
        std::string &upstreams = fields[path + "upstreams"];
        for (const std::string &upstream : it.upstreams)
            upstreams.append(upstreams.empty() ? "[" : ", ").append(upstream);
        upstreams.append("]");
    }
    for (const auto &[name, it] : config.upstreams) {
        const std::string path = "upstreams." + name + ".";
        fields[path + "slots_per_worker"] = std::to_string(it.slotsPerWorker);
        fields[path + "connections_per_worker"] = std::to_string(it.connectionsPerWorker);
        fields[path + "retry_budget"] = formatNumber(it.retryBudget);
        fields[path + "hedge_limit"] = formatNumber(it.hedgeLimit);
        fields[path + "ejection.threshold"] = formatNumber(it.ejectionThreshold);
        fields[path + "ejection.max_fraction"] = formatNumber(it.maxEjectedFraction);
    }
    return fields;
}

} // namespace

Result<FleetConfig, ConfigErrors> parseFleetConfig(std::string_view text)
{
    if (text.size() > MaxFileBytes)
        return ConfigErrors{{1, "", std::to_string(text.size()) + " bytes",
                             "the file is larger than " + std::to_string(MaxFileBytes) + " bytes"}};
    ConfigReader reader;
    FleetConfig config;
    try {
        const std::vector<YAML::Node> documents = YAML::LoadAll(std::string(text));
        if (documents.size() == 1)
            config = reader.readFile(documents.front());
        else
            reader.addError(1, "", std::to_string(documents.size()) + " documents",
                            "the file must hold exactly one YAML document");
    } catch (const YAML::Exception &ex) {
        reader.addError(ex.mark.line + 1, "", "", "no valid YAML: " + ex.msg);
    }
    ConfigErrors errors = reader.takeErrors();
    if (!errors.empty())
        return errors;
    return config;
}

std::vector<std::string> diffFleetConfig(const FleetConfig &before, const FleetConfig &after)
{
    const std::map<std::string, std::string> oldFields = fieldsByPath(before);
    std::map<std::string, std::string> newFields = fieldsByPath(after);
    std::map<std::string, std::string> lines; // sorted by path
    for (const auto &[path, value] : oldFields) {
        const auto it = newFields.find(path);
        if (it == newFields.end())
            lines[path] = value + " -> (none)";
        else if (it->second != value)
            lines[path] = value + " -> " + it->second;
        newFields.erase(path);
    }
    for (const auto &[path, value] : newFields)
        lines[path] = "(none) -> " + value;
    std::vector<std::string> result;
    result.reserve(lines.size());
    for (const auto &[path, change] : lines)
        result.emplace_back(path).append(": ").append(change);
    return result;
}

} // namespace cactuscove
