#include "testing/NodeDriver.h"

#include "base/Uuid.h"
#include "contract/VersionedContract.h"

#include <algorithm>
#include <stdexcept>

namespace chervil::testing {

using namespace std::chrono_literals;

namespace {

constexpr auto TickPeriod = 20ms;
constexpr auto TokenPeriod = 10ms;
constexpr auto LeaseTime = 2s;
constexpr auto LeavingBound = 3s;
constexpr unsigned MaxTries = 200;
constexpr auto VmListPeriod = 1s;

std::string nameOf(std::size_t node) { return "n" + std::to_string(node); }
std::string addressOf(std::size_t node) { return "10.0.0." + std::to_string(node) + ":1"; }
std::string tokenOf(const std::string &key, unsigned i) {
  return key + "#" + std::to_string(i) + " ";
}

std::string contractBody(const ContractLimits &limits) {
  Contract contract;
  contract.Customer = "acme";
  contract.Keys = {"secret-token-of-acme"};
  contract.Limits = limits;
  contract.CostPerHour = 1000;
  contract.Models = {{"model", 1024, WorkLength::Long, {}}};
  ServiceTerms service;
  service.Name = "service";
  service.Backends = "service";
  contract.Services = {service};
  return serialise(succeed(nullptr, {1, "change-1", "test", WallTime{}}, contract));
}

} // namespace

std::string expectedText(const std::string &key, unsigned tokens) {
  std::string text;
  for (unsigned i = 0; i < tokens; ++i)
    text += tokenOf(key, i);
  return text;
}

NodeDriver::NodeDriver(DriverOptions options, std::uint64_t seed)
    : Options(std::move(options)), Rng(seed), Slots(Options.Nodes), Backends(Options.Backends) {
  for (std::size_t i = 0; i < Slots.size(); ++i)
    boot(i);
}

void NodeDriver::boot(std::size_t node) {
  Slot &slot = Slots[node];
  ++slot.Generation;
  slot.Up = true;
  slot.PausedUntil = {};
  slot.CrashAt = TimePoint::max();
  slot.BelievesDuty = false;
  slot.Stopped = false;
  message::MemberUpdate self;
  const auto started = static_cast<std::uint64_t>(now().Wall.time_since_epoch().count());
  slot.Incarnation = std::max(slot.Incarnation + 1, started);
  self.Id = {nameOf(node), slot.Incarnation};
  self.Region = "r";
  self.DataCentre = "dc" + std::to_string(node % Options.DataCentres);
  self.PeerAddress = addressOf(node);
  self.CallerAddress = addressOf(node);
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < Slots.size(); ++i)
    seeds.push_back(addressOf(i));
  slot.State = node::makeState(std::move(self), seeds, Options.Parts, now());
  post(node, node::Document{"config/contracts/acme", 1, contractBody(Options.Limits)}, 0ms);
  post(node, node::Tick{}, 1ms);
  publishBackends();
}

void NodeDriver::post(std::size_t node, node::Event event, std::chrono::milliseconds delay) {
  Queue.push({Clock + delay, NextSeq++, node, Slots[node].Generation, std::move(event)});
}

void NodeDriver::runFor(std::chrono::milliseconds time) {
  const TimePoint end = Clock + time;
  while (Clock < end) {
    step();
    Clock += 1ms;
  }
}

void NodeDriver::step() {
  for (std::size_t i = 0; i < Slots.size(); ++i)
    if (Slots[i].Up && Clock >= Slots[i].CrashAt)
      crash(i);
  while (!Queue.empty() && Queue.top().At <= Clock) {
    Item item = Queue.top();
    Queue.pop();
    Slot &slot = Slots[item.Node];
    if (!slot.Up || slot.Generation != item.Generation)
      continue;
    if (Clock < slot.PausedUntil) {
      item.At = slot.PausedUntil;
      Queue.push(std::move(item));
      continue;
    }
    if (std::holds_alternative<node::Tick>(item.What))
      post(item.Node, node::Tick{}, TickPeriod);
    runEvent(item.Node, item.What);
  }
  runBackends();
  serveDuty();
  publishVmList();
  reconnectCallers();
  resendImpatiently();
}

