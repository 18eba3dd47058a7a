// Metrics on prometheus-cpp, and the list of all metrics of all roles.

#include "metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <stdexcept>

namespace cactuscove {

namespace {

struct MetricDescription
{
    const char *name;
    const char *help; // shown to operators on /metrics
};

constexpr MetricDescription Counters[] = {
    {"cactuscove_events_total", "Log events by name."},
    {"cactuscove_http_requests_total", "HTTP requests answered, by route and status."},
    {"cactuscove_messages_sent_total", "Messages sent to other processes, by type."},
    {"cactuscove_messages_received_total", "Messages received from other processes, by type."},
    {"cactuscove_messages_undelivered_total", "Messages that were provably not delivered."},
    {"cactuscove_peer_bytes_total", "Bytes of envelopes, by direction (sent, received)."},
    {"cactuscove_peer_calls_total", "Calls to other processes, by result."},
    {"cactuscove_jobs_answered_total", "Answers given to callers, by outcome and reason."},
    {"cactuscove_placement_total",
     "Decisions of the plan that looks ahead, by kind: reserved, moved, whole, backfilled."},
    {"cactuscove_upstream_starts_total", "Tasks started on the upstream, by result."},
    {"cactuscove_worker_calls_total", "Calls to workers, by kind (start, stop, hold)."},
    {"cactuscove_worker_record_calls_total",
     "Calls to the store for the record of the worker, by kind (read, write)."},
    {"cactuscove_log_appends_total", "Appends to the log, by result."},
    {"cactuscove_operator_copies_total",
     "Calls for the copies of the operators' records, by result (read, written, conflict, failed), "
     "and copies that are unreadable."},
};

constexpr MetricDescription Gauges[] = {
    {"cactuscove_up_members", "Members that are up, by role."},
    {"cactuscove_down_members", "Members that are declared down and not yet retired, by role."},
    {"cactuscove_shards_owned", "Shards that this process is the home of."},
    {"cactuscove_config_revision", "Revision of the configuration in force here."},
    {"cactuscove_config_source",
     "1 for the source of the configuration in force (store, entry, copy), 0 for the others."},
    {"cactuscove_ledger_offset", "First log offset that is not yet applied here."},
    {"cactuscove_log_reachable", "1 if the last call to the log succeeded."},
    {"cactuscove_upstream_slots", "Slots that the upstream beside this agent announced."},
    {"cactuscove_upstream_free_slots", "Free slots of the upstream beside this agent."},
    {"cactuscove_tasks_queued", "Reservations that wait at this agent."},
    {"cactuscove_remembered_keys", "Job keys that this entry remembers."},
    {"cactuscove_open_jobs", "Best-effort jobs that this entry coordinates."},
    {"cactuscove_demand_utilisation",
     "Cores asked for at all entries / cores of the fleet, by upstream and priority."},
    {"cactuscove_accepted_part", "Part of a queue's work that this entry accepts, by queue."},
    {"cactuscove_open_tasks", "Best-effort tasks queued or running beside this agent."},
    {"cactuscove_evacuated_data_centres", "Data centres in which no task starts."},
    {"cactuscove_known_workers", "Workers that this agent knows."},
    {"cactuscove_open_requests", "HTTP requests that are not yet answered."},
};

constexpr MetricDescription Histograms[] = {
    {"cactuscove_job_seconds", "Time from the caller's submission to the whole answer."},
    {"cactuscove_upstream_seconds", "Run time of a task on the upstream, as seen by the agent."},
    {"cactuscove_peer_call_seconds", "Duration of a call to another process."},
};

// Upper bounds in seconds. Tasks run from 50 ms to several seconds; a call between two processes
// takes less than a millisecond.
const prometheus::Histogram::BucketBoundaries DurationBuckets
    = {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60};

template <typename T, std::size_t N>
void registerFamilies(std::map<std::string, prometheus::Family<T> *> &families,
                      const MetricDescription (&table)[N], prometheus::Registry &registry,
                      prometheus::detail::Builder<T> (*builder)())
{
    for (const MetricDescription &it : table)
        families[it.name] = &builder().Name(it.name).Help(it.help).Register(registry);
}

template <typename T>
prometheus::Family<T> &findFamily(const std::map<std::string, prometheus::Family<T> *> &families,
                                  const std::string &name)
{
    const auto it = families.find(name);
    if (it == families.end())
        throw std::logic_error("unknown metric " + name);
    return *it->second;
}

} // namespace

class Metrics::Impl
{
public:
    Impl()
    {
        registerFamilies(counters, Counters, registry, &prometheus::BuildCounter);
        registerFamilies(gauges, Gauges, registry, &prometheus::BuildGauge);
        registerFamilies(histograms, Histograms, registry, &prometheus::BuildHistogram);
    }

    prometheus::Registry registry;
    std::map<std::string, prometheus::Family<prometheus::Counter> *> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram> *> histograms;
};

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{}

Metrics::~Metrics() = default;

void Metrics::add(const std::string &name, const MetricLabels &labels, double value)
{
    findFamily(m_impl->counters, name).Add(labels).Increment(value);
}

void Metrics::set(const std::string &name, const MetricLabels &labels, double value)
{
    findFamily(m_impl->gauges, name).Add(labels).Set(value);
}

void Metrics::observeSeconds(const std::string &name, const MetricLabels &labels, double seconds)
{
    findFamily(m_impl->histograms, name).Add(labels, DurationBuckets).Observe(seconds);
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

} // namespace cactuscove
