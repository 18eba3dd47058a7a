// Metrics of one process, kept in a prometheus-cpp registry and served as text on /metrics.

#pragma once

#include <map>
#include <memory>
#include <string>

namespace cactuscove {

using MetricLabels = std::map<std::string, std::string>; // label name -> label value

// The metrics are listed in metrics.cpp with their kind and help text. Each function throws
// std::logic_error if `name` is not in the list of the kind of metric that it updates. A series is
// created the first time that its labels are used.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    // Increases a counter by `value`, which must not be negative.
    void add(const std::string &name, const MetricLabels &labels = {}, double value = 1);
    // Sets a gauge.
    void set(const std::string &name, const MetricLabels &labels, double value);
    // Adds a duration in seconds to a histogram.
    void observeSeconds(const std::string &name, const MetricLabels &labels, double seconds);

    // All metrics in the Prometheus text format.
    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
