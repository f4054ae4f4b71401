// The versioned documents of one node and their dissemination. Use:
//   Effects e = onUpdate(store, update, now);     // DocUpdate from a peer, or from a watch
//   Effects e = spread(store, liveMembers, rng, now);  // every DisseminationInterval
//   Effects e = onPeerHash(store, peer, ack.DocsHash, now);
// Not thread-safe: a store belongs to the thread of its node.
#ifndef CHERVIL_CONFIG_STORE_H
#define CHERVIL_CONFIG_STORE_H

#include "base/Error.h"
#include "base/Random.h"
#include "base/Time.h"
#include "config/Effects.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace chervil::config {

/// Period of spread().
inline constexpr Duration DisseminationInterval = std::chrono::milliseconds(200);
/// Members that get a new document from each node that learns it.
inline constexpr std::size_t DisseminationFanout = 3;
/// A differing hash starts an exchange only when the store has neither changed nor become equal for
/// this long. Stores differ anyway while a document spreads, and a digest lists every document:
/// without the delay, digests were half of the traffic of a change.
inline constexpr Duration DigestQuietTime = std::chrono::milliseconds(600);
/// Least time between two digests sent by one node.
inline constexpr Duration DigestInterval = std::chrono::seconds(1);
/// A differing hash starts an exchange after this long even if the store keeps changing.
inline constexpr Duration MaxDigestDelay = std::chrono::seconds(3);
/// Bytes of documents sent in answer to one digest or request; the next exchange continues.
inline constexpr std::size_t MaxAnswerBytes = std::size_t{1} << 20U;

struct Document {
  std::uint64_t Version = 0;
  std::string Body;
};

/// A peer whose hash differed, and when.
struct HashMismatch {
  NodeId Peer;
  std::uint64_t Hash = 0;
  TimePoint Since{};
};

struct Store {
  std::map<std::string, Document> Documents;
  /// Exclusive or of the hashes of all names and versions; 0 for an empty store.
  std::uint64_t Hash = 0;
  /// Names of documents to pass on in the next round.
  std::vector<std::string> UpdatedNames;
  std::optional<TimePoint> LastChange;
  std::optional<TimePoint> LastDigest;
  /// The peer to send a digest to unless the stores become equal.
  std::optional<HashMismatch> PendingMismatch;
};

/// Stores the document if its version is above the one held, and reports the change.
std::optional<AppliedDocument> applyUpdate(Store &store, const message::DocUpdate &update,
                                           const Now &now);

/// Carried on probes. Equal for stores with the same names and versions.
inline std::uint64_t docsHash(const Store &store) { return store.Hash; }

/// Nullptr when the document is not held. Valid until the store changes.
const Document *find(const Store &store, const std::string &name);

Effects onUpdate(Store &store, const message::DocUpdate &update, const Now &now);

/// Sends what the peer lacks, and requests what this node lacks.
Effects onDigest(const Store &store, const NodeId &from, const message::DocDigest &digest);

Effects onRequest(const Store &store, const NodeId &from, const message::DocRequest &request);

/// Compares the hash on an ack. When it differs, an empty store sends its digest at once, others
/// from spread() after DigestQuietTime. Not called for probes: one digest serves both directions,
/// and digests from both sides would double their traffic.
Effects onPeerHash(Store &store, const NodeId &from, std::uint64_t hash, const Now &now);

/// Sends each new document to DisseminationFanout random members, and a digest that is due.
/// `members` are the live members without this node.
Effects disseminate(Store &store, std::span<const NodeId> members, Random &rng, const Now &now);

/// Wraps the body of a key of the key-value service; its top-level "version" is the version.
Result<message::DocUpdate> makeDocUpdate(std::string name, std::string body);

} // namespace chervil::config

#endif
