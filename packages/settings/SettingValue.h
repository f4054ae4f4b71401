// Conversion of one value of the settings file to the type of its key.
#ifndef CHERVIL_SETTINGS_SETTINGVALUE_H
#define CHERVIL_SETTINGS_SETTINGVALUE_H

#include "settings/ParseNodeSettings.h"
#include "settings/SettingKey.h"

#include <string>
#include <string_view>

namespace chervil {

/// Stores `text` in the member that `key` fills. The error is what was found, fit for an error
/// message: the text of a secret is replaced by its length.
tl::expected<void, std::string> storeValue(const SettingKey &key, std::string_view text,
                                           NodeSettings &to, const SecretReader &readSecret);

/// `text` without control characters and cut to a length fit for an error message.
std::string printable(std::string_view text);

} // namespace chervil

#endif
