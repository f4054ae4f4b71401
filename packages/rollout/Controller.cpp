#include "rollout/Controller.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace chervil::rollout {
namespace {

using namespace std::chrono_literals;

// Granted before answers of the target are known, and the answers that end this.
constexpr double FirstUnits = 10;
constexpr std::int64_t FirstAnswers = 5;
// Parts of the bound that probing and the load test may use. The rest is for requests that are
// counted by a node that dies before it reports them as seen.
constexpr double ProbingPart = 0.6;
constexpr double LoadingPart = 0.95;
// Weight of a route whose evidence suffices, relative to one that lacks evidence: it may still turn
// bad.
constexpr double AcceptedWeight = 0.25;
// Evidence on a route that has risen this far since its last minimum makes the route suspect: it
// gets a larger part of the requests, so that few units decide on it.
constexpr double SuspectAt = 2;
constexpr double SuspectWeight = 3;
// With evidence that has risen this far, the load test goes on while there is time for it, and the
// rollout is reverted if the evidence is still above the second value then. That is one decision,
// so that it needs less evidence than a test that is applied at each moment.
constexpr double HoldAt = 3;
constexpr double RevertHeldAt = 6;
// A node gets units for this many times the requests that it is expected to send to the target
// before its next report, and some more: units that it does not use are missing elsewhere.
constexpr double UnitsPerNeed = 3;
constexpr double SpareUnits = 2;
// A rare route goes to the target as a whole, but for this part, which tells what is usual.
constexpr double MostRouteShare = 0.8;
constexpr std::uint32_t FirstShiftShare = 500;
constexpr std::uint32_t WholeShare = 1000;
// The mark is raised by this much ahead of need, which is lost to the budget if the holder dies.
constexpr std::uint64_t MarkStep = 25;
// Least time of a stage of the shift: a report and an answer of each node in a fleet of 300.
constexpr Duration ShiftStage = 700ms;
constexpr Duration ShiftTime = 1200ms;
// Some 20 answers of the target at the load of one server, which show 3 bad ones in 10.
constexpr Duration LoadTime = 1500ms;
// A report older than this does not tell where the node sends its requests now: its grant may end.
constexpr Duration FreshTime = 1s;
// A node that has been without contact to this holder for this long has objected, if it reaches the
// store: after 1 s (NodeShare.cpp), the time to its next report and that of a call. It repeats the
// objection within the same time.
constexpr Duration SilentTime = 3s;
// Part of the old servers' slots, in thousandths, without which nothing is completed.
constexpr std::uint32_t LeastCapacity = 800;
// Time that load test, shift and closing take at most.
constexpr std::chrono::milliseconds MaxFinishTime{4000};
constexpr int FinishPart = 3;
// The part of it that shift and closing need.
constexpr std::chrono::milliseconds MaxShiftingTime{2500};
// Half of the time is for versions that turn bad late.
constexpr int WatchPart = 2;
constexpr std::int64_t LeastAnswers = 10;
// Probing pauses until it can load a server for some tenths of a second: faults under load do not
// show in requests that are spread evenly.
constexpr double BurstUnits = 20;
// Smoothing of the requests that a node sees between two reports, and the least number assumed.
constexpr double RecentWeight = 0.3;
constexpr double LeastRecent = 0.2;

Duration ageOf(const Controller &c, const Now &now) {
  return std::chrono::duration_cast<Duration>(now.Wall - c.Started);
}

Duration finishTime(const Controller &c) {
  return std::min<Duration>(MaxFinishTime, c.Order.Time / FinishPart);
}

std::int64_t targetAnswers(const Controller &c) {
  std::int64_t sum = 0;
  for (const auto &[name, it] : c.Routes)
    sum += it.Failed.Total.TargetAnswers + it.Failed.Window.TargetAnswers;
  return sum;
}

double budgetOf(const Controller &c) {
  const double bound = c.Limits.Slack + c.Limits.Share * static_cast<double>(seenRequests(c));
  if (c.State == State::Loading)
    return LoadingPart * bound;
  if (c.State != State::Probing)
    return 0;
  return targetAnswers(c) < FirstAnswers
             ? std::min(static_cast<double>(c.Lost) + FirstUnits, ProbingPart * bound)
             : ProbingPart * bound;
}

double freeUnits(const Controller &c) {
  const double confirmed = c.Mark ? static_cast<double>(c.Mark->Granted) : 0;
  return std::min(budgetOf(c), confirmed) - static_cast<double>(exposedRequests(c));
}

Duration shiftingTime(const Controller &c) {
  return std::min<Duration>(MaxShiftingTime, finishTime(c) * 5 / 8);
}

double riseOf(const RouteTests &it) { return std::max(it.Failed.Rise, it.Slow.Rise); }

double highestRise(const Controller &c) {
  double out = riseOf(c.AllRoutes);
  for (const auto &[name, it] : c.Routes)
    out = std::max(out, riseOf(it));
  return out;
}

bool isRouteAccepted(const RouteTests &it) { return isAccepted(it.Failed) && isAccepted(it.Slow); }

/// Share that the started servers can take.
std::uint32_t capacityPermille(const Inputs &in) {
  if (in.OldSlots == 0)
    return WholeShare;
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(WholeShare, in.TargetSlots * WholeShare / in.OldSlots));
}

