// Drives the decision code of many nodes in one process: delivers their messages, plays the
// key-value service, back ends and callers, and injects faults. Virtual time; no threads. Use:
//   NodeDriver driver(options, seed);
//   driver.runFor(3s);
//   driver.call({.Key = "k1", .Repeatable = false});
//   driver.crash(2);
//   driver.runFor(20s);
//   Report r = driver.report();
#ifndef CHERVIL_TESTING_NODEDRIVER_H
#define CHERVIL_TESTING_NODEDRIVER_H

#include "node/Node.h"

#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace chervil::testing {

struct DriverOptions {
  std::size_t Nodes = 5;
  std::size_t DataCentres = 3;
  std::size_t Backends = 3;
  /// Share of peer messages that are lost, in percent.
  unsigned LossPercent = 0;
  std::chrono::milliseconds MaxDelay{5};
  /// How far the VM list lags behind a crash.
  std::chrono::milliseconds VmListLag{4000};
  /// Time that a service needs for its answer.
  std::chrono::milliseconds ServiceTime{0};
  /// Callers that see no progress for this long send the same key and attempt to another node,
  /// while their former connection stays open; zero for callers that wait.
  std::chrono::milliseconds CallerPatience{0};
  ContractLimits Limits{100000, 10000000, 100000};
  node::ComponentOptions Parts;
};

struct DriverRequest {
  std::string Key;
  bool Repeatable = true;
  /// Length of a model answer.
  unsigned Tokens = 20;
  std::size_t Gateway = 0;
  /// Part of the body; the key unless set, so that requests differ.
  std::string Content;
};

/// Content that crashes each back end that runs it.
inline const std::string CrashingContent = "crash";

/// What the callers and the back ends saw.
struct Report {
  std::size_t Requests = 0;
  std::size_t Whole = 0;
  std::size_t Unknown = 0;
  std::size_t NotRun = 0;
  /// Callers that still wait, and those whose answer was wrong or delivered twice.
  std::size_t Unanswered = 0;
  std::size_t Wrong = 0;
  /// Non-repeatable keys executed more than once.
  std::size_t Doubled = 0;
  /// Keys executed although every attempt was answered `not_run`.
  std::size_t WrongNotRun = 0;
  std::size_t LateToLeaving = 0;
  /// Refusals of repeatable requests because no copy of the record was found.
  std::size_t NotFound = 0;
  std::vector<std::string> Violations;
  /// One line per request without a whole answer: key, attempts and the last refusal.
  std::vector<std::string> Details;
};

/// Nodes that cannot reach each other.
struct Split {
  /// Nodes of the first group, one bit per node; the others form the second.
  unsigned First = 0;
  /// Which groups reach the key-value service.
  bool FirstHasKv = true;
  bool SecondHasKv = true;
};

class NodeDriver {
public:
  NodeDriver(DriverOptions options, std::uint64_t seed);

  void runFor(std::chrono::milliseconds time);
  /// Starts a request; the caller follows moves, lost connections and not_run by itself.
  void call(const DriverRequest &request);

  void crash(std::size_t node);
  /// Starts the node again with a new incarnation and without state.
  void restart(std::size_t node);
  /// Stops and continues the process of a node; its messages wait.
  void pause(std::size_t node, std::chrono::milliseconds time);
  /// Reclaim notice; the node crashes when the time is over.
  void reclaim(std::size_t node, std::chrono::milliseconds notice);
  void crashBackend(std::size_t backend);
  void restoreBackend(std::size_t backend);
  void reclaimBackend(std::size_t backend, std::chrono::milliseconds notice);
  void outage(std::chrono::milliseconds time);
  /// The next write of the key-value service takes effect, but its answer is lost.
  void loseNextAnswer() { ++LostAnswers; }
  /// Delays the messages to the node until the time is over. Those of one sender keep their order.
  void stall(std::size_t node, std::chrono::milliseconds time);
  /// Tells the node to stop within the time, as SIGTERM does; its process goes on.
  void leave(std::size_t node, std::chrono::milliseconds within);
  /// True once the node has reported that nothing is left to do.
  bool hasStopped(std::size_t node) const { return Slots[node].Stopped; }
  /// Drops all messages between the node and the others.
  void isolate(std::size_t node, std::chrono::milliseconds time);
  /// Drops all messages between two groups of nodes. Callers and back ends reach both.
  void split(const Split &groups, std::chrono::milliseconds time);

