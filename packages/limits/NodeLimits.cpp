#include "limits/NodeLimits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervil::limits {
namespace {

using Seconds = std::chrono::duration<double>;

// The state of a customer is dropped after this long without requests, to bound memory.
constexpr Duration IdleTimeout = std::chrono::minutes(1);

double floorLimit(const NodeLimits &limits, double limit) {
  return FloorFraction * limit / static_cast<double>(limits.FloorNodes);
}

double effectiveLimit(const NodeLimits &limits, double limit, double share) {
  return std::min(limit, share + floorLimit(limits, limit));
}

// At least 1, so that a full bucket admits a request even if its rate is below 1/s.
double bucketDepth(double rate) { return std::max(1.0, rate * Seconds(BurstDuration).count()); }

void refill(Bucket &bucket, double rate, Seconds elapsed) {
  bucket.Level = std::min(bucketDepth(rate), bucket.Level + rate * elapsed.count());
}

double requestRate(const NodeLimits &limits, const CustomerLimits &customer,
                   const ContractLimits &contract) {
  return effectiveLimit(limits, contract.RequestsPerSecond, customer.Share.RequestsPerSecond);
}

double tokenRate(const NodeLimits &limits, const CustomerLimits &customer,
                 const ContractLimits &contract) {
  return effectiveLimit(limits, contract.TokensPerSecond, customer.Share.TokensPerSecond);
}

void refillUntil(const NodeLimits &limits, CustomerLimits &customer, const ContractLimits &contract,
                 TimePoint time) {
  if (time <= customer.Updated)
    return;
  const Seconds elapsed = time - customer.Updated;
  refill(customer.Requests, requestRate(limits, customer, contract), elapsed);
  refill(customer.Tokens, tokenRate(limits, customer, contract), elapsed);
  customer.Updated = time;
}

// Refills the buckets up to `now`. A share that expired since the last update counts up to its
// expiry.
void update(const NodeLimits &limits, CustomerLimits &customer, const ContractLimits &contract,
            TimePoint now) {
  refillUntil(limits, customer, contract, std::min(now, customer.ShareExpiresAt));
  if (customer.ShareExpiresAt <= now)
    customer.Share = {};
  refillUntil(limits, customer, contract, now);
}

CustomerLimits &findOrCreateCustomer(NodeLimits &limits, const std::string &name,
                                     const ContractLimits &contract, TimePoint now) {
  const auto [it, isNew] = limits.Customers.try_emplace(name);
  CustomerLimits &customer = it->second;
  if (isNew) {
    customer.Requests.Level = bucketDepth(floorLimit(limits, contract.RequestsPerSecond));
    customer.Tokens.Level = bucketDepth(floorLimit(limits, contract.TokensPerSecond));
    customer.Updated = now;
    customer.LastUsedAt = now;
  }
  update(limits, customer, contract, now);
  return customer;
}

Duration retryAfter(double missing, double rate) {
  if (rate <= 0 || missing / rate >= Seconds(MaxRetryAfter).count())
    return MaxRetryAfter;
  return std::max(Duration(std::chrono::milliseconds(1)),
                  std::chrono::ceil<Duration>(Seconds(missing / rate)));
}

void updateDemand(Bucket &bucket, Seconds elapsed) {
  // Demand below this, per second, counts as none, so that the state of idle customers is dropped.
  constexpr double minDemand = 0.01;
  const double last = bucket.Offered / std::max(elapsed.count(), 1e-3);
  bucket.Demand = DemandSmoothingFactor * last + (1 - DemandSmoothingFactor) * bucket.Demand;
  if (bucket.Demand < minDemand)
    bucket.Demand = 0;
  bucket.Offered = 0;
}

} // namespace

void setLiveNodes(NodeLimits &limits, std::size_t live, const Now &now) {
  live = std::max<std::size_t>(live, 1);
  if (live < limits.FloorNodes && now.Steady - limits.FloorNodesSetAt < FloorNodesRetention)
    return;
  limits.FloorNodes = live;
  limits.FloorNodesSetAt = now.Steady;
}

