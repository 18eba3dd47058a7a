// Implements the operator commands with blocking libcurl calls to the HTTP API of an entry.

#include "operatorcommands.h"

#include "fleetconfig.h"
#include "jsonfields.h"
#include "recordcodec.h"
#include "result.h"

#include <boost/program_options.hpp>
#include <curl/curl.h>
#include <json/value.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <memory>
#include <optional>
#include <ostream>
#include <vector>

namespace cactuscove {

namespace po = boost::program_options;
using namespace jsonfields;

namespace {

constexpr std::array Commands = {"apply", "plan", "validate", "get", "history", "status"};

// Must exceed OperatorApiHooks::applyTimeout: the entry answers an apply within 8 s.
constexpr long CallTimeoutMs = 12'000;
constexpr long ConnectTimeoutMs = 2'000;

struct Options
{
    std::string command;
    std::string file;     // path of the configuration file
    std::string entryUrl; // "http://ip:port"
    std::string office;
    std::string author;
    std::string base; // revision that the file was made from; empty: the one in force
};

// The outcome of one HTTP call.
struct HttpOutcome
{
    long status = 0; // 0 if there was no response
    std::string body;
    std::string failure; // reason if there was no response
    bool wasSent = true; // false if the request provably did not reach the entry
};

// One run of a command. Each function named after a command runs it.
class Command
{
public:
    Command(Options options, std::ostream &out, std::ostream &err)
        : m_options(std::move(options))
        , m_out(out)
        , m_err(err)
    {}

    ExitCode run();

private:
    ExitCode validate();
    ExitCode plan();
    ExitCode apply();
    ExitCode get();
    ExitCode history();
    ExitCode status();

    bool readFile();
    HttpOutcome call(const std::string &method, const std::string &path);
    HttpOutcome transfer(CURL *curl, const std::string &method, const std::string &url);
    std::string escape(const std::string &text); // percent-encodes a query parameter
    // Calls the entry and returns the JSON of a 200 response. On any other outcome prints the
    // reason and sets `exit`.
    std::optional<Json::Value> fetch(const std::string &method, const std::string &path,
                                     ExitCode &exit);
    // Prints why a response is not a success.
    ExitCode reportFailure(const HttpOutcome &outcome);
    void printErrors(const ConfigErrors &errors);
    void printConflict(const Json::Value &json);
    void printChanges(const Json::Value &changes);
    void printMember(const Json::Value &member);

