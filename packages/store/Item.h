// Items of the platform's store.
#ifndef CHERVIL_STORE_ITEM_H
#define CHERVIL_STORE_ITEM_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervil::store {

struct Item {
  std::string Key;
  std::string Value;
  /// Revision of the last change, and of the creation.
  std::uint64_t Revision = 0;
  std::uint64_t Created = 0;
  /// 0 for an item without a lease.
  std::uint64_t Lease = 0;
};

/// One page of the items under a prefix.
struct Page {
  std::vector<Item> Items;
  bool HasMore = false;
  /// Revision of the store when the page was read.
  std::uint64_t AsOf = 0;
};

struct Change {
  /// For a removed item only key and revision are set.
  store::Item Item;
  bool Removed = false;
};

struct Changes {
  std::vector<Change> Events;
  std::uint64_t AsOf = 0;
};

} // namespace chervil::store

#endif
