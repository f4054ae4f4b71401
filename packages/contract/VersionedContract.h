// The document config/contracts/{customer} in the key-value service. Use:
//   Result<VersionedContract> doc = parseVersionedContract(body);
//   if (findChange(*doc, changeId)) ... // the write took effect
#ifndef CHERVIL_CONTRACT_VERSIONEDCONTRACT_H
#define CHERVIL_CONTRACT_VERSIONEDCONTRACT_H

#include "contract/Contract.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervil {

/// One change of a contract.
struct ContractChange {
  std::uint64_t Version = 0;
  /// Chosen by the writer, unique per change; resolves lost responses.
  std::string Id;
  std::string Author;
  WallTime Time{};

  bool operator==(const ContractChange &) const = default;
};

/// Earlier changes kept in a document. Bounds the document's size; a writer that lost a response
/// can resolve it while fewer changes than this have followed.
inline constexpr std::size_t HistoryLength = 32;

struct VersionedContract {
  /// The change that made this version.
  ContractChange Change;
  Contract Terms;
  /// Earlier changes, newest first, with falling versions; at most HistoryLength.
  std::vector<ContractChange> History;

  bool operator==(const VersionedContract &) const = default;
};

Result<VersionedContract> parseVersionedContract(std::string_view text);

/// JSON text that parseVersionedContract reads back to an equal document.
std::string serialise(const VersionedContract &document);

/// The document after `change`, whose version is set to one above that of `current`; nullptr stands
/// for a new document.
VersionedContract succeed(const VersionedContract *current, ContractChange change, Contract terms);

/// The change with this id among the current one and the history; nullptr when absent.
const ContractChange *findChange(const VersionedContract &document, std::string_view id);

/// The change that made this version; nullptr when it is absent or no longer in the history.
const ContractChange *findVersion(const VersionedContract &document, std::uint64_t version);

} // namespace chervil

#endif