// Conditions of the state machine.

bool isBad(const Controller &c, const Inputs & /*in*/, const Now & /*now*/) {
  const auto isWorseBy = [](const RouteTests &it) {
    return isWorse(it.Failed) || isWorse(it.Slow);
  };
  return isWorseBy(c.AllRoutes) ||
         std::ranges::any_of(c.Routes, [&](const auto &it) { return isWorseBy(it.second); });
}

bool isTimeOver(const Controller &c, const Inputs & /*in*/, const Now &now) {
  return ageOf(c, now) >= c.Order.Time;
}

bool lacksCapacityAtEnd(const Controller &c, const Inputs &in, const Now &now) {
  return isTimeOver(c, in, now) && capacityPermille(in) < LeastCapacity;
}

bool isInForceAlready(const Controller & /*c*/, const Inputs &in, const Now & /*now*/) {
  return in.TargetSlots > 0 && in.OldSlots == 0;
}

bool hasStarted(const Controller &c, const Inputs &in, const Now & /*now*/) {
  return in.TargetSlots > 0 && c.ActiveWritten && c.Mark.has_value();
}

bool isAcceptedEverywhere(const Controller &c, const Inputs & /*in*/, const Now &now) {
  return ageOf(c, now) >= c.Order.Time / WatchPart && targetAnswers(c) >= LeastAnswers &&
         std::ranges::all_of(c.Routes, [](const auto &it) { return isRouteAccepted(it.second); });
}

bool mustFinish(const Controller &c, const Inputs & /*in*/, const Now &now) {
  return ageOf(c, now) >= c.Order.Time - finishTime(c);
}

/// What is left of the finish time can still be saved by a test that has just begun to clear.
bool isTooLate(const Controller &c, const Inputs & /*in*/, const Now &now) {
  return ageOf(c, now) >= c.Order.Time - finishTime(c) * 3 / 4;
}

bool mustFinishAndLeans(const Controller &c, const Inputs &in, const Now &now) {
  return mustFinish(c, in, now) && targetAnswers(c) >= LeastAnswers &&
         std::ranges::all_of(c.Routes, [](const auto &it) {
           return leansToGood(it.second.Failed) && leansToGood(it.second.Slow);
         });
}

bool isLoadTimeOver(const Controller &c, const Now &now) {
  return c.LoadServers == 0 || now.Steady - c.Entered >= LoadTime;
}

bool mustShift(const Controller &c, const Now &now) {
  return ageOf(c, now) >= c.Order.Time - shiftingTime(c);
}

/// Evidence against the target is left at the end of the load test.
bool isSuspect(const Controller &c, const Inputs & /*in*/, const Now &now) {
  return isLoadTimeOver(c, now) && mustShift(c, now) && highestRise(c) >= RevertHeldAt;
}

