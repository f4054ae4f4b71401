// Reads a node's settings from INI text and reports every fault in one pass. Use:
//   auto settings = parseNodeSettings(text, "node.ini");
//   if (!settings) for (const SettingError &e : settings.error()) std::cerr << toString(e) << "\n";
#ifndef CHERVIL_SETTINGS_PARSENODESETTINGS_H
#define CHERVIL_SETTINGS_PARSENODESETTINGS_H

#include "settings/NodeSettings.h"
#include "settings/SettingError.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace chervil {

/// Reads the secret of a `file:PATH` value; the error says why it could not.
using SecretReader = std::function<tl::expected<std::string, std::string>(const std::string &path)>;

/// Content of a file of at most 4 KiB, without the line break at its end.
tl::expected<std::string, std::string> readSecretFile(const std::string &path);

/// Errors are in the order of their lines; missing keys come last. `fileName` appears in them only.
/// Lines hold at most 198 characters; a list may be continued on indented lines. Text after a
/// semicolon that follows a space is a comment. Each of `overrides` is "SECTION.KEY=VALUE" and
/// replaces the value in the text; one without a value changes nothing.
tl::expected<NodeSettings, std::vector<SettingError>>
parseNodeSettings(std::string_view text, const std::string &fileName,
                  const SecretReader &readSecret = readSecretFile,
                  std::span<const std::string> overrides = {});

/// All keys at their defaults; required keys are empty. For tests and tools.
NodeSettings defaultNodeSettings();

/// The manual of all keys as Markdown: docs/settings.md.
std::string describeSettings();

} // namespace chervil

#endif
