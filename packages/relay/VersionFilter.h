// Restricts the choice of a server to versions of its software while a rollout is under way. Use:
//   criteria.Versions = {.Listed = VersionFilter::Kind::AllBut, .Version = "v2"};
//   if (allows(*criteria.Versions, server.Entry.Version)) ...
#ifndef CHERVIL_RELAY_VERSIONFILTER_H
#define CHERVIL_RELAY_VERSIONFILTER_H

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace chervil::relay {

using VersionSet = std::set<std::string, std::less<>>;

/// Versions that may be chosen. The members refer to the state of the rollout: valid until that
/// changes.
struct VersionFilter {
  enum class Kind : std::uint8_t { All, Only, AllBut, None };
  Kind Listed = Kind::All;
  /// The version that Only and AllBut are about.
  std::string_view Version;
  /// Versions that are not chosen in any case; null for none.
  const VersionSet *Excluded = nullptr;
  /// Only the first servers in rank for the order are chosen; 0 for all. The rank is alike on all
  /// nodes.
  std::uint32_t Servers = 0;
  std::uint64_t Order = 0;
  /// The version is that of a target: it has its own index of cached prefixes.
  bool IsTarget = false;
};

/// True if servers of this version may be chosen. Does not regard VersionFilter::Servers.
inline bool allows(const VersionFilter &filter, std::string_view version) {
  if (filter.Excluded != nullptr && filter.Excluded->contains(version))
    return false;
  switch (filter.Listed) {
  case VersionFilter::Kind::All:
    return true;
  case VersionFilter::Kind::Only:
    return version == filter.Version;
  case VersionFilter::Kind::AllBut:
    return version != filter.Version;
  case VersionFilter::Kind::None:
    return false;
  }
  return false;
}

} // namespace chervil::relay

#endif
