#include "daemon/NodeOptions.h"

namespace chervil::daemon {
namespace {

constexpr double Percent = 0.01;

} // namespace

node::ComponentOptions nodeOptions(const NodeSettings &settings) {
  node::ComponentOptions options;
  options.Node.ShardCount = settings.Shards.Count;
  options.Node.ProgressPeriod = settings.Requests.ProgressPeriod;
  options.Node.ProgressBytes = settings.Requests.ProgressBytes;
  options.Node.ServiceTimeout = settings.Requests.ServiceTimeout;
  options.Node.DrainTime = settings.Requests.DrainTime;
  options.Membership = membershipOptions(settings);
  options.Record.RetryHorizon = settings.Requests.RetryHorizon;
  options.Record.ClockMargin = settings.Requests.ClockMargin;
  options.Record.AnswerBudget = settings.Requests.AnswerBudget;
  options.Routing.MaxEjectedShare = settings.Routing.EjectedMaxPercent * Percent;
  options.Routing.ReservedShare = settings.Routing.ShortSlotsPercent * Percent;
  options.Routing.HedgeBudget = settings.Routing.HedgePercent * Percent;
  options.Routing.SubsetSize = settings.Routing.Subset;
  return options;
}

membership::Options membershipOptions(const NodeSettings &settings) {
  membership::Options options;
  options.ProbePeriod = settings.Membership.ProbePeriod;
  options.ProbeTimeout = settings.Membership.ProbeTimeout;
  options.SuspicionTime = settings.Membership.Suspicion;
  options.PushPeriod = settings.Membership.PushPeriod;
  return options;
}

message::MemberUpdate selfOf(const NodeSettings &settings, const Now &now) {
  message::MemberUpdate self;
  self.Id = {settings.Node.Name, static_cast<std::uint64_t>(now.Wall.time_since_epoch().count())};
  self.Region = settings.Node.Region;
  self.DataCentre = settings.Node.DataCentre;
  self.PeerAddress = settings.Node.PeerAdvertise;
  self.CallerAddress = settings.Node.CallerAdvertise;
  return self;
}

} // namespace chervil::daemon
