#include "settings/SettingValue.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

namespace chervil {
namespace {

using Unit = std::pair<std::string_view, std::uint64_t>;
constexpr std::array<Unit, 4> SizeUnits = {
    {{"B", 1}, {"KiB", 1024}, {"MiB", 1024 * 1024}, {"GiB", 1024 * 1024 * 1024}}};
constexpr std::array<Unit, 4> DurationUnits = {
    {{"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}}};

/// A number followed by `rest`, which is returned; nothing if there is no number or it overflows.
std::optional<std::pair<std::uint64_t, std::string_view>> leadingNumber(std::string_view text) {
  std::uint64_t n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc())
    return std::nullopt;
  return {{n, text.substr(static_cast<std::size_t>(end - text.data()))}};
}

std::optional<std::uint64_t> number(std::string_view text) {
  const auto it = leadingNumber(text);
  return it && it->second.empty() ? std::optional(it->first) : std::nullopt;
}

std::optional<std::uint64_t> withUnit(std::string_view text, std::span<const Unit> units) {
  const auto it = leadingNumber(text);
  if (!it)
    return std::nullopt;
  for (const auto &[name, size] : units)
    if (it->second == name && it->first <= std::numeric_limits<std::uint64_t>::max() / size)
      return it->first * size;
  return std::nullopt;
}

/// Nothing for text that is not a decimal number as a whole.
std::optional<double> decimal(std::string_view text) {
  double value = 0;
  const char *end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, value);
  return ec == std::errc() && last == end ? std::optional(value) : std::nullopt;
}

bool isAddress(std::string_view text, std::uint64_t minPort) {
  for (int i = 0; i < 4; ++i) {
    const auto it = leadingNumber(text);
    if (!it || it->first > 255 || text.size() - it->second.size() > 3 ||
        !it->second.starts_with(i < 3 ? '.' : ':'))
      return false;
    text = it->second.substr(1);
  }
  const auto port = number(text);
  return port && *port >= minPort && *port <= 65535 && text.size() <= 5;
}

bool isName(std::string_view text) {
  return std::ranges::all_of(text, [](char ch) {
    return (ch >= 'a' && ch <= 'z') || (ch >= 'A' && ch <= 'Z') || (ch >= '0' && ch <= '9') ||
           ch == '-' || ch == '_' || ch == '.';
  });
}

bool isUrl(std::string_view text) {
  const std::size_t scheme = text.starts_with("http://") ? 7 : text.starts_with("https://") ? 8 : 0;
  return scheme > 0 && text.size() > scheme && text[scheme] != '/' &&
         text.find_first_of(" \t\"<>?#") == std::string_view::npos;
}

std::vector<std::string> split(std::string_view text) {
  std::vector<std::string> out;
  while (!text.empty()) {
    const std::size_t n = std::min(text.find_first_of(", \t"), text.size());
    if (n > 0)
      out.emplace_back(text.substr(0, n));
    text.remove_prefix(std::min(n + 1, text.size()));
  }
  return out;
}

bool inRange(const SettingKey &key, std::uint64_t n) { return n >= key.Min && n <= key.Max; }

template <typename T> bool assign(const SettingKey &key, NodeSettings &to, T value) {
  *std::get<T *>(key.Target(to)) = std::move(value);
  return true;
}

bool storeText(const SettingKey &key, std::string_view text, NodeSettings &to, bool accepted) {
  return accepted && assign(key, to, std::string(text));
}

bool storeNumber(const SettingKey &key, std::optional<std::uint64_t> n, NodeSettings &to) {
  if (!n || !inRange(key, *n))
    return false;
  if (key.Type == SettingType::Size)
    return assign(key, to, *n);
  if (key.Type == SettingType::Duration)
    return assign(key, to, std::chrono::milliseconds(*n));
  return assign(key, to, static_cast<std::uint32_t>(*n));
}

bool storeDecimal(const SettingKey &key, std::optional<double> value, NodeSettings &to) {
  // Also false for a value that is not a number.
  const bool isInRange =
      value && *value >= static_cast<double>(key.Min) && *value <= static_cast<double>(key.Max);
  return isInRange && assign(key, to, *value);
}

bool storeList(const SettingKey &key, std::string_view text, NodeSettings &to) {
  std::vector<std::string> items = split(text);
  return inRange(key, items.size()) &&
         std::ranges::all_of(items, [](const auto &it) { return isAddress(it, 1); }) &&
         assign(key, to, std::move(items));
}

tl::expected<void, std::string> storeSecret(const SettingKey &key, std::string_view text,
                                            NodeSettings &to, const SecretReader &readSecret) {
  std::string secret(text);
  if (text.starts_with("file:")) {
    const std::string path(text.substr(5));
    auto content = readSecret(path);
    if (!content)
      return tl::make_unexpected("file '" + printable(path) + "': " + content.error());
    secret = std::move(*content);
  }
  if (!inRange(key, secret.size()))
    return tl::make_unexpected("a secret of " + std::to_string(secret.size()) + " characters");
  assign(key, to, std::move(secret));
  return {};
}

/// True if the value was accepted and stored; all types but Secret.
bool store(const SettingKey &key, std::string_view text, NodeSettings &to) {
  // An optional text, address or URL may be left empty.
  const bool empty = text.empty() && key.Default != nullptr && *key.Default == '\0';
  switch (key.Type) {
  case SettingType::Text:
    return storeText(key, text, to, inRange(key, text.size()));
  case SettingType::Name:
    return storeText(key, text, to, inRange(key, text.size()) && isName(text));
  case SettingType::ListenAddress:
    return storeText(key, text, to, isAddress(text, 0));
  case SettingType::Address:
    return storeText(key, text, to, empty || isAddress(text, 1));
  case SettingType::Url:
    return storeText(key, text, to, empty || (inRange(key, text.size()) && isUrl(text)));
  case SettingType::LogLevel:
    return storeText(key, text, to, text == "info" || text == "warning" || text == "error");
  case SettingType::AddressList:
    return storeList(key, text, to);
  case SettingType::Integer:
    return storeNumber(key, number(text), to);
  case SettingType::Percent:
    return storeNumber(key, number(text.substr(0, text.size() - (text.ends_with('%') ? 1 : 0))),
                       to);
  case SettingType::Fraction:
    return storeDecimal(key, decimal(text), to);
  case SettingType::Size:
    return storeNumber(key, withUnit(text, SizeUnits), to);
  case SettingType::Duration:
    return storeNumber(key, withUnit(text, DurationUnits), to);
  case SettingType::Boolean:
    return (text == "true" || text == "false") && assign(key, to, text == "true");
  case SettingType::Secret:
    break;
  }
  return false;
}

} // namespace

std::string printable(std::string_view text) {
  constexpr std::size_t max = 60;
  std::string out(text.substr(0, max));
  for (char &ch : out)
    if (ch < ' ' || ch > '~')
      ch = '?';
  return text.size() > max ? out + "..." : out;
}

tl::expected<void, std::string> storeValue(const SettingKey &key, std::string_view text,
                                           NodeSettings &to, const SecretReader &readSecret) {
  if (key.Type == SettingType::Secret)
    return storeSecret(key, text, to, readSecret);
  if (!store(key, text, to))
    return tl::make_unexpected("'" + printable(text) + "'");
  return {};
}

} // namespace chervil
