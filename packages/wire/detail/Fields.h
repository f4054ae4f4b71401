// Lists the members of every struct that is sent between nodes, in wire order, so that the message
// structs do not depend on the encoding. New members must be appended at the end.
#ifndef CHERVIL_WIRE_DETAIL_FIELDS_H
#define CHERVIL_WIRE_DETAIL_FIELDS_H

#include "base/NodeId.h"
#include "base/RequestKey.h"
#include "message/Message.h"
#include "wire/Handshake.h"

#include <concepts>
#include <tuple>
#include <type_traits>

namespace chervil::wire::detail {

/// M is T or const T.
template <typename M, typename T>
concept MaybeConst = std::same_as<std::remove_const_t<M>, T>;

template <MaybeConst<NodeId> M> auto fields(M &m) { return std::tie(m.Name, m.Incarnation); }
template <MaybeConst<RequestKey> M> auto fields(M &m) { return std::tie(m.Customer, m.Key); }
template <MaybeConst<Hello> M> auto fields(M &m) {
  return std::tie(m.Node, m.DataCentre, m.PeerAddress, m.Nonce);
}
template <MaybeConst<Auth> M> auto fields(M &m) { return std::tie(m.Mac); }

template <MaybeConst<message::MemberUpdate> M> auto fields(M &m) {
  return std::tie(m.Id, m.Region, m.DataCentre, m.PeerAddress, m.CallerAddress, m.State,
                  m.Refutation, m.LeaveBy, m.Load);
}
template <MaybeConst<message::RequestSpec> M> auto fields(M &m) {
  return std::tie(m.Kind, m.Target, m.Method, m.Path, m.ContentType, m.Body, m.Stream, m.Repeatable,
                  m.Priority, m.MaxTokens, m.Timeout, m.Hint);
}
template <MaybeConst<message::RecordCopy> M> auto fields(M &m) {
  return std::tie(m.Key, m.BodyHash, m.Attempt, m.Run, m.State, m.Executor, m.Spec, m.Code,
                  m.Status, m.ContentType, m.Answer, m.Tokens);
}
template <MaybeConst<message::DocVersion> M> auto fields(M &m) {
  return std::tie(m.Name, m.Version);
}
template <MaybeConst<message::Demand> M> auto fields(M &m) {
  return std::tie(m.Customer, m.RequestsPerSecond, m.TokensPerSecond, m.Streams);
}
template <MaybeConst<message::Share> M> auto fields(M &m) {
  return std::tie(m.Customer, m.RequestsPerSecond, m.TokensPerSecond, m.Streams, m.Lifetime);
}
template <MaybeConst<message::MarkCopy> M> auto fields(M &m) {
  return std::tie(m.KeyHash, m.KeyCheck, m.BodyHash, m.Attempt, m.Run, m.State, m.Age);
}
template <MaybeConst<message::ShardEpoch> M> auto fields(M &m) {
  return std::tie(m.Shard, m.Epoch);
}

template <MaybeConst<message::Ping> M> auto fields(M &m) {
  return std::tie(m.Seq, m.Updates, m.DocsHash, m.MemberCount, m.MemberHash);
}
template <MaybeConst<message::PingRequest> M> auto fields(M &m) {
  return std::tie(m.Seq, m.Target, m.Updates);
}
template <MaybeConst<message::Ack> M> auto fields(M &m) {
  return std::tie(m.Seq, m.Subject, m.Updates, m.DocsHash, m.MemberCount, m.MemberHash);
}
template <MaybeConst<message::DocUpdate> M> auto fields(M &m) {
  return std::tie(m.Name, m.Version, m.Body);
}
template <MaybeConst<message::DocDigest> M> auto fields(M &m) { return std::tie(m.Versions); }
template <MaybeConst<message::DocRequest> M> auto fields(M &m) { return std::tie(m.Names); }
template <MaybeConst<message::Submit> M> auto fields(M &m) {
  return std::tie(m.Record, m.Epoch, m.Executing, m.Fallback, m.DataCentre);
}
template <MaybeConst<message::SubmitReply> M> auto fields(M &m) {
  return std::tie(m.Key, m.Attempt, m.Decision, m.Code, m.Run, m.NextAttempt, m.Placement);
}
template <MaybeConst<message::ReplicateRecord> M> auto fields(M &m) {
  return std::tie(m.Shard, m.Epoch, m.Seq, m.Record);
}
template <MaybeConst<message::ReplicateRecordReply> M> auto fields(M &m) {
  return std::tie(m.Shard, m.Epoch, m.Seq, m.Code);
}
template <MaybeConst<message::Progress> M> auto fields(M &m) {
  return std::tie(m.Key, m.Run, m.Offset, m.Bytes, m.Tokens);
}
template <MaybeConst<message::Finish> M> auto fields(M &m) {
  return std::tie(m.Key, m.Run, m.Code, m.Status, m.ContentType, m.TotalSize, m.Tokens);
}
template <MaybeConst<message::FinishReply> M> auto fields(M &m) { return std::tie(m.Key, m.Run); }
template <MaybeConst<message::Close> M> auto fields(M &m) {
  return std::tie(m.Key, m.BodyHash, m.Attempt, m.Run);
}
template <MaybeConst<message::CloseReply> M> auto fields(M &m) {
  return std::tie(m.Key, m.Attempt, m.Code);
}
template <MaybeConst<message::Fetch> M> auto fields(M &m) {
  return std::tie(m.Key, m.Offset, m.Reader, m.Cancel);
}
template <MaybeConst<message::Chunk> M> auto fields(M &m) {
  return std::tie(m.Reader, m.Offset, m.Bytes);
}
template <MaybeConst<message::End> M> auto fields(M &m) {
  return std::tie(m.Reader, m.Code, m.Status, m.ContentType, m.TotalSize, m.Tokens);
}
template <MaybeConst<message::Handover> M> auto fields(M &m) { return std::tie(m.Record); }
template <MaybeConst<message::HandoverReply> M> auto fields(M &m) {
  return std::tie(m.Key, m.Run, m.Accepted);
}
template <MaybeConst<message::StandbyReady> M> auto fields(M &m) { return std::tie(m.Shards); }
template <MaybeConst<message::TableChunk> M> auto fields(M &m) {
  return std::tie(m.Shard, m.Epoch, m.Index, m.Last, m.Records, m.Marks);
}
template <MaybeConst<message::TableAck> M> auto fields(M &m) {
  return std::tie(m.Shard, m.Epoch, m.Index, m.Stored);
}
template <MaybeConst<message::DemandReport> M> auto fields(M &m) { return std::tie(m.Demands); }
template <MaybeConst<message::ShareGrant> M> auto fields(M &m) { return std::tie(m.Shares); }
template <MaybeConst<message::CrashReport> M> auto fields(M &m) {
  return std::tie(m.ContentHash, m.Backends, m.Lifetime, m.Alone, m.Answered, m.Events,
                  m.Concurrent);
}
template <MaybeConst<message::BackendStatus> M> auto fields(M &m) {
  return std::tie(m.Backend, m.Seq, m.SlowFactor, m.Leaving, m.Born);
}
template <MaybeConst<message::EpochProbe> M> auto fields(M &m) {
  return std::tie(m.Shard, m.Epoch, m.Seq);
}
template <MaybeConst<message::EpochConfirm> M> auto fields(M &m) {
  return std::tie(m.Shard, m.Epoch, m.Seq);
}
template <MaybeConst<message::MemberExchange> M> auto fields(M &m) {
  return std::tie(m.Buckets, m.Updates, m.Answer, m.Complete);
}
template <MaybeConst<message::TokenClaim> M> auto fields(M &m) {
  return std::tie(m.Workspace, m.Seq, m.Amount, m.Fallback);
}
template <MaybeConst<message::TokenGrant> M> auto fields(M &m) {
  return std::tie(m.Workspace, m.Seq, m.Granted, m.RemainderAfter);
}
template <MaybeConst<message::UsageCount> M> auto fields(M &m) {
  return std::tie(m.Node, m.Window, m.Workspace, m.Requests);
}
template <MaybeConst<message::UsageReport> M> auto fields(M &m) { return std::tie(m.Counts); }
template <MaybeConst<message::BackendListRequest> M> auto fields(M &m) {
  return std::tie(m.Revision, m.Era);
}
template <MaybeConst<message::BackendCopy> M> auto fields(M &m) {
  return std::tie(m.Id, m.Service, m.Address, m.DataCentre, m.Slots, m.Draining, m.Reclaimable,
                  m.Leaves, m.Born, m.Missing, m.Version);
}
template <MaybeConst<message::BackendDeparture> M> auto fields(M &m) {
  return std::tie(m.Backend, m.Born, m.Kind, m.Source, m.Age, m.Era, m.Revision);
}
template <MaybeConst<message::BackendListCopy> M> auto fields(M &m) {
  return std::tie(m.Revision, m.Backends, m.Era, m.Departures, m.KeepMissing);
}
template <MaybeConst<message::BackendLoad> M> auto fields(M &m) {
  return std::tie(m.Backend, m.PendingTokens, m.Running, m.SpeedFactor, m.SpeedWeight);
}
template <MaybeConst<message::ServiceDemand> M> auto fields(M &m) {
  return std::tie(m.Service, m.TokensPerSecond);
}
template <MaybeConst<message::BackendLoads> M> auto fields(M &m) {
  return std::tie(m.Loads, m.Demands);
}
template <MaybeConst<message::DutyHolderAnnouncement> M> auto fields(M &m) {
  return std::tie(m.PeerAddress, m.Token);
}
template <MaybeConst<message::PromptParts> M> auto fields(M &m) { return std::tie(m.Parts); }
template <MaybeConst<message::ServerDeath> M> auto fields(M &m) {
  return std::tie(m.Server, m.Age, m.Suspects);
}
template <MaybeConst<message::PartSuccess> M> auto fields(M &m) { return std::tie(m.Part, m.Age); }
template <MaybeConst<message::PartEvidence> M> auto fields(M &m) {
  return std::tie(m.Deaths, m.Successes);
}
template <MaybeConst<message::BackendLimit> M> auto fields(M &m) {
  return std::tie(m.Backend, m.Born, m.Limited, m.PerSecond, m.Age);
}
template <MaybeConst<message::BackendLimits> M> auto fields(M &m) { return std::tie(m.Limits); }
template <MaybeConst<message::SendClaim> M> auto fields(M &m) {
  return std::tie(m.Backend, m.Born, m.Seq, m.PerSecond, m.Age, m.Fallback);
}
template <MaybeConst<message::SendGrant> M> auto fields(M &m) {
  return std::tie(m.Seq, m.Granted, m.RetryAfter);
}
template <MaybeConst<message::ConfigurationStatus> M> auto fields(M &m) {
  return std::tie(m.Version, m.Age);
}
template <MaybeConst<message::BackendListDelta> M> auto fields(M &m) {
  return std::tie(m.Revision, m.Before, m.After, m.Changed, m.Removed, m.Era, m.Departures);
}
template <MaybeConst<message::BackendPromptParts> M> auto fields(M &m) {
  return std::tie(m.Backend, m.Parts);
}
template <MaybeConst<message::CachedPromptParts> M> auto fields(M &m) {
  return std::tie(m.Servers);
}
template <MaybeConst<message::RolloutCounts> M> auto fields(M &m) {
  return std::tie(m.Route, m.Target, m.Answers, m.Failed, m.Slow);
}
template <MaybeConst<message::RolloutReport> M> auto fields(M &m) {
  return std::tie(m.Service, m.Order, m.Node, m.Seq, m.Sent, m.Seen, m.OldOpen, m.Closed, m.Counts);
}
template <MaybeConst<message::RolloutRouteShare> M> auto fields(M &m) {
  return std::tie(m.Route, m.Permille);
}
template <MaybeConst<message::RolloutGrant> M> auto fields(M &m) {
  return std::tie(m.Service, m.Target, m.Order, m.Token, m.Seq, m.Heard, m.Units, m.Bounded,
                  m.SharePermille, m.Routes, m.Servers, m.Closing, m.Ended);
}

/// A struct for which fields() is defined above.
template <typename T>
concept WireStruct = requires(T &v) {
  fields(v);
};

/// Largest valid value of each enumeration; larger values are rejected on decoding.
template <typename E> constexpr std::uint64_t maxEnumValue();
template <> constexpr std::uint64_t maxEnumValue<message::MemberState>() { return 3; }
template <> constexpr std::uint64_t maxEnumValue<message::RecordState>() { return 3; }
template <> constexpr std::uint64_t maxEnumValue<message::WorkKind>() { return 1; }
template <> constexpr std::uint64_t maxEnumValue<message::SubmitDecision>() { return 2; }
template <> constexpr std::uint64_t maxEnumValue<message::CopyPlacement>() { return 2; }
template <> constexpr std::uint64_t maxEnumValue<message::DepartureKind>() { return 2; }
/// All values are accepted, so that newer versions may add codes: info() treats unknown ones as
/// Internal.
template <> constexpr std::uint64_t maxEnumValue<ResultCode>() { return 0xffff; }

/// Implicitly convertible to any type; used to count the members of an aggregate.
struct ConvertibleToAny {
  template <typename T> operator T() const;
};

/// Number of members of the aggregate T.
template <typename T, typename... Args> constexpr std::size_t memberCount() {
  if constexpr (requires { T{Args{}..., ConvertibleToAny{}}; })
    return memberCount<T, Args..., ConvertibleToAny>();
  else
    return sizeof...(Args);
}

/// True if fields() lists as many members as the struct has. Detects a member that was added to a
/// message but not to its list above.
template <typename T>
constexpr bool
    IsComplete = memberCount<T>() == std::tuple_size_v<decltype(fields(std::declval<T &>()))>;

} // namespace chervil::wire::detail

#endif