/// The units of the load test are used and answered, or enough time has passed for that.
bool isLoadTested(const Controller &c, const Inputs & /*in*/, const Now &now) {
  return isLoadTimeOver(c, now) && (mustShift(c, now) || highestRise(c) < HoldAt);
}

bool isShifted(const Controller &c, const Inputs &in, const Now &now) {
  return now.Steady - c.Entered >= ShiftTime && capacityPermille(in) >= LeastCapacity;
}

bool isFresh(const NodeRecord &it, const Now &now) { return now.Steady - it.Heard <= FreshTime; }

/// Every node that may be up has said lately that an immediate stop of the old servers would harm
/// nothing. Silence says nothing: a node without a grant uses the old servers. Nodes that are not
/// known to be up are left out once they would have objected, and the write of the status fails if
/// they have.
bool isClear(const Controller &c, const Inputs &in, const Now &now) {
  if (now.Steady - c.Objected < SilentTime || lacksReports(c, in, now))
    return false;
  std::size_t heard = 0;
  for (const auto &[name, it] : c.Nodes) {
    if (!isFresh(it, now))
      continue;
    if (!it.Report.Closed || it.Report.OldOpen != 0)
      return false;
    ++heard;
  }
  return heard > 0;
}

struct Step {
  State From;
  bool (*When)(const Controller &, const Inputs &, const Now &);
  State To;
  const char *Why;
};

/// The first line of a state whose condition holds is taken; see docs/design/rollouts.md.
constexpr std::array Steps = {
    Step{State::Waiting, isInForceAlready, State::Completed, "in_force_already"},
    Step{State::Waiting, hasStarted, State::Probing, "server_started"},
    Step{State::Waiting, isTimeOver, State::Reverted, "no_server_started"},
    Step{State::Probing, isBad, State::Reverted, "worse"},
    Step{State::Probing, isAcceptedEverywhere, State::Loading, "accepted"},
    Step{State::Probing, mustFinishAndLeans, State::Loading, "time_short_leans_to_good"},
    Step{State::Probing, isTooLate, State::Reverted, "time_short_evidence_weak"},
    Step{State::Loading, isBad, State::Reverted, "worse_under_load"},
    Step{State::Loading, isSuspect, State::Reverted, "suspect_under_load"},
    Step{State::Loading, isLoadTested, State::Shifting, "load_tested"},
    Step{State::Shifting, isBad, State::Reverted, "worse_while_shifting"},
    Step{State::Shifting, isShifted, State::Closing, "shifted"},
    Step{State::Shifting, lacksCapacityAtEnd, State::Reverted, "capacity_missing"},
    Step{State::Closing, isBad, State::Reverted, "worse_while_closing"},
    Step{State::Closing, lacksCapacityAtEnd, State::Reverted, "capacity_missing"},
    Step{State::Closing, isClear, State::Completed, "nothing_on_old_servers"},
};

void addCounts(Controller &c, const message::RolloutReport &before,
               const message::RolloutReport &after, const Now &now) {
  const auto signedOf = [](std::uint64_t n) { return static_cast<std::int64_t>(n); };
  for (const message::RolloutCounts &it : after.Counts) {
    message::RolloutCounts old;
    for (const message::RolloutCounts &known : before.Counts)
      if (known.Route == it.Route && known.Target == it.Target)
        old = known;
    const std::int64_t answers = signedOf(it.Answers) - signedOf(old.Answers);
    const std::int64_t failed = signedOf(it.Failed) - signedOf(old.Failed);
    const std::int64_t slow = signedOf(it.Slow) - signedOf(old.Slow);
    RouteTests &tests = c.Routes[it.Route];
    const auto make = [&](std::int64_t bad) {
      return it.Target ? AnswerCounts{.TargetAnswers = answers, .TargetBad = bad}
                       : AnswerCounts{.BaseAnswers = answers, .BaseBad = bad};
    };
    addAnswers(tests.Failed, make(failed), now);
    addAnswers(tests.Slow, make(slow), now);
  }
}