  /// A UUIDv7 of the present time, for requests that may run after a loss of records.
  std::string freshKey();
  bool isUp(std::size_t node) const { return Slots[node].Up; }
  const node::State &state(std::size_t node) const { return *Slots[node].State; }
  std::size_t mapWrites() const { return MapWrites; }
  /// Requests that back ends have begun to run.
  /// Back ends that died of CrashingContent.
  std::size_t contentCrashes() const { return ContentCrashes; }
  /// Code of the last refusal of a request; Ok before the first.
  ResultCode lastCode(const std::string &key) const { return Callers.at(key).LastCode; }
  std::size_t backendStarts() const { return BackendStarts; }
  /// Calls to back ends, also to those that are down.
  std::size_t backendAttempts() const { return BackendAttempts; }
  Report report() const;

private:
  struct Slot {
    std::optional<node::State> State;
    bool Up = false;
    TimePoint PausedUntil{};
    TimePoint IsolatedUntil{};
    TimePoint StalledUntil{};
    bool Stopped = false;
    TimePoint CrashAt = TimePoint::max();
    TimePoint CrashedAt{};
    std::uint64_t Incarnation = 0;
    std::uint64_t Generation = 0;
    bool BelievesDuty = false;
  };

  struct Backend {
    bool Up = true;
    std::optional<TimePoint> LeavingSince;
    TimePoint GoneAt = TimePoint::max();
    std::uint64_t Generation = 0;
  };

  struct Running {
    std::size_t Node = 0;
    std::uint64_t NodeGeneration = 0;
    std::uint64_t Call = 0;
    std::size_t Backend = 0;
    std::uint64_t BackendGeneration = 0;
    message::RequestSpec Spec;
    std::string Key;
    unsigned NextToken = 0;
    TimePoint StartedAt{};
  };

  struct Caller {
    DriverRequest Request;
    std::uint64_t Handle = 0;
    std::size_t Gateway = 0;
    std::uint64_t GatewayGeneration = 0;
    std::uint32_t Attempt = 1;
    std::string Text;
    /// When the caller last sent its request or received a part of the answer.
    TimePoint ActiveAt{};
    /// A refused caller comes back after the time the refusal states.
    TimePoint NotBefore{};
    bool Fetching = false;
    bool Done = false;
    bool IsUnknown = false;
    bool IsNotRun = false;
    bool IsWrong = false;
    unsigned Tries = 0;
    ResultCode LastCode = ResultCode::Ok;
  };

  struct Item {
    TimePoint At;
    std::uint64_t Seq = 0;
    std::size_t Node = 0;
    std::uint64_t Generation = 0;
    node::Event What;
    bool operator>(const Item &other) const {
      return std::tie(At, Seq) > std::tie(other.At, other.Seq);
    }
  };

  void boot(std::size_t node);
  void post(std::size_t node, node::Event event, std::chrono::milliseconds delay);
  void step();
  void runEvent(std::size_t node, const node::Event &event);
  void carryOut(std::size_t node, node::Effect effect);
  void sendPeer(std::size_t from, const node::SendPeer &send);
  void writeMap(std::size_t node, const node::WriteShardMap &write);
  void readMap(std::size_t node);
  void serveDuty();
  void startBackendCall(std::size_t node, const node::CallBackend &call);
  void runBackends();
  void publishBackends();
  void publishVmList();
  void endCall(const Running &it, node::BackendFailure failure);
  void onBytes(std::size_t node, const node::Bytes &bytes);
  void onRefuse(std::size_t node, const node::Refuse &refuse);
  void sendRequest(Caller &caller);
  void reconnectCallers();
  void resendImpatiently();
  bool isCut(std::size_t from, std::size_t to) const;
  bool reachesKv(std::size_t node) const;
  Caller *callerOf(std::size_t node, std::uint64_t handle);
  std::size_t pickNode();
  Now now() const {
    return {Clock, WallStart + std::chrono::duration_cast<std::chrono::milliseconds>(
                                   Clock.time_since_epoch())};
  }

  DriverOptions Options;
  Random Rng;
  TimePoint Clock{std::chrono::seconds(1000)};
  WallTime WallStart{std::chrono::milliseconds(1'764'000'000'000)};
  std::uint64_t NextSeq = 1;
  std::uint64_t NextHandle = 1;
  std::vector<Slot> Slots;
  std::vector<Backend> Backends;
  std::priority_queue<Item, std::vector<Item>, std::greater<>> Queue;
  std::vector<Running> Calls;
  std::map<std::string, Caller> Callers;
  std::map<std::string, unsigned> Executions;
  std::set<std::string> NotRunKeys;
  std::vector<std::string> Violations;
  std::size_t LateToLeaving = 0;
  std::size_t NotFound = 0;
  /// The key-value service.
  std::string MapBody;
  std::uint64_t MapVersion = 0;
  std::uint64_t MapRevision = 0;
  std::optional<std::size_t> DutyHolder;
  TimePoint LeaseUntil{};
  TimePoint OutageUntil{};
  unsigned LostAnswers = 0;
  std::size_t MapWrites = 0;
  std::size_t BackendStarts = 0;
  std::size_t ContentCrashes = 0;
  std::size_t BackendAttempts = 0;
  TimePoint NextDuty{};
  TimePoint NextVmList{};
  Split Groups;
  TimePoint SplitUntil{};
};

/// Text of a whole answer.
std::string expectedText(const std::string &key, unsigned tokens);

} // namespace chervil::testing

#endif