    Options m_options;
    std::ostream &m_out;
    std::ostream &m_err;
    std::string m_fileText; // content of the file
};

// "revision 3 by AUTHOR (OFFICE)"
std::string revisionLine(const Json::Value &json)
{
    const std::uint64_t revision = number(json, "revision");
    if (revision == 0)
        return "revision 0 (no file accepted yet)";
    return "revision " + std::to_string(revision) + " by " + text(json, "author") + " ("
           + text(json, "office") + ")";
}

// Write callback of libcurl.
std::size_t appendToBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

ExitCode Command::run()
{
    const bool needsFile = m_options.command == "apply" || m_options.command == "plan"
                           || m_options.command == "validate";
    if (needsFile && !readFile())
        return ExitCode::UsageError;
    try {
        if (m_options.command == "validate")
            return validate();
        if (m_options.command == "plan")
            return plan();
        if (m_options.command == "apply")
            return apply();
        if (m_options.command == "get")
            return get();
        return m_options.command == "history" ? history() : status();
    } catch (const FieldError &ex) {
        m_err << "unexpected answer of the entry: " << ex.reason << '\n';
        return ExitCode::UnexpectedResponse;
    }
}

bool Command::readFile()
{
    std::ifstream file(m_options.file, std::ios::binary);
    m_fileText.assign(std::istreambuf_iterator<char>(file), {});
    if (file.is_open() && !file.bad())
        return true;
    m_err << m_options.file << ": cannot be read\n";
    return false;
}

ExitCode Command::validate()
{
    const auto parsed = parseFleetConfig(m_fileText);
    if (!isOk(parsed)) {
        printErrors(errorOf(parsed));
        return ExitCode::InvalidFile;
    }
    m_out << m_options.file << ": valid\n";
    return ExitCode::Success;
}

ExitCode Command::plan()
{
    ExitCode exit{};
    const auto json = fetch("POST", "/v1/config/plan", exit);
    if (!json)
        return exit;
    m_out << "in force: " << revisionLine(*json) << '\n';
    printChanges(array(*json, "changes"));
    m_out << "to apply exactly this: cactuscove apply " << m_options.file
          << " --base=" << number(*json, "revision") << '\n';
    return ExitCode::Success;
}

ExitCode Command::apply()
{
    ExitCode exit{};
    if (m_options.base.empty()) {
        const auto current = fetch("GET", "/v1/config", exit);
        if (!current)
            return exit;
        m_options.base = std::to_string(number(*current, "revision"));
    }
    const auto json = fetch("PUT",
                            "/v1/config?base=" + escape(m_options.base) + "&office="
                                + escape(m_options.office) + "&author=" + escape(m_options.author),
                            exit);
    if (!json)
        return exit;
    m_out << "accepted: " << revisionLine(*json) << '\n';
    return ExitCode::Success;
}

ExitCode Command::get()
{
    ExitCode exit{};
    const auto json = fetch("GET", "/v1/config", exit);
    if (!json)
        return exit;
    // Printed as an error, so that the standard output is exactly the file.
    m_err << "in force: " << revisionLine(*json) << '\n';
    m_out << text(*json, "text");
    return ExitCode::Success;
}

ExitCode Command::history()
{
    ExitCode exit{};
    const auto json = fetch("GET", "/v1/config/history", exit);
    if (!json)
        return exit;
    for (const Json::Value &it : array(*json, "revisions")) {
        m_out << revisionLine(it) << '\n';
        if (it.isMember("changes"))
            printChanges(array(it, "changes"));
    }
    return ExitCode::Success;
}

ExitCode Command::status()
{
    ExitCode exit{};
    const auto json = fetch("GET", "/v1/status", exit);
    if (!json)
        return exit;
    m_out << "configuration: " << revisionLine(field(*json, "config")) << '\n'
          << "log: " << (boolean(*json, "log_reachable") ? "reachable" : "not reachable")
          << ", next offset " << number(*json, "ledger_next") << '\n'
          << "shards without a home: " << number(*json, "unowned_shards") << '\n'
          << std::left;
    for (const Json::Value &it : array(*json, "members"))
        printMember(it);
    return ExitCode::Success;
}

void Command::printMember(const Json::Value &member)
{
    m_out << std::setw(6) << text(member, "role") << std::setw(18) << text(member, "incarnation")
          << std::setw(22) << text(member, "address") << std::setw(5) << text(member, "state")
          << ' ' << text(member, "data_centre") << '/' << text(member, "rack");
    if (member.isMember("shards"))
        m_out << " shards=" << number(member, "shards");
    if (member.isMember("load")) {
        const Json::Value &load = member["load"];
        m_out << " upstream=" << text(load, "upstream")
              << " free_slots=" << number(load, "free_slots") << '/' << number(load, "slots")
              << " queued=" << number(load, "queued");
    }
    m_out << '\n';
}

std::string Command::escape(const std::string &value)
{
    char *escaped = curl_easy_escape(nullptr, value.c_str(), static_cast<int>(value.size()));
    std::string result = escaped ? escaped : "";
    curl_free(escaped);
    return result;
}

HttpOutcome Command::call(const std::string &method, const std::string &path)
{
    const std::unique_ptr<CURL, void (*)(CURL *)> curl(curl_easy_init(), curl_easy_cleanup);
    if (!curl)
        return {0, "", "libcurl cannot start", false};
    return transfer(curl.get(), method, m_options.entryUrl + path);
}

HttpOutcome Command::transfer(CURL *curl, const std::string &method, const std::string &url)
{
    HttpOutcome outcome;
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*"); // processes are addressed by IP number
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, CallTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, appendToBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &outcome.body);
    std::unique_ptr<curl_slist, void (*)(curl_slist *)> headers(nullptr, curl_slist_free_all);
    if (method != "GET") {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, m_fileText.data());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(m_fileText.size()));
        headers.reset(curl_slist_append(nullptr, "Content-Type: application/yaml"));
        curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
    }
    const CURLcode code = curl_easy_perform(curl);
    if (code == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &outcome.status);
        return outcome;
    }
    long sent = 0;
    curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &sent);
    outcome.failure = curl_easy_strerror(code);
    outcome.wasSent = sent > 0;
    return outcome;
}

