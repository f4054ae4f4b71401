#include "daemon/Metrics.h"

#include <prometheus/text_serializer.h>
#include <sstream>

namespace chervil::daemon {
namespace {

// From the latency budget of a short call to the length of the longest drafts, in seconds.
const prometheus::Histogram::BucketBoundaries Bounds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.46, 1, 2, 5, 10, 30, 60, 300, 900};

prometheus::Counter &counterOf(Metrics &metrics, std::string_view metric, std::string_view reason) {
  const std::pair<std::string, std::string> key(metric, reason);
  if (const auto it = metrics.Counters.find(key); it != metrics.Counters.end())
    return *it->second;
  auto &family = metrics.CounterFamilies[key.first];
  if (family == nullptr)
    family = &prometheus::BuildCounter()
                  .Name("chervil_" + key.first + "_total")
                  .Help("Events by reason.")
                  .Register(metrics.Registry);
  prometheus::Counter &counter = family->Add({{"reason", key.second}});
  metrics.Counters.emplace(key, &counter);
  return counter;
}

} // namespace

Metrics::Metrics()
    : Durations(prometheus::BuildHistogram()
                    .Name("chervil_duration_seconds")
                    .Help("Time from the arrival of a request.")
                    .Register(Registry)),
      FirstByte(Durations.Add({{"until", "first_byte"}}, Bounds)),
      Request(Durations.Add({{"until", "end"}}, Bounds)) {}

void count(Metrics &metrics, std::string_view metric, std::string_view reason, double n) {
  counterOf(metrics, metric, reason).Increment(n);
}

void setTotal(Metrics &metrics, std::string_view metric, std::string_view reason, double total) {
  prometheus::Counter &counter = counterOf(metrics, metric, reason);
  if (total > counter.Value())
    counter.Increment(total - counter.Value());
}

void setGauge(Metrics &metrics, std::string_view name, double value) {
  auto it = metrics.Gauges.find(name);
  if (it == metrics.Gauges.end()) {
    auto &family = prometheus::BuildGauge()
                       .Name("chervil_" + std::string(name))
                       .Help("Present value.")
                       .Register(metrics.Registry);
    it = metrics.Gauges.emplace(std::string(name), &family.Add({})).first;
  }
  it->second->Set(value);
}

void setDocumentVersion(Metrics &metrics, const std::string &document, std::uint64_t version) {
  auto it = metrics.DocumentVersions.find(document);
  if (it == metrics.DocumentVersions.end()) {
    auto &family = prometheus::BuildGauge()
                       .Name("chervil_document_version")
                       .Help("Version of a configuration document in force on this node.")
                       .Register(metrics.Registry);
    it = metrics.DocumentVersions.emplace(document, &family.Add({{"document", document}})).first;
  }
  it->second->Set(static_cast<double>(version));
}

void observe(prometheus::Histogram &histogram, Duration value) {
  histogram.Observe(std::chrono::duration<double>(value).count());
}

std::string serialise(const Metrics &metrics) {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, metrics.Registry.Collect());
  return out.str();
}

} // namespace chervil::daemon
