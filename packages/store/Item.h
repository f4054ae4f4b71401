// Items, pages and changes of the platform's key-value store.
#ifndef CHERVIL_STORE_ITEM_H
#define CHERVIL_STORE_ITEM_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervil::store {

/// A point in the history of the store. Revisions increase within an era; a store that has come
/// back from an older copy gives revisions out again in the next era. Eras start at 1.
struct Position {
  std::uint64_t Era = 0;
  std::uint64_t Revision = 0;

  auto operator<=>(const Position &) const = default; // NOLINT(modernize-use-nullptr)
};

/// A key with its value. Revisions are numbers of the store that increase with each change.
struct Item {
  std::string Key;
  std::string Value;
  /// Revisions of the last change and of the creation of the item.
  std::uint64_t Revision = 0;
  std::uint64_t Created = 0;
  /// Id of the lease that the item is attached to; 0 for an item without a lease.
  std::uint64_t Lease = 0;
};

/// One page of the items under a prefix.
struct Page {
  std::vector<Item> Items;
  bool HasMore = false;
  /// Revision of the store when the page was read.
  std::uint64_t AsOf = 0;
};

/// One change reported by a watch.
struct Change {
  /// For a removed item, only the key and the revision are set.
  store::Item Item;
  bool Removed = false;
};

/// The answer to a watch.
struct Changes {
  std::vector<Change> Events;
  /// Revision up to which changes are reported.
  std::uint64_t AsOf = 0;
};

} // namespace chervil::store

#endif
