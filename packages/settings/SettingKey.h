// Description of one key of the settings file.
#ifndef CHERVIL_SETTINGS_SETTINGKEY_H
#define CHERVIL_SETTINGS_SETTINGKEY_H

#include "settings/NodeSettings.h"

#include <span>
#include <variant>

namespace chervil {

enum class SettingType : std::uint8_t {
  Text,
  /// Letters, digits, '-', '_' and '.'.
  Name,
  /// IPv4 "ip:port" to listen on; port 0 takes a free one.
  ListenAddress,
  /// IPv4 "ip:port" to connect to.
  Address,
  AddressList,
  Url,
  /// Given directly or as "file:PATH".
  Secret,
  Integer,
  /// With a unit: B, KiB, MiB or GiB.
  Size,
  /// With a unit: ms, s, m or h.
  Duration,
  Boolean,
  /// 0..100, with or without '%'.
  Percent,
  /// Decimal number, such as 0.1.
  Fraction,
  /// info, warning or error.
  LogLevel,
};

/// The member of NodeSettings that a key fills.
using SettingTarget = std::variant<std::string *, std::vector<std::string> *, std::uint32_t *,
                                   std::uint64_t *, std::chrono::milliseconds *, bool *, double *>;

struct SettingKey {
  const char *Section;
  const char *Key;
  SettingType Type;
  /// In the form used in files; null for a required key.
  const char *Default;
  /// Range: of the number, bytes, milliseconds, entries, or characters, according to the type.
  std::uint64_t Min;
  std::uint64_t Max;
  /// One sentence.
  const char *Meaning;
  SettingTarget (*Target)(NodeSettings &settings);
};

/// All keys, grouped by section.
std::span<const SettingKey> allSettingKeys();

/// Accepted type and range of a key, for errors and the manual.
std::string acceptedBy(const SettingKey &key);

} // namespace chervil

#endif