/// Units for a node by the requests that it sees; below one, the probability of one unit. The units
/// that others hold are counted in, as they come back with the next report.
double unitsFor(const Controller &c, const NodeRecord &node) {
  const double available = freeUnits(c);
  if (available < 1 || (c.State == State::Probing && !c.Bursting))
    return 0;
  double all = 0;
  double held = 0;
  for (const auto &[name, it] : c.Nodes) {
    all += it.Recent;
    held += double(it.Units);
  }
  const double nodes = double(std::max<std::size_t>(1, c.Nodes.size()));
  // A node that has just seen nothing may see the next request.
  const double part = (node.Recent + LeastRecent) / (all + nodes * LeastRecent);
  return std::min(available, (available + held) * part);
}

/// Draws the units of a node. In a large fleet few nodes get one; these send more of their requests
/// to the target.
void grantUnits(const Controller &c, message::RolloutGrant &out, const NodeRecord &node,
                Random &rng) {
  const double expected = node.Recent * out.SharePermille / WholeShare;
  const double units = std::min(unitsFor(c, node), SpareUnits + UnitsPerNeed * expected);
  std::uniform_real_distribution<double> draw(0, 1);
  const double whole = std::floor(units);
  out.Units = static_cast<std::uint32_t>(whole) + (draw(rng) < units - whole ? 1 : 0);
  if (units <= 0 || units >= 1)
    return;
  const auto raise = [&](std::uint32_t &it) {
    it = static_cast<std::uint32_t>(std::min<double>(WholeShare, it / units));
  };
  raise(out.SharePermille);
  for (message::RolloutRouteShare &it : out.Routes)
    raise(it.Permille);
}

std::uint32_t permille(double part) {
  return static_cast<std::uint32_t>(std::lround(part * WholeShare));
}

/// Spreads the requests that `servers` of the target's servers take over the routes, alike over
/// those that lack evidence, so that rare ones are not the last.
void fillRoutes(const Controller &c, message::RolloutGrant &out, std::uint32_t servers,
                const Inputs &in) {
  const double part =
      std::min(1.0, double(servers) / double(std::max<std::size_t>(1, in.TargetServers)));
  out.Servers = servers;
  out.SharePermille = permille(part);
  double answers = 0;
  double weights = 0;
  const auto answersOf = [](const RouteTests &it) {
    const AnswerCounts &total = it.Failed.Total;
    return double(std::max<std::int64_t>(0, total.BaseAnswers + total.TargetAnswers));
  };
  const auto weightOf = [](const RouteTests &it) {
    if (riseOf(it) > SuspectAt)
      return SuspectWeight;
    return isRouteAccepted(it) ? AcceptedWeight : 1.0;
  };
  for (const auto &[name, it] : c.Routes) {
    answers += answersOf(it);
    weights += weightOf(it);
  }
  if (part >= 1 || answers == 0)
    return;
  for (const auto &[name, it] : c.Routes) {
    const double frequency = std::max(answersOf(it), 1.0) / answers;
    const double wanted = part * weightOf(it) / weights;
    out.Routes.push_back({name, permille(std::min(MostRouteShare, wanted / frequency))});
  }
}

/// The number of servers that the units left can keep as busy as the whole traffic will.
std::uint32_t loadServers(const Controller &c, const Inputs &in, const Now &now) {
  const double rate = double(seenRequests(c)) / std::max(1.0, double(ageOf(c, now) / 1ms));
  const double units = LoadingPart * (c.Limits.Slack + c.Limits.Share * double(seenRequests(c))) -
                       double(exposedRequests(c));
  const double whole = rate * double(LoadTime / 1ms);
  if (units < 1)
    return 0;
  if (whole <= 0)
    return 1;
  const double servers = std::floor(std::min(1.0, units / whole) * double(in.TargetServers));
  return static_cast<std::uint32_t>(std::max(1.0, servers));
}