void NodeDriver::runEvent(std::size_t node, const node::Event &event) {
  for (node::Effect &it : node::handleEvent(*Slots[node].State, event, now(), Rng))
    carryOut(node, std::move(it));
}

void NodeDriver::carryOut(std::size_t node, node::Effect effect) {
  if (const auto *send = std::get_if<node::SendPeer>(&effect))
    sendPeer(node, *send);
  else if (const auto *call = std::get_if<node::CallBackend>(&effect))
    startBackendCall(node, *call);
  else if (const auto *cancel = std::get_if<node::CancelBackend>(&effect))
    std::erase_if(Calls, [&](const Running &it) {
      return it.Node == node && it.NodeGeneration == Slots[node].Generation &&
             it.Call == cancel->Call;
    });
  else if (const auto *exported = std::get_if<node::ExportKv>(&effect))
    post(node, node::KvExported{exported->Call, "handle"}, 2ms);
  else if (const auto *write = std::get_if<node::WriteShardMap>(&effect))
    writeMap(node, *write);
  else if (const auto *bytes = std::get_if<node::Bytes>(&effect))
    onBytes(node, *bytes);
  else if (std::holds_alternative<node::Stopped>(effect))
    Slots[node].Stopped = true;
  else if (const auto *refuse = std::get_if<node::Refuse>(&effect))
    onRefuse(node, *refuse);
  else if (const auto *violation = std::get_if<node::InvariantViolation>(&effect))
    Violations.push_back(std::string(toString(violation->Kind)) + ": " + violation->Detail);
  else if (const auto *finish = std::get_if<node::Finish>(&effect)) {
    Caller *caller = callerOf(node, finish->Handle);
    if (caller == nullptr)
      return;
    caller->Done = true;
    const auto &request = caller->Request;
    caller->IsWrong = request.Repeatable ? caller->Text != expectedText(request.Key, request.Tokens)
                                         : caller->Text != "done " + request.Key;
  } else if (const auto *moved = std::get_if<node::Moved>(&effect)) {
    Caller *caller = callerOf(node, moved->Handle);
    if (caller == nullptr)
      return;
    caller->Gateway = pickNode();
    caller->Fetching = caller->Request.Repeatable;
    sendRequest(*caller);
  }
}

void NodeDriver::sendPeer(std::size_t from, const node::SendPeer &send) {
  std::uniform_int_distribution<unsigned> percent(0, 99);
  std::uniform_int_distribution<std::int64_t> delay(1, Options.MaxDelay.count());
  for (std::size_t i = 0; i < Slots.size(); ++i) {
    if (addressOf(i) != send.Address || !Slots[i].Up)
      continue;
    if (Clock < Slots[i].IsolatedUntil || Clock < Slots[from].IsolatedUntil || isCut(from, i) ||
        percent(Rng) < Options.LossPercent)
      return;
    auto after = std::chrono::milliseconds(delay(Rng));
    // The connections of a stalled link go on one after the other, in any order.
    if (Clock < Slots[i].StalledUntil)
      after = std::chrono::ceil<std::chrono::milliseconds>(Slots[i].StalledUntil - Clock) +
              std::chrono::milliseconds((from * 7 + i * 3) % Slots.size());
    post(i, node::PeerMessage{Slots[from].State->Self, addressOf(from), send.Body}, after);
  }
}

void NodeDriver::readMap(std::size_t node) {
  if (MapRevision > 0)
    post(node, node::Document{"shards/map", MapVersion, MapBody}, 1ms);
  post(node, node::ShardDuty{true, MapRevision}, 2ms);
}

