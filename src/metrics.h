// Metrics of a process (prometheus-cpp), served as text on /metrics.

#pragma once

#include <map>
#include <memory>
#include <string>

namespace cactuscove {

using MetricLabels = std::map<std::string, std::string>;

// Every name must be in the table of metrics.cpp; an unknown name is a programming error.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void add(const std::string &name, const MetricLabels &labels = {}, double value = 1);
    void set(const std::string &name, const MetricLabels &labels, double value);
    void observeSeconds(const std::string &name, const MetricLabels &labels, double seconds);

    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
