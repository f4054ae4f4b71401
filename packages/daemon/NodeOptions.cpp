#include "daemon/NodeOptions.h"

namespace chervil::daemon {
namespace {

constexpr double Percent = 0.01;

} // namespace

node::PartOptions nodeOptions(const NodeSettings &settings) {
  node::PartOptions options;
  options.Node.ShardCount = settings.Shards.Count;
  options.Node.ProgressPeriod = settings.Requests.ProgressPeriod;
  options.Node.ProgressBytes = settings.Requests.ProgressBytes;
  options.Node.ServiceTimeout = settings.Requests.ServiceTimeout;
  options.Node.DrainTime = settings.Requests.DrainTime;
  options.Membership.ProbePeriod = settings.Membership.ProbePeriod;
  options.Membership.ProbeTimeout = settings.Membership.ProbeTimeout;
  options.Membership.SuspicionTime = settings.Membership.Suspicion;
  options.Membership.PushPeriod = settings.Membership.PushPeriod;
  options.Record.RetryHorizon = settings.Requests.RetryHorizon;
  options.Record.ClockMargin = settings.Requests.ClockMargin;
  options.Record.AnswerBudget = settings.Requests.AnswerBudget;
  options.Routing.EjectShare = settings.Routing.EjectedMaxPercent * Percent;
  options.Routing.ReservedShare = settings.Routing.ShortSlotsPercent * Percent;
  options.Routing.HedgeBudget = settings.Routing.HedgePercent * Percent;
  options.Routing.SubsetSize = settings.Routing.Subset;
  return options;
}

} // namespace chervil::daemon
