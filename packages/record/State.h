// The request records that a node holds as owner, as standby or in place of an unreachable owner.
// Data only; the functions that change it are declared in Owner.h, Standby.h, Shards.h and
// Retention.h.
#ifndef CHERVIL_RECORD_STATE_H
#define CHERVIL_RECORD_STATE_H

#include "message/MarkCopy.h"
#include "record/MarkTable.h"
#include "record/Options.h"
#include "record/Record.h"
#include "record/ShardView.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervil::record {

/// Returns true unless the member is known to be dead.
using IsAlive = std::function<bool(const NodeId &)>;

/// A reply that is sent only after the standby has acknowledged a record.
struct PendingReply {
  enum class Kind : std::uint8_t { Grant, Close };

  /// Grant answers a Submit, Close answers a Close.
  Kind Type = Kind::Grant;
  RequestKey Key;
  std::uint32_t Shard = 0;
  NodeId Requester;
  std::uint32_t Attempt = 0;
  /// Run of the grant; for a close, the run that the sender claims to hold, 0 for none.
  std::uint32_t Run = 0;
  /// Highest attempt that was closed before this one, 0 for none.
  std::uint32_t PreviousClosedAttempt = 0;
  /// When the reply is given without an acknowledgement.
  TimePoint Deadline{};
};

/// The sending side of a table transfer to a new standby.
struct Transfer {
  /// Value of Index once the standby has stored the last chunk.
  static constexpr std::uint32_t AllStored = UINT32_MAX;

  std::uint64_t Epoch = 0;
  /// What the transfer covers: the keys of the records and copies of the marks.
  std::vector<RequestKey> Keys;
  std::vector<message::MarkCopy> Marks;
  std::size_t NextKey = 0;
  std::size_t NextMark = 0;
  /// Number of the chunk whose acknowledgement is awaited.
  std::uint32_t Index = 0;
  /// That chunk is the last one.
  bool LastSent = false;
  TimePoint Deadline{};
};

struct State {
  NodeId Self;
  std::string DataCentre;
  Options Settings;
  /// By shard number; empty until the first shard map arrives.
  std::vector<ShardView> Shards;
  std::unordered_map<RequestKey, Record, RequestKeyHash> Records;
  MarkTable Marks;
  /// By the sequence number of the record whose acknowledgement is awaited, oldest first.
  std::map<std::uint64_t, PendingReply> PendingReplies;
  /// By shard number.
  std::map<std::uint32_t, Transfer> Transfers;
  /// Sequence number of the next record sent to a standby.
  std::uint64_t NextSeq = 1;
  /// Finished records in the order in which they finished, for the answer budget.
  std::deque<RequestKey> FinishedOrder;
  /// Total size of the finished answers held, in bytes.
  std::size_t AnswerBytes = 0;
  /// Records that ended without an answer; the next tick() reduces them to marks.
  std::vector<RequestKey> EndedKeys;
};

/// Returns the shard of a key, or 0 while the shard map is unknown.
std::uint32_t shardOf(const State &state, const RequestKey &key);

/// Returns true if no mark of `key` can have been lost with the shard: none was lost, the key was
/// provably created after the loss, or the retry horizon has passed since the loss.
bool mayRunAfterLoss(const ShardView &shard, const Options &options, const RequestKey &key,
                     WallTime now);

} // namespace chervil::record

#endif
