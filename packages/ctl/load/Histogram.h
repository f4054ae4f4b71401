// Latency histogram with buckets that grow by 2%. Use:
//   Histogram h;
//   addValue(h, 1500us);
//   double ms = percentileMs(h, 0.99);
#ifndef CHERVIL_CTL_LOAD_HISTOGRAM_H
#define CHERVIL_CTL_LOAD_HISTOGRAM_H

#include "base/Time.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

namespace chervil::load {

struct Histogram {
  std::uint64_t Count = 0;
  Duration Max{0};
  /// Bucket i holds values up to 1.02^i microseconds.
  std::vector<std::uint64_t> Buckets;
};

inline constexpr double HistogramGrowth = 1.02;

inline void addValue(Histogram &histogram, Duration value) {
  const double us = std::max<double>(1.0, static_cast<double>(value.count()));
  const auto i = static_cast<std::size_t>(std::ceil(std::log(us) / std::log(HistogramGrowth)));
  if (histogram.Buckets.size() <= i)
    histogram.Buckets.resize(i + 1);
  ++histogram.Buckets[i];
  ++histogram.Count;
  histogram.Max = std::max(histogram.Max, value);
}

/// Upper bound of the bucket that holds the percentile, in ms; 0 without values. At most 2% above
/// the true value.
inline double percentileMs(const Histogram &histogram, double share) {
  const auto rank =
      static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(histogram.Count)));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < histogram.Buckets.size(); ++i) {
    seen += histogram.Buckets[i];
    if (seen >= std::max<std::uint64_t>(rank, 1))
      return std::min(std::pow(HistogramGrowth, static_cast<double>(i)),
                      static_cast<double>(histogram.Max.count())) /
             1000.0;
  }
  return 0;
}

} // namespace chervil::load

#endif