void fillShare(const Controller &c, message::RolloutGrant &out, const Inputs &in, const Now &now) {
  switch (c.State) {
  case State::Probing:
    fillRoutes(c, out, 1, in);
    break;
  case State::Loading:
    fillRoutes(c, out, c.LoadServers, in);
    break;
  case State::Shifting:
    out.Bounded = false;
    out.SharePermille = std::min(
        capacityPermille(in), now.Steady - c.Entered < ShiftStage ? FirstShiftShare : WholeShare);
    // As many servers as keep the load of each at that of the whole traffic.
    out.Servers = static_cast<std::uint32_t>(
        (in.TargetServers * out.SharePermille + WholeShare - 1) / WholeShare);
    break;
  case State::Completed:
    // Until the status is written, the old servers must stay free of requests.
    if (c.FinalWritten)
      break;
    [[fallthrough]];
  case State::Closing:
    out.Bounded = false;
    out.SharePermille = WholeShare;
    out.Closing = true;
    break;
  case State::Waiting:
  case State::Reverted:
    break;
  }
}

bool isFinalState(State state) { return state == State::Completed || state == State::Reverted; }

} // namespace

const char *toString(State state) {
  switch (state) {
  case State::Waiting:
    return "waiting";
  case State::Probing:
    return "probing";
  case State::Loading:
    return "loading";
  case State::Shifting:
    return "shifting";
  case State::Closing:
    return "closing";
  case State::Completed:
    return "completed";
  case State::Reverted:
    return "reverted";
  }
  return "";
}

Controller makeController(const Order &order, const ExposureLimits &limits,
                          const std::optional<Status> &status, const std::optional<Mark> &mark,
                          const Now &now) {
  Controller c;
  c.Order = order;
  c.Limits = limits;
  c.Entered = now.Steady;
  c.Started = now.Wall;
  c.Objected = now.Steady;
  if (mark && mark->Order == order.Revision) {
    c.Mark = mark;
    c.Started = mark->Started;
    c.Lost = mark->Granted;
  }
  c.ActiveWritten = status && isAbout(*status, order);
  onStatusRead(c, status);
  return c;
}

std::uint64_t exposedRequests(const Controller &c) {
  std::uint64_t sum = c.Lost;
  for (const auto &[name, it] : c.Nodes)
    sum += it.Report.Sent + it.Units;
  return sum;
}

std::uint64_t seenRequests(const Controller &c) {
  std::uint64_t sum = 0;
  for (const auto &[name, it] : c.Nodes)
    sum += it.Report.Seen;
  return sum;
}

message::RolloutGrant makeNotice(const Controller &c, const Inputs &in) {
  message::RolloutGrant out;
  out.Service = c.Order.Service;
  out.Target = c.Order.Target;
  out.Order = c.Order.Revision;
  out.Token = in.Token;
  // Nodes act on a final state before it is written only if it forbids the target.
  if (c.State == State::Reverted)
    out.Ended = 2;
  else if (c.State == State::Completed && c.FinalWritten)
    out.Ended = 1;
  return out;
}

message::RolloutGrant onReport(Controller &c, const message::RolloutReport &report,
                               const Inputs &in, const Now &now, Random &rng) {
  message::RolloutGrant out = makeNotice(c, in);
  if (report.Order != c.Order.Revision || report.Service != c.Order.Service)
    return out;
  const auto [known, isNew] = c.Nodes.try_emplace(report.Node);
  NodeRecord &node = known->second;
  if (!isNew && report.Seq <= node.Report.Seq)
    return out;
  // What an earlier holder granted and this node has used is now counted with the node.
  if (isNew)
    c.Lost -= std::min(c.Lost, report.Sent);
  addCounts(c, node.Report, report, now);
  const auto seen = static_cast<double>(report.Seen - std::min(report.Seen, node.Report.Seen));
  node.Recent += (isNew ? 1 : RecentWeight) * (seen - node.Recent);
  node.Report = report;
  node.Heard = now.Steady;
  node.Units = 0;
  out.Heard = report.Seq;
  if (!in.MayAct)
    return out;
  fillShare(c, out, in, now);
  if (out.SharePermille == 0)
    return out;
  out.Seq = report.Seq;
  if (out.Bounded)
    grantUnits(c, out, node, rng);
  node.Units = out.Bounded ? out.Units : 0;
  return out;
}

