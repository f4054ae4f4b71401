// The request records a node holds as owner, standby or fallback holder. Pure state; the functions
// that change it are declared in Owner.h, Standby.h, Shards.h and Retention.h.
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

/// True if a member is not known to be dead.
using IsAlive = std::function<bool(const NodeId &)>;

/// A reply that waits for the standby.
struct PendingReply {
  enum class Kind : std::uint8_t { Grant, Close };

  Kind Type = Kind::Grant;
  RequestKey Key;
  std::uint32_t Shard = 0;
  NodeId Requester;
  std::uint32_t Attempt = 0;
  std::uint32_t Run = 0;
  /// Highest closed attempt before this one, 0 for none.
  std::uint32_t PreviousClosedAttempt = 0;
  TimePoint Deadline{};
};

/// The sending side of a table transfer to a new standby.
struct Transfer {
  std::uint64_t Epoch = 0;
  std::vector<RequestKey> Keys;
  std::vector<message::MarkCopy> Marks;
  std::size_t NextKey = 0;
  std::size_t NextMark = 0;
  std::uint32_t Index = 0;
  bool LastSent = false;
  TimePoint Deadline{};
};

struct State {
  NodeId Self;
  std::string DataCentre;
  Options Settings;
  std::vector<ShardView> Shards;
  std::unordered_map<RequestKey, Record, RequestKeyHash> Records;
  MarkTable Marks;
  std::map<std::uint64_t, PendingReply> PendingReplies;
  std::map<std::uint32_t, Transfer> Transfers;
  std::uint64_t NextSeq = 1;
  /// Finished records in the order in which they finished, for the answer budget.
  std::deque<RequestKey> FinishedOrder;
  std::size_t AnswerBytes = 0;
  /// Records that ended without an answer; the next tick reduces them to marks.
  std::vector<RequestKey> EndedKeys;
};

/// Shard of a key; 0 while the map is unknown.
std::uint32_t shardOf(const State &state, const RequestKey &key);

/// True if `key` is provably younger than the loss of the shard's marks, or the retry horizon has
/// passed since the loss.
bool mayRunAfterLoss(const ShardView &shard, const Options &options, const RequestKey &key,
                     WallTime now);

} // namespace chervil::record

#endif
