#include "settings/SettingKey.h"

#include <array>

namespace chervil {
namespace {

using enum SettingType;
using S = NodeSettings;

template <auto Section, auto Member> SettingTarget at(NodeSettings &settings) {
  return &(settings.*Section.*Member);
}

constexpr std::uint64_t Ms = 1;
constexpr std::uint64_t Second = 1000;
constexpr std::uint64_t Minute = 60 * Second;
constexpr std::uint64_t Hour = 60 * Minute;
constexpr std::uint64_t KiB = 1024;
constexpr std::uint64_t MiB = 1024 * KiB;
constexpr std::uint64_t GiB = 1024 * MiB;
constexpr std::uint64_t TextMax = 180;

constexpr auto Keys = std::to_array<SettingKey>({
    {"node", "name", Name, nullptr, 1, 63, "Name of the node, unique in the fleet.",
     at<&S::Node, &NodeSection::Name>},
    {"node", "region", Name, nullptr, 1, 63, "Region the node runs in.",
     at<&S::Node, &NodeSection::Region>},
    {"node", "data_centre", Name, nullptr, 1, 63,
     "Data centre the node runs in; copies of a request are placed in different ones.",
     at<&S::Node, &NodeSection::DataCentre>},
    {"node", "peer_listen", ListenAddress, nullptr, 0, 0,
     "Address on which the node accepts connections from other nodes.",
     at<&S::Node, &NodeSection::PeerListen>},
    {"node", "peer_advertise", Address, "", 0, 0,
     "Address told to other nodes; peer_listen if empty.",
     at<&S::Node, &NodeSection::PeerAdvertise>},
    {"node", "caller_listen", ListenAddress, nullptr, 0, 0,
     "Address on which the node accepts requests from callers.",
     at<&S::Node, &NodeSection::CallerListen>},
    {"node", "caller_advertise", Address, "", 0, 0,
     "Address told to callers; caller_listen if empty.",
     at<&S::Node, &NodeSection::CallerAdvertise>},
    {"node", "admin_listen", ListenAddress, nullptr, 0, 0,
     "Address of the operator endpoints, health checks and metrics.",
     at<&S::Node, &NodeSection::AdminListen>},
    {"node", "seeds", AddressList, "", 0, 64,
     "Peer addresses that a starting node contacts to learn the members.",
     at<&S::Node, &NodeSection::Seeds>},
    {"node", "peer_secret", Secret, nullptr, 16, 4096,
     "Secret shared by all nodes, with which they prove their identity to each other.",
     at<&S::Node, &NodeSection::PeerSecret>},
    {"node", "admin_token", Secret, nullptr, 8, 4096, "Bearer token of the operator endpoints.",
     at<&S::Node, &NodeSection::AdminToken>},

    {"platform", "kv_url", Url, "", 1, TextMax,
     "Base URL of the key-value service; required unless edge.store_address is set.",
     at<&S::Platform, &PlatformSection::KvUrl>},
    {"platform", "vms_url", Url, "", 1, TextMax,
     "Base URL of the VM list; required unless edge.store_address is set.",
     at<&S::Platform, &PlatformSection::VmsUrl>},
    {"platform", "cloud_url", Url, "", 1, TextMax,
     "Base URL of the cloud API (notices, prices, VM requests); not used if empty.",
     at<&S::Platform, &PlatformSection::CloudUrl>},
    {"platform", "weights_url", Url, "", 1, TextMax,
     "Base URL of the weight store; not used if empty.",
     at<&S::Platform, &PlatformSection::WeightsUrl>},
    {"platform", "request_timeout", Duration, "2s", 50 * Ms, Minute,
     "Bound on one call to a platform service, in addition to the wait of a long poll.",
     at<&S::Platform, &PlatformSection::RequestTimeout>},

    {"shards", "count", Integer, "64", 1, 4096,
     "Number of shards; must be equal on all nodes and never change.",
     at<&S::Shards, &ShardsSection::Count>},

    {"membership", "probe_period", Duration, "1s", 50 * Ms, 10 * Second,
     "Time between two probes of random members.",
     at<&S::Membership, &MembershipSection::ProbePeriod>},
    {"membership", "probe_timeout", Duration, "300ms", 10 * Ms, 5 * Second,
     "Time after which an unanswered probe is repeated through other members.",
     at<&S::Membership, &MembershipSection::ProbeTimeout>},
    {"membership", "suspicion", Duration, "3s", 100 * Ms, Minute,
     "Time for which a member is suspected before it is declared dead.",
     at<&S::Membership, &MembershipSection::Suspicion>},
    {"membership", "push_period", Duration, "200ms", 20 * Ms, 5 * Second,
     "Time between two rounds in which news is pushed to three random members.",
     at<&S::Membership, &MembershipSection::PushPeriod>},

    {"requests", "retry_horizon", Duration, "15m", Second, 24 * Hour,
     "Time for which the mark of a request is kept, so that a repeated key is recognised.",
     at<&S::Requests, &RequestsSection::RetryHorizon>},
    {"requests", "clock_margin", Duration, "2s", 0, Minute,
     "Largest difference assumed between the clocks of callers and nodes.",
     at<&S::Requests, &RequestsSection::ClockMargin>},
    {"requests", "answer_budget", Size, "64MiB", 64 * KiB, 64 * GiB,
     "Memory for answers retained for callers that read them again.",
     at<&S::Requests, &RequestsSection::AnswerBudget>},
    {"requests", "progress_period", Duration, "50ms", 5 * Ms, 5 * Second,
     "Longest time for which an executor holds part of an answer back from the owner.",
     at<&S::Requests, &RequestsSection::ProgressPeriod>},
    {"requests", "progress_bytes", Size, "4KiB", 1, 512 * KiB,
     "Size of an answer's part that is sent to the owner before the progress period ends.",
     at<&S::Requests, &RequestsSection::ProgressBytes>},
    // A request and its record must fit into one frame of 1 MiB between nodes.
    {"requests", "max_body", Size, "512KiB", KiB, 960 * KiB, "Largest body of a request.",
     at<&S::Requests, &RequestsSection::MaxBody>},
    {"requests", "entry_ttl", Duration, "5s", 100 * Ms, 10 * Minute,
     "Time for which callers may cache the list of entry addresses.",
     at<&S::Requests, &RequestsSection::EntryTtl>},
    {"requests", "drain_time", Duration, "10m", 0, 24 * Hour,
     "Time after SIGTERM in which running requests may finish before they are handed over.",
     at<&S::Requests, &RequestsSection::DrainTime>},
    {"requests", "backend_connect_timeout", Duration, "500ms", 10 * Ms, 30 * Second,
     "Bound on connecting to a back end.",
     at<&S::Requests, &RequestsSection::BackendConnectTimeout>},
    {"requests", "backend_idle_timeout", Duration, "30s", Second, Hour,
     "Time without a byte after which a model engine's stream is given up.",
     at<&S::Requests, &RequestsSection::BackendIdleTimeout>},
    {"requests", "service_timeout", Duration, "30s", 100 * Ms, Hour,
     "Bound on a whole call to an application engine.",
     at<&S::Requests, &RequestsSection::ServiceTimeout>},

    {"limits", "report_period", Duration, "500ms", 50 * Ms, 10 * Second,
     "Time between two reports of demand to the limit home.",
     at<&S::Limits, &LimitsSection::ReportPeriod>},
    {"limits", "share_lifetime", Duration, "3s", 200 * Ms, Minute,
     "Time after which a granted share of a limit ends.",
     at<&S::Limits, &LimitsSection::ShareLifetime>},
    {"limits", "floor_percent", Percent, "20", 0, 100,
     "Part of each limit that is divided evenly over the live nodes.",
     at<&S::Limits, &LimitsSection::FloorPercent>},

    {"retry", "budget_percent", Percent, "10", 0, 100,
     "Retries per customer and node, as part of its requests.",
     at<&S::Retry, &RetrySection::BudgetPercent>},
    {"retry", "budget_minimum", Integer, "3", 0, 1000,
     "Retries per second that are permitted however few requests there are.",
     at<&S::Retry, &RetrySection::BudgetMinimum>},
    {"retry", "backoff_min", Duration, "50ms", Ms, Minute, "Shortest wait before a retry.",
     at<&S::Retry, &RetrySection::BackoffMin>},
    {"retry", "backoff_max", Duration, "5s", Ms, 10 * Minute, "Longest wait before a retry.",
     at<&S::Retry, &RetrySection::BackoffMax>},
    {"retry", "quarantine_time", Duration, "10m", Second, 24 * Hour,
     "Time for which a request that crashed two back ends is refused.",
     at<&S::Retry, &RetrySection::QuarantineTime>},

    {"routing", "ejected_max_percent", Percent, "33", 0, 100,
     "Largest part of the engines that may be ejected as slow at once.",
     at<&S::Routing, &RoutingSection::EjectedMaxPercent>},
    {"routing", "short_slots_percent", Percent, "20", 0, 100,
     "Part of each engine's slots that is reserved for short work.",
     at<&S::Routing, &RoutingSection::ShortSlotsPercent>},
    {"routing", "hedge_percent", Percent, "2", 0, 100,
     "Most work that hedging may add, as part of all requests.",
     at<&S::Routing, &RoutingSection::HedgePercent>},
    {"routing", "subset", Integer, "64", 2, 10000,
     "Number of engines per model that one node uses in a large fleet.",
     at<&S::Routing, &RoutingSection::Subset>},

    {"tls", "certificate", Text, "", 0, TextMax,
     "PEM file with the certificate of the caller endpoint; plain HTTP if empty.",
     at<&S::Tls, &TlsSection::Certificate>},
    {"tls", "private_key", Text, "", 0, TextMax,
     "PEM file with the private key of the certificate.", at<&S::Tls, &TlsSection::PrivateKey>},
    {"tls", "ca", Text, "", 0, TextMax,
     "PEM file with the authorities accepted for https URLs; the system's if empty.",
     at<&S::Tls, &TlsSection::Ca>},

    {"log", "level", LogLevel, "info", 0, 0, "Least severity that is logged.",
     at<&S::Log, &LogSection::Level>},
    {"log", "dir", Text, "", 0, TextMax, "Directory of the log files; standard error if empty.",
     at<&S::Log, &LogSection::Dir>},

    {"edge", "store_address", Address, "", 0, 0,
     "Address of the platform's store; set where requests need no record.",
     at<&S::Edge, &EdgeSection::StoreAddress>},
    {"edge", "duty_address", Address, "", 0, 0,
     "Address to which one node at a time reports usage and sends orders; neither if empty.",
     at<&S::Edge, &EdgeSection::DutyAddress>},
    {"edge", "ready_listen", ListenAddress, "127.0.0.1:0", 0, 0,
     "Address on which the node answers whether it is ready.",
     at<&S::Edge, &EdgeSection::ReadyListen>},
    {"edge", "entry_listen", ListenAddress, "127.0.0.1:0", 0, 0,
     "Address on which the node tells callers which addresses to use.",
     at<&S::Edge, &EdgeSection::EntryListen>},
    {"edge", "stop_time", Duration, "8s", Second, Hour,
     "Time between SIGTERM and the end of the process at the latest.",
     at<&S::Edge, &EdgeSection::StopTime>},
    {"edge", "duty_lease", Duration, "3s", 2 * Second, Minute,
     "Lifetime of the lease of the duties that one node has at a time.",
     at<&S::Edge, &EdgeSection::DutyLease>},
    {"edge", "usage_window", Duration, "5s", Second, Hour,
     "Length of the windows for which usage is reported.", at<&S::Edge, &EdgeSection::UsageWindow>},
    {"edge", "retry_permille", Integer, "200", 0, 1000,
     "Repeats over all nodes, per thousand requests of a service.",
     at<&S::Edge, &EdgeSection::RetryPermille>},
    {"edge", "retry_slack", Integer, "50", 0, 100000,
     "Repeats per retry_window over all nodes that are permitted however few requests there are.",
     at<&S::Edge, &EdgeSection::RetrySlack>},
    {"edge", "retry_window", Duration, "10s", Second, Hour, "Time over which repeats are counted.",
     at<&S::Edge, &EdgeSection::RetryWindow>},
    {"edge", "max_answer_bytes", Size, "4MiB", 64 * KiB, GiB,
     "Largest answer of a backend server that is not streamed.",
     at<&S::Edge, &EdgeSection::MaxAnswerBytes>},
    {"edge", "max_collected_bytes", Size, "48MiB", MiB, GiB,
     "Bound on the bytes of all answers that are being received; answers up to 64 KiB are received "
     "beyond it.",
     at<&S::Edge, &EdgeSection::MaxCollectedBytes>},

    {"edge", "memory_mb", Integer, "256", 48, 1048576,
     "Memory of the VM in MB (10^6 bytes). What the node holds for clients, backend servers and "
     "other nodes is bounded by it.",
     at<&S::Edge, &EdgeSection::MemoryMb>},
    {"edge", "max_descriptors", Integer, "4096", 64, 1048576,
     "Descriptors that the process may open. Connections are accepted only while enough are left "
     "for its own work.",
     at<&S::Edge, &EdgeSection::MaxDescriptors>},
    {"edge", "reclaimable_percent", Percent, "75", 0, 100,
     "Reclaimable backend servers ordered per data centre, as part of the bound on servers there.",
     at<&S::Edge, &EdgeSection::ReclaimablePercent>},
    {"edge", "needed_percent", Percent, "35", 0, 100,
     "Backend servers that the load needs, as part of the bounds of all data centres, until the "
     "demand was measured.",
     at<&S::Edge, &EdgeSection::NeededPercent>},
    {"edge", "exposure_share", Fraction, "0", 0, 1,
     "Part of the requests of a service that a version which turns out to be bad may get during a "
     "rollout; 0 turns rollouts off.",
     at<&S::Edge, &EdgeSection::ExposureShare>},
    {"edge", "exposure_slack", Integer, "0", 0, 1000000,
     "Requests that such a version may get besides that part.",
     at<&S::Edge, &EdgeSection::ExposureSlack>},
    {"edge", "rollback_time", Duration, "5s", 100 * Ms, Hour,
     "Time after the 50th bad response of a version within which it must get no further requests.",
     at<&S::Edge, &EdgeSection::RollbackTime>},

    {"testing", "fatal_invariants", Boolean, "false", 0, 0,
     "Ends the process when an internal invariant is violated, for test runs.",
     at<&S::Testing, &TestingSection::FatalInvariants>},
});

std::string inUnits(std::uint64_t n,
                    std::initializer_list<std::pair<std::uint64_t, const char *>> units) {
  for (const auto &[size, name] : units)
    if (n >= size && n % size == 0)
      return std::to_string(n / size) + name;
  return "0" + std::string((units.end() - 1)->second);
}

std::string duration(std::uint64_t ms) {
  return inUnits(ms, {{Hour, "h"}, {Minute, "m"}, {Second, "s"}, {Ms, "ms"}});
}

std::string bytes(std::uint64_t n) {
  return inUnits(n, {{GiB, "GiB"}, {MiB, "MiB"}, {KiB, "KiB"}, {1, "B"}});
}

std::string range(std::uint64_t min, std::uint64_t max) {
  return std::to_string(min) + ".." + std::to_string(max);
}

} // namespace

std::span<const SettingKey> allSettingKeys() { return Keys; }

std::string acceptedBy(const SettingKey &key) {
  switch (key.Type) {
  case Text:
    return "text of " + range(key.Min, key.Max) + " characters";
  case Name:
    return range(key.Min, key.Max) + " letters, digits, '-', '_' or '.'";
  case ListenAddress:
    return "IPv4 ip:port, port 0..65535 (0: any free port)";
  case Address:
    return "IPv4 ip:port, port 1..65535";
  case AddressList:
    return range(key.Min, key.Max) + " IPv4 ip:port separated by commas or spaces";
  case Url:
    return "http:// or https:// URL of at most " + std::to_string(key.Max) + " characters";
  case Secret:
    return "text of " + range(key.Min, key.Max) + " characters, or file:PATH";
  case Integer:
    return "integer " + range(key.Min, key.Max);
  case Size:
    return "size " + bytes(key.Min) + ".." + bytes(key.Max) + " (units B, KiB, MiB, GiB)";
  case Duration:
    return "duration " + duration(key.Min) + ".." + duration(key.Max) + " (units ms, s, m, h)";
  case Boolean:
    return "true or false";
  case Percent:
    return "percentage " + range(key.Min, key.Max);
  case Fraction:
    return "decimal number " + range(key.Min, key.Max);
  case LogLevel:
    return "info, warning or error";
  }
  return {};
}

} // namespace chervil
