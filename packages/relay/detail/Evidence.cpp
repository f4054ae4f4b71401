#include "relay/detail/Evidence.h"

#include "relay/detail/Versions.h"

#include <algorithm>
#include <chrono>

namespace chervil::relay::detail {
namespace {

using namespace std::chrono_literals;
using rollout::AnswerQuality;

// An answer that takes this many times the usual time is slow.
constexpr double SlowFactor = 3;
// Weight of one answer in the usual times: about the last ten count.
constexpr double UsualWeight = 0.1;
// Answers without which no time is usual.
constexpr unsigned LeastAnswers = 5;
// Events without which the time of one is not known well enough.
constexpr unsigned LeastEvents = 4;
// A server that crashes breaks all its answers within this time.
constexpr Duration AtOnce = 50ms;
// A server that crashed refuses connections, or its entry lapses, within this time. A broken answer
// is evidence after it, which leaves most of the 5 s in which a bad version must be left.
constexpr Duration CrashShowsTime = 1500ms;
// Broken answers that are examined at the same time. More show an outage; they are no evidence.
constexpr std::size_t MaxBroken = 200;

double millis(Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

bool isQuarantined(const State &state, std::uint64_t contentHash,
                   const std::vector<std::uint64_t> &parts, const Now &now) {
  return retry::crashCount(state.Quarantine, contentHash, now) >= CrashesToRefuse ||
         retry::isQuarantined(state.PartQuarantine, parts);
}

/// Returns the server if its answers are evidence; null if it is leaving or has gone.
const Backend *usedServer(State &state, const std::string &id) {
  const Backend *server = find(state.Servers, id);
  return server == nullptr || server->Leaving || server->MissingSince ? nullptr : server;
}

/// Returns the rollout that an answer of this version is about; null if there is none.
ServiceRollout *judgedRollout(State &state, const ActiveRequest &request,
                              const std::string &version) {
  ServiceRollout *rollout = findRollout(state, request.Service);
  return rollout == nullptr || !isDivided(*rollout) || rollout->Excluded.contains(version)
             ? nullptr
             : rollout;
}

bool isTarget(const ServiceRollout &rollout, const std::string &version) {
  return version == rollout.Share.Grant.Target;
}

/// Time of the answer, or of an event; empty if it is not known well enough.
std::optional<double> timeOf(const ActiveRequest &request, const Now &now) {
  if (request.Stage != Stage::Streaming)
    return millis(now.Steady - request.Call.Sent);
  const ServerCall &call = request.Call;
  if (call.EventCount < LeastEvents)
    return std::nullopt;
  return millis(call.LastEventAt - call.FirstEventAt) / (call.EventCount - 1);
}

bool isSlow(double time, double usual, unsigned answers) {
  return answers >= LeastAnswers && time > SlowFactor * usual;
}

/// Adds an answer to the usual times. One that is far off changes them little.
void learn(UsualTime &usual, double answer, double head) {
  const double weight = usual.Answers == 0 ? 1 : UsualWeight;
  const auto bounded = [&](double time, double known) {
    return usual.Answers < LeastAnswers ? time : std::min(time, SlowFactor * known);
  };
  usual.Answer += weight * (bounded(answer, usual.Answer) - usual.Answer);
  usual.Head += weight * (bounded(head, usual.Head) - usual.Head);
  ++usual.Answers;
}

UsualTime &usualTime(State &state, const ActiveRequest &request) {
  return state.UsualTimes[{request.Service, request.Route->Name}];
}

/// The failure of a request at one version is no evidence any more.
void withdraw(ServiceRollout &rollout, const ActiveRequest &request, bool target) {
  const auto erased = std::erase_if(rollout.Broken, [&](const BrokenAnswer &it) {
    return it.Request == request.Id && it.Target == target;
  });
  if (erased == 0)
    rollout::withdrawFailure(rollout.Share, request.Route->Name, target);
}

/// Notes that the request failed at the version of its server. Returns the rollout if that is
/// evidence.
ServiceRollout *onFailure(Context &ctx, ActiveRequest &request) {
  ServiceRollout *rollout = judgedRollout(ctx.S, request, request.Call.Version);
  if (rollout == nullptr)
    return nullptr;
  joinOrder(*rollout, request);
  VersionUse &use = request.Versions;
  const bool target = isTarget(*rollout, request.Call.Version);
  // The next send goes to an old server unless nothing may go there any more.
  if (target && !rollout::isClosed(rollout->Share, ctx.Time))
    use.Target = use.IsCovered = false;
  if (request.IsProbe || request.Call.IsNotedSlow ||
      usedServer(ctx.S, request.Call.Backend) == nullptr ||
      isQuarantined(ctx.S, request.Info.ContentHash, sharedParts(request.Info.Prompt), ctx.Time))
    return nullptr;
  bool &here = target ? use.FailedAtTarget : use.FailedAtOld;
  const bool elsewhere = target ? use.FailedAtOld : use.FailedAtTarget;
  if (here)
    return nullptr;
  here = true;
  if (!elsewhere)
    return rollout;
  withdraw(*rollout, request, !target);
  return nullptr;
}

/// Notes an answer that was given up after a time, if that is longer than usual. Returns true if it
/// is.
bool noteGivenUp(Context &ctx, const ActiveRequest &request, const std::string &id,
                 const std::string &version, double time, double UsualTime::*usual) {
  ServiceRollout *rollout = judgedRollout(ctx.S, request, version);
  const Backend *server = usedServer(ctx.S, id);
  if (rollout == nullptr || server == nullptr || ctx.Time.Steady < server->WarmUntil ||
      request.IsProbe)
    return false;
  const UsualTime &known = usualTime(ctx.S, request);
  if (!isSlow(time, known.*usual, known.Answers))
    return false;
  rollout::onAnswer(rollout->Share, request.Route->Name, isTarget(*rollout, version),
                    AnswerQuality::Slow);
  return true;
}

void countBroken(ServiceRollout &rollout, const BrokenAnswer &it) {
  if (!it.IsCrash)
    rollout::onAnswer(rollout.Share, it.Route, it.Target, AnswerQuality::Failed);
}

/// The answers of a server that broke at once, with no other left on it, show a crash.
bool isCrash(const std::vector<BrokenAnswer> &all, const BrokenAnswer &broken) {
  unsigned atOnce = 0;
  bool isLast = false;
  for (const BrokenAnswer &it : all) {
    if (it.Backend != broken.Backend || it.Born != broken.Born ||
        std::chrono::abs(it.At - broken.At) > AtOnce)
      continue;
    ++atOnce;
    isLast = isLast || it.OthersInflight == 0;
  }
  return atOnce > 1 && isLast;
}

/// A broken answer that is no evidence does not count as a failure of its request either.
void forget(State &state, const BrokenAnswer &it) {
  const auto request = state.ActiveRequests.find(it.Request);
  if (request == state.ActiveRequests.end())
    return;
  VersionUse &use = request->second.Versions;
  (it.Target ? use.FailedAtTarget : use.FailedAtOld) = false;
}

} // namespace

void noteAnswer(Context &ctx, const ActiveRequest &request) {
  if (!ctx.S.Settings.Rollouts)
    return;
  const Backend *server = usedServer(ctx.S, request.Call.Backend);
  if (server == nullptr || request.IsProbe || request.Call.IsNotedSlow)
    return;
  const bool isWarm = ctx.Time.Steady >= server->WarmUntil;
  const std::optional<double> time = timeOf(request, ctx.Time);
  const double head = millis(request.Call.AnswerBegan - request.Call.Sent);
  UsualTime &usual = usualTime(ctx.S, request);
  const std::string &version = request.Call.Version;
  ServiceRollout *rollout = judgedRollout(ctx.S, request, version);
  if (rollout == nullptr) {
    if (time && isWarm)
      learn(usual, *time, head);
    return;
  }
  std::erase_if(rollout->Broken, [&](const BrokenAnswer &it) {
    const bool isAlive = it.Backend == request.Call.Backend && request.Call.Sent >= it.At;
    if (isAlive)
      countBroken(*rollout, it);
    return isAlive;
  });
  const bool target = isTarget(*rollout, version);
  const bool slow = time && isSlow(*time, usual.Answer, usual.Answers);
  if (slow && !isWarm)
    return;
  if (time && isWarm && !slow && !target)
    learn(usual, *time, head);
  rollout::onAnswer(rollout->Share, request.Route->Name, target,
                    slow ? AnswerQuality::Slow : AnswerQuality::Good);
}

void noteEvent(ActiveRequest &request, const Now &now) {
  ServerCall &call = request.Call;
  if (call.EventCount++ == 0)
    call.FirstEventAt = now.Steady;
  call.LastEventAt = now.Steady;
}

void noteFailed(Context &ctx, ActiveRequest &request) {
  if (ServiceRollout *rollout = onFailure(ctx, request))
    rollout::onAnswer(rollout->Share, request.Route->Name, isTarget(*rollout, request.Call.Version),
                      AnswerQuality::Failed);
}

void noteBroken(Context &ctx, ActiveRequest &request) {
  ServiceRollout *rollout = onFailure(ctx, request);
  const Backend *server = find(ctx.S.Servers, request.Call.Backend);
  if (rollout == nullptr || server == nullptr || rollout->Broken.size() >= MaxBroken)
    return;
  BrokenAnswer it;
  it.Request = request.Id;
  it.Backend = request.Call.Backend;
  it.Born = server->Entry.Born;
  it.At = ctx.Time.Steady;
  it.Route = request.Route->Name;
  it.Target = isTarget(*rollout, request.Call.Version);
  it.ContentHash = request.Info.ContentHash;
  it.Parts = sharedParts(request.Info.Prompt);
  it.OthersInflight = server->Inflight - std::min(1U, server->Inflight);
  rollout->Broken.push_back(std::move(it));
}

void noteUnreachable(Context &ctx, const ActiveRequest &request) {
  ServiceRollout *rollout = findRollout(ctx.S, request.Service);
  if (rollout == nullptr)
    return;
  std::erase_if(rollout->Broken, [&](const BrokenAnswer &it) {
    if (it.Backend != request.Call.Backend)
      return false;
    forget(ctx.S, it);
    return true;
  });
}

void noteTimeout(Context &ctx, const ActiveRequest &request) {
  if (request.Call.IsNotedSlow)
    return;
  const std::string &version = request.Call.Version;
  if (request.Stage == Stage::Streaming)
    noteGivenUp(ctx, request, request.Call.Backend, version,
                std::max(millis(ctx.Time.Steady - request.Call.LastProgress),
                         timeOf(request, ctx.Time).value_or(0)),
                &UsualTime::Answer);
  else if (request.Route->Kind == RouteKind::Stream)
    noteGivenUp(ctx, request, request.Call.Backend, version,
                millis(ctx.Time.Steady - request.Call.Sent), &UsualTime::Head);
  else
    noteGivenUp(ctx, request, request.Call.Backend, version,
                millis(ctx.Time.Steady - request.Call.Sent), &UsualTime::Answer);
}

void noteSilence(Context &ctx, const ActiveRequest &request, ServerCall &silent) {
  silent.IsNotedSlow |=
      noteGivenUp(ctx, request, silent.Backend, silent.Version,
                  millis(ctx.Time.Steady - silent.LastProgress), &UsualTime::Answer);
}

void judgeBroken(State &state, ServiceRollout &rollout, const Now &now) {
  for (BrokenAnswer &it : rollout.Broken) {
    const Backend *server = usedServer(state, it.Backend);
    // Those of one crash stay in the list together, as they show the crash only together.
    if (!it.IsCrash &&
        (server == nullptr || server->Entry.Born != it.Born || isCrash(rollout.Broken, it) ||
         isQuarantined(state, it.ContentHash, it.Parts, now))) {
      it.IsCrash = true;
      forget(state, it);
    }
  }
  std::erase_if(rollout.Broken, [&](const BrokenAnswer &it) {
    if (now.Steady - it.At < CrashShowsTime)
      return false;
    countBroken(rollout, it);
    return true;
  });
}

} // namespace chervil::relay::detail
