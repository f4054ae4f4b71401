// One fault of a settings file. Use:
//   for (const SettingError &e : errors) std::cerr << toString(e) << "\n";
#ifndef CHERVIL_SETTINGS_SETTINGERROR_H
#define CHERVIL_SETTINGS_SETTINGERROR_H

#include <string>

namespace chervil {

struct SettingError {
  std::string File;
  /// 1 for the first line; 0 for a key that is missing.
  int Line = 0;
  std::string Section;
  /// Empty if the fault concerns a section or a line that is no key.
  std::string Key;
  /// What is wrong, for example "bad value" or "duplicate key".
  std::string Problem;
  /// What was found; never the text of a secret.
  std::string Found;
  /// Accepted type and range.
  std::string Accepted;
};

/// "FILE:LINE: [SECTION] KEY: PROBLEM, found FOUND, accepted: ACCEPTED".
std::string toString(const SettingError &error);

} // namespace chervil

#endif