void NodeDriver::writeMap(std::size_t node, const node::WriteShardMap &write) {
  using Outcome = node::ShardMapWritten::Outcome;
  ++MapWrites;
  if (Clock < OutageUntil || !reachesKv(node)) {
    post(node, node::ShardMapWritten{Outcome::Unavailable, 0}, 500ms);
    Slots[node].BelievesDuty = false;
    return;
  }
  if (write.IfRevision != MapRevision) {
    post(node, node::ShardMapWritten{Outcome::Conflict, 0}, 2ms);
    readMap(node);
    return;
  }
  ++MapRevision;
  MapVersion = write.Version;
  MapBody = write.Body;
  if (LostAnswers > 0) {
    --LostAnswers;
    post(node, node::ShardMapWritten{Outcome::Unavailable, 0}, 500ms);
    readMap(node);
    return;
  }
  post(node, node::ShardMapWritten{Outcome::Done, MapRevision}, 2ms);
  post(node, node::Document{"shards/map", MapVersion, MapBody}, 2ms);
}

void NodeDriver::serveDuty() {
  if (Clock < NextDuty)
    return;
  NextDuty = Clock + 200ms;
  if (Clock < OutageUntil)
    return;
  const auto active = [&](std::size_t i) {
    return Slots[i].Up && Clock >= Slots[i].PausedUntil && reachesKv(i);
  };
  if (DutyHolder && active(*DutyHolder) && Clock < LeaseUntil &&
      !Slots[*DutyHolder].State->Leaving) {
    LeaseUntil = Clock + LeaseTime;
    if (!Slots[*DutyHolder].BelievesDuty) {
      Slots[*DutyHolder].BelievesDuty = true;
      readMap(*DutyHolder);
    }
    return;
  }
  const bool leaving = DutyHolder && Slots[*DutyHolder].Up && Slots[*DutyHolder].State->Leaving;
  if (DutyHolder && Clock < LeaseUntil && !leaving)
    return;
  if (DutyHolder && active(*DutyHolder)) {
    post(*DutyHolder, node::ShardDuty{false, 0}, 0ms);
    Slots[*DutyHolder].BelievesDuty = false;
  }
  DutyHolder.reset();
  for (std::size_t i = 0; i < Slots.size(); ++i) {
    if (!active(i) || Slots[i].State->Leaving)
      continue;
    DutyHolder = i;
    LeaseUntil = Clock + LeaseTime;
    Slots[i].BelievesDuty = true;
    readMap(i);
    return;
  }
}

bool NodeDriver::isCut(std::size_t from, std::size_t to) const {
  return Clock < SplitUntil && ((Groups.First >> from) & 1U) != ((Groups.First >> to) & 1U);
}

bool NodeDriver::reachesKv(std::size_t node) const {
  if (Clock >= SplitUntil)
    return true;
  return ((Groups.First >> node) & 1U) != 0 ? Groups.FirstHasKv : Groups.SecondHasKv;
}

void NodeDriver::publishVmList() {
  if (Clock < NextVmList)
    return;
  NextVmList = Clock + VmListPeriod;
  node::NodeNotices notices;
  for (std::size_t i = 0; i < Slots.size(); ++i)
    if (!Slots[i].Up && Clock - Slots[i].CrashedAt >= Options.VmListLag)
      notices.DeletedVms.push_back({nameOf(i), now().Wall - Options.VmListLag});
  if (notices.DeletedVms.empty())
    return;
  for (std::size_t i = 0; i < Slots.size(); ++i)
    post(i, notices, 1ms);
}

void NodeDriver::publishBackends() {
  for (std::size_t n = 0; n < Slots.size(); ++n) {
    node::BackendList list;
    for (std::size_t i = 0; i < Backends.size(); ++i) {
      if (Clock >= Backends[i].GoneAt)
        continue;
      routing::Backend backend;
      backend.Name = "b" + std::to_string(i);
      backend.Address = backend.Name;
      backend.Targets = {"model"};
      backend.Slots = 64;
      list.Backends.push_back(backend);
      backend.Name += "s";
      backend.Address = backend.Name;
      backend.Kind = message::WorkKind::Service;
      backend.Targets = {"service"};
      list.Backends.push_back(backend);
    }
    if (Slots[n].State)
      post(n, std::move(list), 1ms);
  }
}

