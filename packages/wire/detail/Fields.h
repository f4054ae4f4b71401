// Lists the members of every struct that travels between nodes, in wire order. The message structs
// themselves know nothing of the encoding. New members are appended at the end.
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

template <typename M, typename T>
concept Is = std::same_as<std::remove_const_t<M>, T>;

template <Is<NodeId> M> auto fields(M &m) { return std::tie(m.Name, m.Incarnation); }
template <Is<RequestKey> M> auto fields(M &m) { return std::tie(m.Customer, m.Key); }
template <Is<Hello> M> auto fields(M &m) {
  return std::tie(m.Node, m.DataCentre, m.PeerAddress, m.Nonce);
}
template <Is<Auth> M> auto fields(M &m) { return std::tie(m.Mac); }

template <Is<message::MemberUpdate> M> auto fields(M &m) {
  return std::tie(m.Id, m.Region, m.DataCentre, m.PeerAddress, m.CallerAddress, m.State,
                  m.Refutation, m.LeaveBy, m.Load);
}
template <Is<message::RequestSpec> M> auto fields(M &m) {
  return std::tie(m.Kind, m.Target, m.Method, m.Path, m.ContentType, m.Body, m.Stream, m.Repeatable,
                  m.Priority, m.MaxTokens, m.Timeout, m.Hint);
}
template <Is<message::RecordCopy> M> auto fields(M &m) {
  return std::tie(m.Key, m.BodyHash, m.Attempt, m.Run, m.State, m.Executor, m.Spec, m.Code,
                  m.Status, m.ContentType, m.Answer, m.Tokens);
}
template <Is<message::DocVersion> M> auto fields(M &m) { return std::tie(m.Name, m.Version); }
template <Is<message::Demand> M> auto fields(M &m) {
  return std::tie(m.Customer, m.RequestsPerSecond, m.TokensPerSecond, m.Streams);
}
template <Is<message::Share> M> auto fields(M &m) {
  return std::tie(m.Customer, m.RequestsPerSecond, m.TokensPerSecond, m.Streams, m.Lifetime);
}
template <Is<message::MarkCopy> M> auto fields(M &m) {
  return std::tie(m.KeyHash, m.KeyCheck, m.BodyHash, m.Attempt, m.Run, m.State, m.Age);
}
template <Is<message::ShardEpoch> M> auto fields(M &m) { return std::tie(m.Shard, m.Epoch); }

