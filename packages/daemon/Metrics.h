// The metrics of a process, by prometheus-cpp. Use:
//   Metrics metrics;
//   count(metrics, "refused", "limit_requests");
//   std::string text = serialise(metrics);
#ifndef CHERVIL_DAEMON_METRICS_H
#define CHERVIL_DAEMON_METRICS_H

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>
#include <utility>

namespace chervil::daemon {

struct Metrics {
  Metrics();

  prometheus::Registry Registry;
  prometheus::Family<prometheus::Histogram> &Durations;
  prometheus::Histogram &FirstByte;
  prometheus::Histogram &Request;
  std::map<std::string, prometheus::Family<prometheus::Counter> *, std::less<>> CounterFamilies;
  std::map<std::pair<std::string, std::string>, prometheus::Counter *, std::less<>> Counters;
  std::map<std::string, prometheus::Gauge *, std::less<>> Gauges;
  std::map<std::string, prometheus::Gauge *, std::less<>> DocumentVersions;
};

/// Raises chervil_METRIC_total{reason="REASON"}.
void count(Metrics &metrics, std::string_view metric, std::string_view reason, double n = 1);

/// Sets chervil_METRIC_total{reason="REASON"} to a total that is counted elsewhere.
void setTotal(Metrics &metrics, std::string_view metric, std::string_view reason, double total);

/// Sets chervil_NAME.
void setGauge(Metrics &metrics, std::string_view name, double value);

/// Sets chervil_document_version{document="DOCUMENT"}.
void setDocumentVersion(Metrics &metrics, const std::string &document, std::uint64_t version);

void observe(prometheus::Histogram &histogram, Duration value);

/// Text exposition format.
std::string serialise(const Metrics &metrics);

} // namespace chervil::daemon

#endif