Admission admit(NodeLimits &limits, const std::string &customer, const ContractLimits &contract,
                double tokens, const Now &now) {
  CustomerLimits &entry = findOrCreateCustomer(limits, customer, contract, now.Steady);
  tokens = std::max(tokens, 0.0);
  entry.LastUsedAt = now.Steady;
  entry.Requests.Offered += 1;
  entry.Tokens.Offered += tokens;
  const auto streams =
      entry.Share.Streams + static_cast<std::uint32_t>(floorLimit(limits, contract.Streams));
  if (entry.Streams >= std::min(streams, contract.Streams)) {
    ++entry.RefusedForStreams;
    return {ResultCode::LimitConcurrency, std::chrono::seconds(1)};
  }
  if (entry.Requests.Level < 1)
    return {ResultCode::LimitRequests,
            retryAfter(1 - entry.Requests.Level, requestRate(limits, entry, contract))};
  const double rate = tokenRate(limits, entry, contract);
  const double needed = std::min(tokens, bucketDepth(rate));
  if (entry.Tokens.Level < needed)
    return {ResultCode::LimitTokens, retryAfter(needed - entry.Tokens.Level, rate)};
  entry.Requests.Level -= 1;
  entry.Tokens.Level -= tokens;
  ++entry.Streams;
  return {};
}

void settle(NodeLimits &limits, const std::string &customer, const ContractLimits &contract,
            double estimate, double tokens, const Now &now) {
  CustomerLimits &entry = findOrCreateCustomer(limits, customer, contract, now.Steady);
  entry.Streams -= std::min(entry.Streams, 1U);
  // The refill() below clamps the level, so that a refund does not exceed the bucket capacity.
  entry.Tokens.Level -= std::max(tokens, 0.0) - std::max(estimate, 0.0);
  refill(entry.Tokens, tokenRate(limits, entry, contract), Seconds(0));
  entry.LastUsedAt = now.Steady;
}

void onShareGrant(NodeLimits &limits, const message::ShareGrant &grant,
                  const LimitsLookup &lookUpLimits, const Now &now) {
  for (const message::Share &it : grant.Shares) {
    const ContractLimits *contract = lookUpLimits(it.Customer);
    if (contract == nullptr)
      continue;
    CustomerLimits &entry = findOrCreateCustomer(limits, it.Customer, *contract, now.Steady);
    entry.Share = it;
    entry.ShareExpiresAt = now.Steady + std::min<Duration>(it.Lifetime, ShareLifetime);
    update(limits, entry, *contract, now.Steady);
    refill(entry.Requests, requestRate(limits, entry, *contract), Seconds(0));
    refill(entry.Tokens, tokenRate(limits, entry, *contract), Seconds(0));
  }
}

message::DemandReport makeDemandReport(NodeLimits &limits, const LimitsLookup &lookUpLimits,
                                       const Now &now) {
  const Seconds elapsed = limits.LastReport ? now.Steady - *limits.LastReport : ReportInterval;
  limits.LastReport = now.Steady;
  message::DemandReport result;
  for (auto it = limits.Customers.begin(); it != limits.Customers.end();) {
    auto &[name, entry] = *it;
    const ContractLimits *contract = lookUpLimits(name);
    if (contract != nullptr)
      update(limits, entry, *contract, now.Steady);
    updateDemand(entry.Requests, elapsed);
    updateDemand(entry.Tokens, elapsed);
    const std::uint32_t streams = entry.Streams + std::exchange(entry.RefusedForStreams, 0);
    const bool hasShare = entry.ShareExpiresAt > now.Steady;
    if (contract != nullptr &&
        (hasShare || streams > 0 || entry.Requests.Demand > 0 || entry.Tokens.Demand > 0))
      result.Demands.push_back({name, entry.Requests.Demand, entry.Tokens.Demand, streams});
    const bool idle =
        entry.Streams == 0 && !hasShare && now.Steady - entry.LastUsedAt >= IdleTimeout &&
        (contract == nullptr || (entry.Requests.Level >= 1 && entry.Tokens.Level >= 0));
    it = idle ? limits.Customers.erase(it) : std::next(it);
  }
  return result;
}

} // namespace chervil::limits