template <Is<message::Ping> M> auto fields(M &m) {
  return std::tie(m.Seq, m.Updates, m.DocsHash, m.MemberCount, m.MemberHash);
}
template <Is<message::PingRequest> M> auto fields(M &m) {
  return std::tie(m.Seq, m.Target, m.Updates);
}
template <Is<message::Ack> M> auto fields(M &m) {
  return std::tie(m.Seq, m.Subject, m.Updates, m.DocsHash, m.MemberCount, m.MemberHash);
}
template <Is<message::DocUpdate> M> auto fields(M &m) {
  return std::tie(m.Name, m.Version, m.Body);
}
template <Is<message::DocDigest> M> auto fields(M &m) { return std::tie(m.Versions); }
template <Is<message::DocRequest> M> auto fields(M &m) { return std::tie(m.Names); }
template <Is<message::Submit> M> auto fields(M &m) {
  return std::tie(m.Record, m.Epoch, m.Executing, m.Fallback, m.DataCentre);
}
template <Is<message::SubmitReply> M> auto fields(M &m) {
  return std::tie(m.Key, m.Attempt, m.Decision, m.Code, m.Run, m.NextAttempt, m.Where);
}
template <Is<message::Mark> M> auto fields(M &m) {
  return std::tie(m.Shard, m.Epoch, m.Seq, m.Record);
}
template <Is<message::MarkReply> M> auto fields(M &m) {
  return std::tie(m.Shard, m.Epoch, m.Seq, m.Code);
}
template <Is<message::Progress> M> auto fields(M &m) {
  return std::tie(m.Key, m.Run, m.Offset, m.Bytes, m.Tokens);
}
template <Is<message::Finish> M> auto fields(M &m) {
  return std::tie(m.Key, m.Run, m.Code, m.Status, m.ContentType, m.TotalSize, m.Tokens);
}
template <Is<message::FinishReply> M> auto fields(M &m) { return std::tie(m.Key, m.Run); }
template <Is<message::Close> M> auto fields(M &m) {
  return std::tie(m.Key, m.BodyHash, m.Attempt, m.Run);
}
template <Is<message::CloseReply> M> auto fields(M &m) {
  return std::tie(m.Key, m.Attempt, m.Code);
}
template <Is<message::Fetch> M> auto fields(M &m) {
  return std::tie(m.Key, m.Offset, m.Reader, m.Cancel);
}
template <Is<message::Chunk> M> auto fields(M &m) { return std::tie(m.Reader, m.Offset, m.Bytes); }
template <Is<message::End> M> auto fields(M &m) {
  return std::tie(m.Reader, m.Code, m.Status, m.ContentType, m.TotalSize, m.Tokens);
}
template <Is<message::Handover> M> auto fields(M &m) { return std::tie(m.Record); }
template <Is<message::HandoverReply> M> auto fields(M &m) {
  return std::tie(m.Key, m.Run, m.Taken);
}
template <Is<message::StandbyReady> M> auto fields(M &m) { return std::tie(m.Shards); }
template <Is<message::TableChunk> M> auto fields(M &m) {
  return std::tie(m.Shard, m.Epoch, m.Index, m.Last, m.Records, m.Marks);
}
template <Is<message::TableAck> M> auto fields(M &m) {
  return std::tie(m.Shard, m.Epoch, m.Index, m.Stored);
}
template <Is<message::DemandReport> M> auto fields(M &m) { return std::tie(m.Demands); }
template <Is<message::ShareGrant> M> auto fields(M &m) { return std::tie(m.Shares); }
template <Is<message::CrashReport> M> auto fields(M &m) {
  return std::tie(m.ContentHash, m.Backends, m.Lifetime, m.Alone);
}
template <Is<message::BackendNews> M> auto fields(M &m) {
  return std::tie(m.Backend, m.Seq, m.SlowFactor, m.Leaving, m.Born);
}
template <Is<message::EpochProbe> M> auto fields(M &m) { return std::tie(m.Shard, m.Epoch, m.Seq); }
template <Is<message::EpochConfirm> M> auto fields(M &m) {
  return std::tie(m.Shard, m.Epoch, m.Seq);
}
template <Is<message::MemberExchange> M> auto fields(M &m) {
  return std::tie(m.Buckets, m.Updates, m.Answer, m.Complete);
}
template <Is<message::TokenClaim> M> auto fields(M &m) {
  return std::tie(m.Workspace, m.Seq, m.Amount, m.Fallback);
}
template <Is<message::TokenGrant> M> auto fields(M &m) {
  return std::tie(m.Workspace, m.Seq, m.Granted, m.RestAfter);
}
template <Is<message::UsageCount> M> auto fields(M &m) {
  return std::tie(m.Node, m.Window, m.Workspace, m.Requests);
}
template <Is<message::UsageReport> M> auto fields(M &m) { return std::tie(m.Counts); }
template <Is<message::BackendListRequest> M> auto fields(M &m) { return std::tie(m.Revision); }
template <Is<message::BackendCopy> M> auto fields(M &m) {
  return std::tie(m.Id, m.Service, m.Address, m.DataCentre, m.Slots, m.Draining, m.Reclaimable,
                  m.Leaves, m.Born, m.Leaving);
}
template <Is<message::BackendListCopy> M> auto fields(M &m) {
  return std::tie(m.Revision, m.Backends);
}
template <Is<message::BackendLoad> M> auto fields(M &m) {
  return std::tie(m.Backend, m.PendingTokens, m.Running);
}
template <Is<message::ServiceDemand> M> auto fields(M &m) {
  return std::tie(m.Service, m.TokensPerSecond);
}
template <Is<message::BackendLoads> M> auto fields(M &m) { return std::tie(m.Loads, m.Demands); }
template <Is<message::HolderNews> M> auto fields(M &m) { return std::tie(m.PeerAddress, m.Token); }
template <Is<message::ListNews> M> auto fields(M &m) {
  return std::tie(m.Revision, m.Before, m.After, m.Changed, m.Removed);
}
template <Is<message::ServerParts> M> auto fields(M &m) { return std::tie(m.Backend, m.Parts); }
template <Is<message::HeldParts> M> auto fields(M &m) { return std::tie(m.Servers); }

/// A struct with a list of fields above.
template <typename T>
concept Struct = requires(T &v) {
  fields(v);
};

/// Largest value of each enumeration; a larger one is rejected on decoding.
template <typename E> constexpr std::uint64_t maxOf();
template <> constexpr std::uint64_t maxOf<message::MemberState>() { return 3; }
template <> constexpr std::uint64_t maxOf<message::RecordState>() { return 3; }
template <> constexpr std::uint64_t maxOf<message::WorkKind>() { return 1; }
template <> constexpr std::uint64_t maxOf<message::Verdict>() { return 2; }
template <> constexpr std::uint64_t maxOf<message::Copies>() { return 2; }
/// Any number fits: info() treats one it does not know as Internal, so newer codes pass.
template <> constexpr std::uint64_t maxOf<ResultCode>() { return 0xffff; }

/// Converts to any type; used to count the members of an aggregate.
struct AnyValue {
  template <typename T> operator T() const;
};

template <typename T, typename... Args> constexpr std::size_t memberCount() {
  if constexpr (requires { T{Args{}..., AnyValue{}}; })
    return memberCount<T, Args..., AnyValue>();
  else
    return sizeof...(Args);
}

/// True if fields() lists as many members as the struct has. Guards against a member that is added
/// to a message and forgotten here.
template <typename T>
constexpr bool
    IsComplete = memberCount<T>() == std::tuple_size_v<decltype(fields(std::declval<T &>()))>;

} // namespace chervil::wire::detail

#endif