void NodeDriver::startBackendCall(std::size_t node, const node::CallBackend &call) {
  const std::size_t index = std::stoul(call.Address.substr(1));
  Running running{node,     Slots[node].Generation,     call.Call,
                  index,    Backends[index].Generation, call.Spec,
                  call.Key, call.ContinuationTokens};
  const Backend &backend = Backends[index];
  ++BackendAttempts;
  if (backend.LeavingSince && Clock > *backend.LeavingSince + LeavingBound)
    ++LateToLeaving;
  if (!backend.Up || Clock >= backend.GoneAt) {
    endCall(running, node::BackendFailure::NotSent);
    return;
  }
  if (call.Spec.Kind == message::WorkKind::Service && !call.Spec.Repeatable)
    ++Executions[call.Key];
  running.StartedAt = Clock;
  ++BackendStarts;
  Calls.push_back(std::move(running));
}

void NodeDriver::endCall(const Running &it, node::BackendFailure failure) {
  if (Slots[it.Node].Up && Slots[it.Node].Generation == it.NodeGeneration)
    post(it.Node, node::BackendEnd{it.Call, failure, 200, ""}, 1ms);
}

void NodeDriver::runBackends() {
  if (Clock.time_since_epoch() % TokenPeriod != 0ms)
    return;
  std::vector<Running> open;
  std::swap(open, Calls);
  for (Running &it : open) {
    if (!Slots[it.Node].Up || Slots[it.Node].Generation != it.NodeGeneration)
      continue;
    const Backend &backend = Backends[it.Backend];
    if (!backend.Up || backend.Generation != it.BackendGeneration || Clock >= backend.GoneAt) {
      endCall(it, node::BackendFailure::Died);
      continue;
    }
    const bool model = it.Spec.Kind == message::WorkKind::Model;
    const unsigned tokens = model ? static_cast<unsigned>(std::stoul(it.Spec.Body)) : 1;
    if (it.Spec.Body.ends_with(" " + CrashingContent) && it.NextToken > 0) {
      crashBackend(it.Backend);
      ++ContentCrashes;
      endCall(it, node::BackendFailure::Died);
      continue;
    }
    if (!model && Clock - it.StartedAt < Options.ServiceTime) {
      Calls.push_back(std::move(it));
      continue;
    }
    if (it.NextToken < tokens) {
      const std::string text = model ? tokenOf(it.Key, it.NextToken) : "done " + it.Key;
      ++it.NextToken;
      post(it.Node, node::BackendBytes{it.Call, text, 1}, 1ms);
      Calls.push_back(std::move(it));
      continue;
    }
    // Behind the last bytes, as on one connection.
    post(it.Node, node::BackendEnd{it.Call, node::BackendFailure::None, 200, ""}, 1ms);
  }
}

std::string NodeDriver::freshKey() { return makeUuid7(now().Wall, Rng); }

void NodeDriver::call(const DriverRequest &request) {
  Caller caller;
  caller.Request = request;
  caller.Gateway = request.Gateway % Slots.size();
  Caller &added = Callers.emplace(request.Key, std::move(caller)).first->second;
  sendRequest(added);
}

void NodeDriver::sendRequest(Caller &caller) {
  caller.Handle = NextHandle++;
  caller.ActiveAt = Clock;
  caller.GatewayGeneration = Slots[caller.Gateway].Generation;
  if (++caller.Tries > MaxTries || !Slots[caller.Gateway].Up) {
    // A caller that cannot connect tries another address in reconnectCallers().
    caller.GatewayGeneration = 0;
    return;
  }
  if (caller.Fetching) {
    post(caller.Gateway,
         node::CallerFetch{caller.Handle, "secret-token-of-acme", caller.Request.Key,
                           caller.Text.size(), true},
         1ms);
    return;
  }
  node::CallerRequest request;
  request.Handle = caller.Handle;
  request.Token = "secret-token-of-acme";
  request.Key = caller.Request.Key;
  request.Attempt = caller.Attempt;
  request.Spec.Kind =
      caller.Request.Repeatable ? message::WorkKind::Model : message::WorkKind::Service;
  request.Spec.Target = caller.Request.Repeatable ? "model" : "service";
  request.Spec.Method = caller.Request.Repeatable ? "" : "POST";
  request.Spec.Path = caller.Request.Repeatable ? "" : "/agreements";
  const std::string &content = caller.Request.Content;
  request.Spec.Body = std::to_string(caller.Request.Tokens) + " " +
                      (content.empty() ? caller.Request.Key : content);
  post(caller.Gateway, std::move(request), 1ms);
}

