// The versioned documents that one node holds, and the gossip protocol that distributes them. Use:
//   Effects e = onUpdate(store, update, now);     // DocUpdate from a peer, or from a watch
//   Effects e = disseminate(store, liveMembers, rng, now);  // every DisseminationInterval
//   Effects e = onPeerHash(store, peer, ack.DocsHash, now);
//   noteVersion(store, name, version, peer);      // the peer announced that it holds this version
// Not thread-safe: a store is used only on the thread of its node.
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

/// Period of disseminate().
inline constexpr Duration DisseminationInterval = std::chrono::milliseconds(200);
/// Number of random members to which each node forwards a document that is new to it.
inline constexpr std::size_t DisseminationFanout = 3;
/// Time between a hash mismatch and the digest sent because of it. No digest is sent if the hashes
/// become equal within this time; if the store changes, see MaxDigestDelay. Stores differ while a
/// document is being distributed, and a digest lists every document: without the delay, digests
/// were half of the traffic of a change.
inline constexpr Duration DigestQuietTime = std::chrono::milliseconds(600);
/// Minimum time between two digests sent by one node.
inline constexpr Duration DigestInterval = std::chrono::seconds(1);
/// Minimum time between two digests while the store keeps changing, so that a store that never
/// stops changing still sends them.
inline constexpr Duration MaxDigestDelay = std::chrono::seconds(3);
/// Upper bound on the bytes of documents sent in answer to one digest or request, except that the
/// first document is always sent. The next exchange sends the rest.
inline constexpr std::size_t MaxAnswerBytes = std::size_t{1} << 20U;

/// Documents up to this size are forwarded as they are; of larger ones only the version is, and
/// nodes that lack it request it. Forwarding sends each node several copies, and while versions
/// follow each other quickly also outdated ones, which would fill the links of small nodes.
inline constexpr std::size_t MaxForwardedBytes = std::size_t{16} << 10U;
/// Average rate at which a node requests versions of one document. Two fifths of the slowest links,
/// of 10 Mbit/s.
inline constexpr std::size_t RequestBytesPerSecond = std::size_t{512} << 10U;
/// Time after which a request without an answer is repeated, unless the document is so large that
/// it takes longer at RequestBytesPerSecond.
inline constexpr Duration RequestTimeout = std::chrono::seconds(1);
/// Nodes remembered that hold a version that this node lacks.
inline constexpr std::size_t MaxHolders = 16;

/// The newest version of a document that the node has received.
struct Document {
  std::uint64_t Version = 0;
  std::string Body;
};

/// A peer whose hash differed from the store's.
struct HashMismatch {
  NodeId Peer;
  /// The peer's hash.
  std::uint64_t Hash = 0;
  TimePoint Since{};
};

/// The newest version of a document that other nodes are known to hold.
struct KnownVersion {
  std::uint64_t Version = 0;
  std::vector<NodeId> Holders;
  std::optional<TimePoint> RequestedAt;
  /// Nothing is requested before this time: a request is under way, or the last answer was large.
  TimePoint NextRequest{};
};

/// The documents of one node by name, and the state of their distribution.
struct Store {
  std::map<std::string, Document> Documents;
  /// XOR of the hashes of all (name, version) pairs; 0 for an empty store.
  std::uint64_t Hash = 0;
  /// Names of documents to forward in the next disseminate().
  std::vector<std::string> UpdatedNames;
  /// Versions that other nodes hold, by name of the document.
  std::map<std::string, KnownVersion> KnownVersions;
  /// When a document was last added or replaced.
  std::optional<TimePoint> LastChange;
  /// When this node last sent a digest.
  std::optional<TimePoint> LastDigest;
  /// The peer that gets a digest unless the hashes become equal first.
  std::optional<HashMismatch> PendingMismatch;
};

/// Stores the document if it is newer than the one held. Returns the change, or nullopt if there is
/// none or the update has no name or version.
std::optional<AppliedDocument> applyUpdate(Store &store, const message::DocUpdate &update,
                                           const Now &now);

/// Hash of the store, carried in membership probes and acknowledgements. Equal for stores that hold
/// the same names and versions.
inline std::uint64_t docsHash(const Store &store) { return store.Hash; }

/// Returns the document, or null if the store does not hold it. The pointer is valid until the
/// store changes.
const Document *find(const Store &store, const std::string &name);

/// Applies an update from a peer or from a watch of the key-value service.
Effects onUpdate(Store &store, const message::DocUpdate &update, const Now &now);

/// Sends the documents that the peer lacks or holds in an older version, or a digest for large
/// ones, and requests those that this node lacks or holds in an older version, unless they have
/// been requested already.
Effects onDigest(Store &store, const NodeId &from, const message::DocDigest &digest,
                 const Now &now);

/// Remembers that a peer holds a version. If this node lacks it, disseminate() requests it from one
/// of the peers that hold it.
void noteVersion(Store &store, const std::string &name, std::uint64_t version,
                 const NodeId &holder);

/// Sends the requested documents, up to MaxAnswerBytes.
Effects onRequest(const Store &store, const NodeId &from, const message::DocRequest &request);

/// Compares the hash on an ack. When it differs, an empty store sends its digest at once, others
/// from disseminate() after DigestQuietTime. Not called for probes: one digest serves both
/// directions, and digests from both sides would double their traffic.
Effects onPeerHash(Store &store, const NodeId &from, std::uint64_t hash, const Now &now);

/// Sends each new document, or a digest if it is large, to DisseminationFanout random members;
/// requests versions that other nodes hold; sends a digest that is due.
/// `members` are the live members without this node.
Effects disseminate(Store &store, std::span<const NodeId> members, Random &rng, const Now &now);

/// Makes an update from the value of a key of the key-value service. The version is the top-level
/// member "version". Errors: BadContract if it is not a positive integer; for text that is not a
/// JSON object, the error of detail::parseObject().
Result<message::DocUpdate> makeDocUpdate(std::string name, std::string body);

} // namespace chervil::config

#endif
