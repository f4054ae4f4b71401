// All settings of a node. Filled by parseNodeSettings(); meanings, units and ranges are defined in
// SettingKeys.cpp and printed in docs/settings.md. Use:
//   auto settings = parseNodeSettings(text, "node.ini");
//   listenOn(settings->Node.PeerListen);
#ifndef CHERVIL_SETTINGS_NODESETTINGS_H
#define CHERVIL_SETTINGS_NODESETTINGS_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervil {

struct NodeSection {
  std::string Name;
  std::string Region;
  std::string DataCentre;
  std::string PeerListen;
  /// Equal to PeerListen unless set.
  std::string PeerAdvertise;
  std::string CallerListen;
  /// Equal to CallerListen unless set.
  std::string CallerAdvertise;
  std::string AdminListen;
  std::vector<std::string> Seeds;
  std::string PeerSecret;
  std::string AdminToken;
};

struct PlatformSection {
  std::string KvUrl;
  std::string VmsUrl;
  std::string CloudUrl;
  std::string WeightsUrl;
  std::chrono::milliseconds RequestTimeout{0};
};

struct ShardsSection {
  std::uint32_t Count = 0;
};

struct MembershipSection {
  std::chrono::milliseconds ProbePeriod{0};
  std::chrono::milliseconds ProbeTimeout{0};
  std::chrono::milliseconds Suspicion{0};
  std::chrono::milliseconds PushPeriod{0};
};

struct RequestsSection {
  std::chrono::milliseconds RetryHorizon{0};
  std::chrono::milliseconds ClockMargin{0};
  std::uint64_t AnswerBudget = 0;
  std::chrono::milliseconds ProgressPeriod{0};
  std::uint64_t ProgressBytes = 0;
  std::uint64_t MaxBody = 0;
  std::chrono::milliseconds EntryTtl{0};
  std::chrono::milliseconds DrainTime{0};
  std::chrono::milliseconds BackendConnectTimeout{0};
  std::chrono::milliseconds BackendIdleTimeout{0};
  std::chrono::milliseconds ServiceTimeout{0};
};

struct LimitsSection {
  std::chrono::milliseconds ReportPeriod{0};
  std::chrono::milliseconds ShareLifetime{0};
  std::uint32_t FloorPercent = 0;
};

struct RetrySection {
  std::uint32_t BudgetPercent = 0;
  std::uint32_t BudgetMinimum = 0;
  std::chrono::milliseconds BackoffMin{0};
  std::chrono::milliseconds BackoffMax{0};
  std::chrono::milliseconds QuarantineTime{0};
};

struct RoutingSection {
  std::uint32_t EjectedMaxPercent = 0;
  std::uint32_t ShortSlotsPercent = 0;
  std::uint32_t HedgePercent = 0;
  std::uint32_t Subset = 0;
};

struct TlsSection {
  std::string Certificate;
  std::string PrivateKey;
  std::string Ca;
};

struct LogSection {
  std::string Level;
  std::string Dir;
};

/// Requests that belong to the node that took them, without records (docs/platform-deployment.md).
struct EdgeSection {
  /// Empty unless the node runs in this form.
  std::string StoreAddress;
  std::string DutyAddress;
  std::string ReadyListen;
  std::string EntryListen;
  std::chrono::milliseconds StopTime{0};
  std::chrono::milliseconds DutyLease{0};
  std::chrono::milliseconds UsageWindow{0};
  std::uint32_t RetryPermille = 0;
  std::uint32_t RetrySlack = 0;
  std::chrono::milliseconds RetryWindow{0};
  std::uint64_t MaxAnswerBytes = 0;
  std::uint64_t MaxCollectedBytes = 0;
  /// Memory of the VM in MB (10^6 bytes), and the descriptors that a process may open there.
  std::uint32_t MemoryMb = 0;
  std::uint32_t MaxDescriptors = 0;
  std::uint32_t ReclaimablePercent = 0;
  std::uint32_t NeededPercent = 0;
  /// Bound on the requests of a bad version; rollouts are off if the share is 0.
  double ExposureShare = 0;
  std::uint32_t ExposureSlack = 0;
  std::chrono::milliseconds RollbackTime{0};
};

struct TestingSection {
  bool FatalInvariants = false;
};

struct NodeSettings {
  NodeSection Node;
  PlatformSection Platform;
  ShardsSection Shards;
  MembershipSection Membership;
  RequestsSection Requests;
  LimitsSection Limits;
  RetrySection Retry;
  RoutingSection Routing;
  TlsSection Tls;
  LogSection Log;
  EdgeSection Edge;
  TestingSection Testing;
};

} // namespace chervil

#endif