namespace {

void askForWrites(Controller &c, std::vector<Action> &out) {
  const bool isFinal = isFinalState(c.State);
  if (!c.StatusPending && (isFinal ? !c.FinalWritten : !c.ActiveWritten)) {
    c.StatusPending = true;
    const StatusState state = !isFinal                      ? StatusState::Active
                              : c.State == State::Completed ? StatusState::Completed
                                                            : StatusState::Reverted;
    out.push_back({.Type = Action::Kind::WriteStatus, .Status = state});
  }
  if (isFinal || c.MarkPending)
    return;
  const auto used = exposedRequests(c);
  auto wanted = static_cast<std::uint64_t>(std::max(0.0, std::floor(budgetOf(c))));
  // The load test spends all that is left at once.
  if (c.State != State::Loading)
    wanted = std::min(wanted, used + MarkStep);
  // A mark of this order is needed before the first grant, for the time at which it began.
  const bool isAhead =
      c.State != State::Loading && c.Mark && c.Mark->Granted >= used + MarkStep / 2;
  if (c.Mark && (wanted <= c.Mark->Granted || isAhead))
    return;
  c.MarkPending = true;
  Action it{.Type = Action::Kind::WriteMark};
  it.Mark = {c.Order.Revision, c.Started, std::max(c.Mark ? c.Mark->Granted : 0, wanted)};
  out.push_back(it);
}

} // namespace

std::vector<Action> tick(Controller &c, const Inputs &in, const Now &now) {
  std::vector<Action> out;
  for (auto &[name, it] : c.Routes) {
    addChange(c.AllRoutes.Failed, closeWindow(it.Failed, now));
    addChange(c.AllRoutes.Slow, closeWindow(it.Slow, now));
  }
  if (!in.MayAct)
    return out;
  const double available = freeUnits(c);
  if (available >= BurstUnits || targetAnswers(c) < FirstAnswers)
    c.Bursting = true;
  else if (available < 1)
    c.Bursting = false;
  for (const Step &step : Steps) {
    if (step.From != c.State || !step.When(c, in, now))
      continue;
    c.State = step.To;
    c.Entered = now.Steady;
    c.Why = step.Why;
    if (c.State == State::Loading)
      c.LoadServers = loadServers(c, in, now);
    Action log{.Type = Action::Kind::Step};
    log.From = step.From;
    log.To = step.To;
    log.Why = step.Why;
    out.push_back(log);
    break;
  }
  askForWrites(c, out);
  return out;
}

void onStatusWritten(Controller &c, StatusState state, bool written) {
  c.StatusPending = false;
  // What allowed the old servers to stop may not hold any more when the write is repeated.
  if (!written && state == StatusState::Completed && c.State == State::Completed)
    c.State = State::Closing;
  if (!written)
    return;
  c.ActiveWritten = true;
  if (state != StatusState::Active)
    c.FinalWritten = true;
}

void onStatusRead(Controller &c, const std::optional<Status> &status) {
  if (!isFinal(c.Order, status))
    return;
  c.State = status->State == StatusState::Completed ? State::Completed : State::Reverted;
  c.ActiveWritten = c.FinalWritten = true;
}

void onObjection(Controller &c, const Now &now) { c.Objected = now.Steady; }

bool lacksReports(const Controller &c, const Inputs &in, const Now &now) {
  if (c.State != State::Closing)
    return false;
  const auto isUnknown = [&](const std::string &name) {
    const auto it = c.Nodes.find(name);
    return it == c.Nodes.end() || !isFresh(it->second, now);
  };
  return std::ranges::any_of(in.LiveNodes, isUnknown) ||
         std::ranges::any_of(c.Nodes, [&](const auto &it) {
           return !isFresh(it.second, now) && now.Steady - it.second.Heard < SilentTime;
         });
}

void onMarkWritten(Controller &c, const Mark &mark, bool written) {
  c.MarkPending = false;
  if (written)
    c.Mark = mark;
}

} // namespace chervil::rollout
