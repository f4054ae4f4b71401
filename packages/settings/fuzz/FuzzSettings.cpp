// libFuzzer target: arbitrary text as a settings file. Errors must be printable and have a line
// within the text, or none.
#include "settings/ParseNodeSettings.h"

#include <algorithm>
#include <cstdlib>

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  using namespace chervil;
  const std::string_view text(reinterpret_cast<const char *>(data), size);
  const auto settings = parseNodeSettings(
      text, "f", [](const std::string &) -> tl::expected<std::string, std::string> {
        return tl::make_unexpected(std::string("no files"));
      });
  if (settings)
    return 0;
  const auto lines = std::ranges::count(text, '\n') + 1;
  for (const SettingError &e : settings.error()) {
    const std::string shown = toString(e);
    if (e.Line < 0 || e.Line > lines ||
        !std::ranges::all_of(shown, [](char ch) { return ch >= ' ' && ch <= '~'; }))
      std::abort();
  }
  return 0;
}