std::optional<Json::Value> Command::fetch(const std::string &method, const std::string &path,
                                          ExitCode &exit)
{
    const HttpOutcome outcome = call(method, path);
    if (outcome.status == 200) {
        auto json = readJson(outcome.body);
        if (isOk(json))
            return std::move(valueOf(json));
        m_err << "unexpected answer of the entry: " << errorOf(json).reason << '\n';
        exit = ExitCode::UnexpectedResponse;
        return std::nullopt;
    }
    const bool isApply = method == "PUT";
    exit = reportFailure(outcome);
    if (exit == ExitCode::Unclear && !isApply)
        exit = ExitCode::Unreachable;
    if (exit == ExitCode::Unclear)
        m_err
            << "the file may or may not take effect; to get the result, run: cactuscove history\n";
    else if (isApply && exit != ExitCode::UnexpectedResponse)
        m_err << "nothing has changed\n";
    return std::nullopt;
}

ExitCode Command::reportFailure(const HttpOutcome &outcome)
{
    if (outcome.status == 0) {
        m_err << m_options.entryUrl << ": " << outcome.failure << '\n';
        return outcome.wasSent ? ExitCode::Unclear : ExitCode::Unreachable;
    }
    const auto read = readJson(outcome.body);
    const Json::Value json = isOk(read) ? valueOf(read) : Json::Value(Json::objectValue);
    if (outcome.status == 422) {
        ConfigErrors errors;
        for (const Json::Value &it : array(json, "errors"))
            errors.push_back({static_cast<int>(number(it, "line", 1'000'000)), text(it, "field"),
                              text(it, "value"), text(it, "reason")});
        printErrors(errors);
        return ExitCode::InvalidFile;
    }
    if (outcome.status == 409) {
        printConflict(json);
        return ExitCode::Conflict;
    }
    m_err << m_options.entryUrl << ": status " << outcome.status;
    if (json.isObject() && json["reason"].isString())
        m_err << ": " << (json["field"].isString() ? json["field"].asString() + " " : "")
              << json["reason"].asString();
    m_err << '\n';
    if (outcome.status == 400)
        return ExitCode::UsageError;
    if (outcome.status == 503)
        return ExitCode::Unreachable;
    return outcome.status == 504 ? ExitCode::Unclear : ExitCode::UnexpectedResponse;
}

void Command::printErrors(const ConfigErrors &errors)
{
    for (const ConfigError &it : errors)
        m_err << m_options.file << ':' << it.line << ": " << (it.field.empty() ? "file" : it.field)
              << " = \"" << it.value << "\": " << it.reason << '\n';
}

void Command::printConflict(const Json::Value &json)
{
    m_err << "refused: the file was made from revision " << number(json, "base") << "; "
          << text(json, "reason") << '\n'
          << "accepted instead: " << revisionLine(field(json, "winner")) << '\n'
          << "in force: " << revisionLine(field(json, "current")) << '\n'
          << "run plan again and apply the file on the base that it prints\n";
}

void Command::printChanges(const Json::Value &changes)
{
    if (changes.empty())
        m_out << "  no changes\n";
    for (const Json::Value &it : changes)
        m_out << "  " << (it.isString() ? it.asString() : "") << '\n';
}