void NodeDriver::reconnectCallers() {
  if (Clock.time_since_epoch() % 50ms != 0ms)
    return;
  for (auto &[key, caller] : Callers) {
    const Slot &slot = Slots[caller.Gateway];
    if (caller.Done || caller.Tries > MaxTries || Clock < caller.NotBefore ||
        (slot.Up && slot.Generation == caller.GatewayGeneration))
      continue;
    caller.Gateway = pickNode();
    caller.Fetching = caller.Request.Repeatable && !caller.Text.empty();
    if (!caller.Request.Repeatable)
      caller.Text.clear();
    sendRequest(caller);
  }
}

void NodeDriver::resendImpatiently() {
  if (Options.CallerPatience == 0ms || Clock.time_since_epoch() % 50ms != 0ms)
    return;
  for (auto &[key, caller] : Callers) {
    if (caller.Done || caller.Tries > MaxTries || Clock < caller.NotBefore ||
        Clock - caller.ActiveAt < Options.CallerPatience)
      continue;
    caller.Gateway = pickNode();
    caller.Fetching = caller.Request.Repeatable && !caller.Text.empty();
    if (!caller.Request.Repeatable)
      caller.Text.clear();
    sendRequest(caller);
  }
}

NodeDriver::Caller *NodeDriver::callerOf(std::size_t node, std::uint64_t handle) {
  for (auto &[key, caller] : Callers)
    if (!caller.Done && caller.Handle == handle && caller.Gateway == node)
      return &caller;
  return nullptr;
}

void NodeDriver::onBytes(std::size_t node, const node::Bytes &bytes) {
  Caller *caller = callerOf(node, bytes.Handle);
  if (caller == nullptr)
    return;
  if (bytes.Offset != caller->Text.size())
    caller->IsWrong = true;
  caller->Text += bytes.Text;
  caller->ActiveAt = Clock;
}

void NodeDriver::onRefuse(std::size_t node, const node::Refuse &refuse) {
  Caller *caller = callerOf(node, refuse.Handle);
  if (caller == nullptr)
    return;
  caller->LastCode = refuse.Code;
  caller->NotBefore = Clock + refuse.RetryAfter;
  if (refuse.Result == Outcome::NotRun && !caller->Request.Repeatable) {
    if (Executions[caller->Request.Key] > 0)
      Violations.push_back("not_run for executed key " + caller->Request.Key);
    caller->Attempt = std::max(caller->Attempt + 1, refuse.NextAttempt);
    if (caller->Tries > 20) {
      caller->Done = true;
      caller->IsNotRun = true;
      NotRunKeys.insert(caller->Request.Key);
      return;
    }
  } else if (!caller->Request.Repeatable) {
    caller->Done = true;
    caller->IsUnknown = true;
    return;
  }
  if (caller->Request.Repeatable) {
    // A key that is not found was lost with all its copies: the caller starts over.
    if (refuse.Code == ResultCode::RequestNotFound) {
      ++NotFound;
      caller->Fetching = false;
      caller->Text.clear();
    } else if (!caller->Text.empty()) {
      caller->Fetching = true;
    }
  }
  // Comes back a little later, through another node.
  caller->Gateway = pickNode();
  caller->GatewayGeneration = 0;
}

