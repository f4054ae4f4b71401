// Limits that hold for all nodes together: those of workspaces and those of backend servers. Each
// limit has a home among the nodes, from which the others claim.
#include "daemon/edge/EdgeDetail.h"

#include "base/Hash.h"
#include "membership/Queries.h"

#include <algorithm>
#include <utility>

namespace chervil::daemon::detail {
namespace {

using namespace std::chrono_literals;

// A home that did not answer is passed over for this long; its death is known by then.
constexpr Duration AvoidHomeFor = 2s;
// Time between two messages about the limits of servers. A node that has just started knows none,
// and gossip may miss a node.
constexpr Duration LimitSharePeriod = 1s;
// A home speaks for the servers for which it answered claims within this time.
constexpr Duration LimitShareLifetime = 3s;

/// Live members in the order in which they are home of the limit of `subject`, a workspace or a
/// server.
std::vector<const membership::Member *> homesOf(const Edge &edge, const std::string &subject) {
  std::vector<const membership::Member *> out;
  for (const membership::Member *it : membership::live(edge.Members))
    if (!membership::isLeaving(*it))
      out.push_back(it);
  std::ranges::sort(out, std::greater<>(), [&](const membership::Member *it) {
    return hashPair(subject, it->Info.Id.Name);
  });
  return out;
}

/// The node that answers a claim, and its role.
struct ClaimTarget {
  limits::GrantRole Role = limits::GrantRole::Isolated;
  /// Empty for this node.
  std::string PeerAddress;
};

/// Chooses the home of a limit, or the next node in rank if the home does not answer; this node
/// itself if neither does.
ClaimTarget claimTarget(const Edge &edge, const std::string &subject, const Now &now) {
  const std::vector<const membership::Member *> homes = homesOf(edge, subject);
  const auto roles = {limits::GrantRole::Home, limits::GrantRole::Fallback};
  auto role = roles.begin();
  for (auto it = homes.begin(); it != homes.end() && role != roles.end(); ++it, ++role) {
    const message::MemberUpdate &info = (*it)->Info;
    if (info.Id.Name == edge.Settings.Node.Name)
      return {*role, {}};
    const auto avoided = edge.AvoidedHomes.find(info.PeerAddress);
    if (avoided == edge.AvoidedHomes.end() || avoided->second <= now.Steady)
      return {*role, info.PeerAddress};
  }
  return {};
}

limits::FleetView fleetView(const Edge &edge) { return {edge.HealthyNodes, edge.KnownNodes}; }

limits::GrantRole roleFor(bool isFallback) {
  return isFallback ? limits::GrantRole::Fallback : limits::GrantRole::Home;
}

message::TokenGrant grantTokens(Edge &edge, const message::TokenClaim &claim,
                                limits::GrantRole role) {
  const relay::Workspace *workspace =
      edge.Relay.Config == nullptr
          ? nullptr
          : relay::findWorkspaceByName(*edge.Relay.Config, claim.Workspace);
  if (workspace == nullptr)
    return {claim.Workspace, claim.Seq, 0, 0ms};
  return limits::grantClaim(edge.Home, claim, role, {workspace->Rate, workspace->Burst},
                            fleetView(edge), net::readNow());
}

message::SendGrant grantSend(Edge &edge, const message::SendClaim &claim, limits::GrantRole role) {
  const Now now = net::readNow();
  relay::Effects out;
  const std::optional<double> perSecond = relay::limitOfClaim(edge.Relay, claim, out, now);
  carryOut(edge, out);
  if (!perSecond)
    return {claim.Seq, true, 0ms};
  return limits::grantSend(edge.ServerLimits, claim, role, *perSecond, fleetView(edge), now);
}

void checkTokenClaims(Edge &edge, const Now &now) {
  for (auto &[workspace, account] : edge.Relay.Accounts) {
    if (!limits::hasClaimTimedOut(account, now))
      continue;
    // The node that was asked: an account has one claim at a time.
    const ClaimTarget target = claimTarget(edge, workspace, now);
    if (!target.PeerAddress.empty())
      avoidHome(edge, target.PeerAddress);
    count(edge.Counters, "retry", "claim_lost");
    handle(edge, [&edge, name = workspace](relay::Effects &out, const Now &at) {
      relay::onClaimLost(edge.Relay, name, out, at);
    });
  }
}

void checkSendClaims(Edge &edge, const Now &now) {
  std::vector<std::uint64_t> lost;
  for (const auto &[seq, claim] : edge.Relay.SendClaims) {
    if (now.Steady - claim.ClaimedAt <= limits::ClaimTimeout)
      continue;
    lost.push_back(seq);
    if (const auto asked = edge.AskedHomes.find(seq); asked != edge.AskedHomes.end()) {
      avoidHome(edge, asked->second);
      edge.AskedHomes.erase(asked);
    }
  }
  for (const std::uint64_t seq : lost)
    handle(edge, [&edge, seq](relay::Effects &out, const Now &at) {
      relay::onSendClaimLost(edge.Relay, seq, out, at, edge.Rng);
    });
}

} // namespace

void avoidHome(Edge &edge, const std::string &peerAddress) {
  edge.AvoidedHomes[peerAddress] = net::readNow().Steady + AvoidHomeFor;
}

message::TokenGrant answerClaim(Edge &edge, const message::TokenClaim &claim) {
  return grantTokens(edge, claim, roleFor(claim.Fallback));
}

message::SendGrant answerClaim(Edge &edge, const message::SendClaim &claim) {
  return grantSend(edge, claim, roleFor(claim.Fallback));
}

void onTokenGrant(Edge &edge, const message::TokenGrant &grant) {
  handle(edge, [&edge, grant](relay::Effects &out, const Now &now) {
    relay::onTokenGrant(edge.Relay, grant, out, now, edge.Rng);
  });
}

void onSendGrant(Edge &edge, const message::SendGrant &grant) {
  edge.AskedHomes.erase(grant.Seq);
  handle(edge, [&edge, grant](relay::Effects &out, const Now &now) {
    relay::onSendGrant(edge.Relay, grant, out, now, edge.Rng);
  });
}

void claimTokens(Edge &edge, const relay::ClaimTokens &claim) {
  const ClaimTarget target = claimTarget(edge, claim.Workspace, net::readNow());
  const message::TokenClaim m{claim.Workspace, claim.Seq, claim.Amount,
                              target.Role == limits::GrantRole::Fallback};
  if (target.PeerAddress.empty())
    onTokenGrant(edge, grantTokens(edge, m, target.Role));
  else
    net::send(*edge.Peers, target.PeerAddress, m);
}

void claimSend(Edge &edge, message::SendClaim claim) {
  const ClaimTarget target = claimTarget(edge, claim.Backend, net::readNow());
  claim.Fallback = target.Role == limits::GrantRole::Fallback;
  if (target.PeerAddress.empty()) {
    onSendGrant(edge, grantSend(edge, claim, target.Role));
    return;
  }
  edge.AskedHomes[claim.Seq] = target.PeerAddress;
  net::send(*edge.Peers, target.PeerAddress, claim);
}

void checkClaims(Edge &edge) {
  const Now now = net::readNow();
  checkTokenClaims(edge, now);
  checkSendClaims(edge, now);
}

void shareLimits(Edge &edge) {
  const Now now = net::readNow();
  if (now.Steady < edge.NextLimitShare)
    return;
  edge.NextLimitShare = now.Steady + LimitSharePeriod;
  limits::prune(edge.ServerLimits, now);
  std::vector<std::string> ids;
  for (const auto &[key, bucket] : edge.ServerLimits.Buckets)
    if (key.first == limits::GrantRole::Home && now.Steady - bucket.Updated < LimitShareLifetime)
      ids.push_back(key.second.first);
  message::BackendLimits limits = relay::reportLimits(edge.Relay, ids, now);
  if (!limits.Limits.empty())
    spread(edge, std::move(limits));
}

} // namespace chervil::daemon::detail