po::options_description describeFlags(const std::string &command)
{
    po::options_description options("cactuscove " + command + " [FILE] [flags]\n\nFlags");
    auto add = options.add_options();
    add("file", po::value<std::string>()->default_value(""), "the configuration file");
    add("entry-url", po::value<std::string>()->default_value(""),
        "http://ip:port of any entry of the fleet");
    add("office", po::value<std::string>()->default_value(""), "apply: your office");
    add("author", po::value<std::string>()->default_value(""), "apply: your name");
    add("base", po::value<std::string>()->default_value(""),
        "apply: the revision that the file was made from; default: the one in force now");
    add("help", "print this text");
    return options;
}

// Throws po::error for malformed arguments. A flag takes precedence over its environment variable.
Options readOptions(std::span<const std::string> arguments, const po::options_description &options,
                    bool &wantsHelp)
{
    const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
    const po::positional_options_description positional
        = po::positional_options_description().add("file", 1);
    po::variables_map values;
    po::store(po::command_line_parser(rest).options(options).positional(positional).run(), values);
    wantsHelp = values.count("help") > 0;
    const auto get = [&values](const std::string &name, const char *variable) {
        const char *fallback = values[name].defaulted() ? std::getenv(variable) : nullptr;
        return fallback ? std::string(fallback) : values[name].as<std::string>();
    };
    Options result;
    result.command = arguments.front();
    result.file = values["file"].as<std::string>();
    result.base = values["base"].as<std::string>();
    result.entryUrl = get("entry-url", "CACTUSCOVE_ENTRY_URL");
    result.office = get("office", "CACTUSCOVE_OFFICE");
    result.author = get("author", "CACTUSCOVE_AUTHOR");
    return result;
}

std::vector<std::string> usageErrors(const Options &options)
{
    std::vector<std::string> errors;
    const bool isApply = options.command == "apply";
    const bool needsFile = isApply || options.command == "plan" || options.command == "validate";
    if (needsFile && options.file.empty())
        errors.emplace_back("FILE: missing");
    if (!needsFile && !options.file.empty())
        errors.emplace_back("FILE: not used by this command");
    if (isApply && options.office.empty())
        errors.emplace_back("--office: missing");
    if (isApply && options.author.empty())
        errors.emplace_back("--author: missing");
    if (!options.base.empty() && !isApply)
        errors.emplace_back("--base: only used by apply");
    if (options.base.find_first_not_of("0123456789") != std::string::npos)
        errors.emplace_back("--base: must be a whole number");
    if (options.command != "validate" && !options.entryUrl.starts_with("http://"))
        errors.emplace_back("--entry-url: must start with http://");
    return errors;
}

} // namespace

bool isOperatorCommand(std::string_view name)
{
    return std::find(Commands.begin(), Commands.end(), name) != Commands.end();
}

ExitCode runOperatorCommand(std::span<const std::string> arguments, std::ostream &out,
                            std::ostream &err)
{
    const po::options_description description = describeFlags(arguments.front());
    Options options;
    bool wantsHelp = false;
    try {
        options = readOptions(arguments, description, wantsHelp);
    } catch (const po::error &ex) {
        err << "cactuscove: " << ex.what() << '\n';
        return ExitCode::UsageError;
    }
    if (wantsHelp) {
        out << description
            << "\n--entry-url, --office and --author may be set as CACTUSCOVE_ENTRY_URL,\n"
               "CACTUSCOVE_OFFICE and CACTUSCOVE_AUTHOR in the environment.\n\n"
               "Exit codes: 0 done, 1 unexpected answer, 2 wrong usage, 3 the file is invalid,\n"
               "4 another revision was accepted first, 5 entry or log service not reachable,\n"
               "6 unclear whether the file takes effect. After 2 to 5 nothing has changed.\n";
        return ExitCode::Success;
    }
    const std::vector<std::string> errors = usageErrors(options);
    for (const std::string &error : errors)
        err << "cactuscove: " << error << '\n';
    return errors.empty() ? Command(std::move(options), out, err).run() : ExitCode::UsageError;
}

} // namespace cactuscove