std::size_t NodeDriver::pickNode() {
  std::vector<std::size_t> up;
  for (std::size_t i = 0; i < Slots.size(); ++i)
    if (Slots[i].Up && !Slots[i].State->Leaving)
      up.push_back(i);
  if (up.empty())
    return 0;
  std::uniform_int_distribution<std::size_t> pick(0, up.size() - 1);
  return up[pick(Rng)];
}

void NodeDriver::crash(std::size_t node) {
  if (Slots[node].Up)
    Slots[node].CrashedAt = Clock;
  Slots[node].Up = false;
  Slots[node].CrashAt = TimePoint::max();
}

void NodeDriver::restart(std::size_t node) {
  if (!Slots[node].Up)
    boot(node);
}

void NodeDriver::pause(std::size_t node, std::chrono::milliseconds time) {
  // Never shortened: events that wait for the end of the pause must keep their order.
  Slots[node].PausedUntil = std::max(Slots[node].PausedUntil, Clock + time);
}

void NodeDriver::reclaim(std::size_t node, std::chrono::milliseconds notice) {
  if (!Slots[node].Up)
    return;
  post(node, node::Leave{now().Wall + notice}, 1ms);
  Slots[node].CrashAt = Clock + notice;
}

void NodeDriver::crashBackend(std::size_t backend) {
  Backends[backend].Up = false;
  ++Backends[backend].Generation;
}

void NodeDriver::restoreBackend(std::size_t backend) {
  Backends[backend].Up = true;
  Backends[backend].GoneAt = TimePoint::max();
  Backends[backend].LeavingSince.reset();
  publishBackends();
}

void NodeDriver::reclaimBackend(std::size_t backend, std::chrono::milliseconds notice) {
  Backends[backend].LeavingSince = Clock;
  Backends[backend].GoneAt = Clock + notice;
  for (std::size_t i = 0; i < Slots.size(); ++i) {
    const std::string name = "b" + std::to_string(backend);
    post(i, node::BackendNotice{name, now().Wall + notice}, 10ms);
    post(i, node::BackendNotice{name + "s", now().Wall + notice}, 10ms);
  }
}

void NodeDriver::outage(std::chrono::milliseconds time) { OutageUntil = Clock + time; }

void NodeDriver::stall(std::size_t node, std::chrono::milliseconds time) {
  Slots[node].StalledUntil = std::max(Slots[node].StalledUntil, Clock + time);
}

void NodeDriver::leave(std::size_t node, std::chrono::milliseconds within) {
  if (Slots[node].Up)
    post(node, node::Leave{now().Wall + within}, 1ms);
}

void NodeDriver::isolate(std::size_t node, std::chrono::milliseconds time) {
  Slots[node].IsolatedUntil = Clock + time;
}

void NodeDriver::split(const Split &groups, std::chrono::milliseconds time) {
  Groups = groups;
  SplitUntil = Clock + time;
}

Report NodeDriver::report() const {
  Report report;
  report.Requests = Callers.size();
  report.LateToLeaving = LateToLeaving;
  report.NotFound = NotFound;
  report.Violations = Violations;
  for (const auto &[key, caller] : Callers) {
    if (!caller.Done)
      ++report.Unanswered;
    else if (caller.IsUnknown)
      ++report.Unknown;
    else if (caller.IsNotRun)
      ++report.NotRun;
    else if (!caller.IsWrong)
      ++report.Whole;
    if (caller.IsWrong)
      ++report.Wrong;
    if (!caller.Done || caller.IsUnknown || caller.IsNotRun || caller.IsWrong)
      report.Details.push_back(key + ": tries " + std::to_string(caller.Tries) + ", attempt " +
                               std::to_string(caller.Attempt) + ", last refusal " +
                               info(caller.LastCode).Name + ", text \"" + caller.Text + "\"");
  }
  for (const auto &[key, n] : Executions) {
    if (n > 1)
      ++report.Doubled;
    if (n > 0 && NotRunKeys.contains(key))
      ++report.WrongNotRun;
  }
  return report;
}

} // namespace chervil::testing
