// Reads JSON objects field by field and collects every fault with its path. Use:
//   detail::JsonReader reader;
//   checkKeys(reader, object, "limits", {"streams"});
//   streams = readInteger(reader, object, "limits", "streams", {1, 1000}, std::nullopt);
//   if (!reader.Faults.empty()) ...
#ifndef CHERVIL_CONTRACT_JSONREADER_H
#define CHERVIL_CONTRACT_JSONREADER_H

#include "base/Error.h"
#include "base/Time.h"

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervil::detail {

using Json = nlohmann::json;

struct JsonReader {
  /// "path: fault" lines.
  std::vector<std::string> Faults;
};

/// Accepted values, both ends included.
template <typename T> struct Range {
  T Low;
  T High;
};

/// Parses a JSON object; BadJson for malformed text, another type or a duplicate key.
Result<Json> parseObject(std::string_view text);

std::string joinPath(std::string_view path, std::string_view key);

void addFault(JsonReader &reader, const std::string &path, std::string_view fault);

/// Faults unless `value` is an object that has no other keys than `known`.
bool checkKeys(JsonReader &reader, const Json &value, const std::string &path,
               std::initializer_list<std::string_view> known);

/// Each reader returns the fallback when the key is absent, and adds a fault when it is absent
/// without a fallback, has the wrong type or is out of range.
std::string readText(JsonReader &reader, const Json &object, const std::string &path,
                     const char *key, Range<std::size_t> length,
                     const std::optional<std::string> &fallback);
/// Text of 1 to 64 lower-case letters, digits, '.', '_' and '-', not starting with '.' or '-'.
std::string readName(JsonReader &reader, const Json &object, const std::string &path,
                     const char *key);
double readNumber(JsonReader &reader, const Json &object, const std::string &path, const char *key,
                  Range<double> range, std::optional<double> fallback);
std::uint64_t readInteger(JsonReader &reader, const Json &object, const std::string &path,
                          const char *key, Range<std::uint64_t> range,
                          std::optional<std::uint64_t> fallback);
std::optional<bool> readFlag(JsonReader &reader, const Json &object, const std::string &path,
                             const char *key);
/// Durations are text with a unit: "300ms", "2s", "5min" or "1h".
std::optional<Duration> readDuration(JsonReader &reader, const Json &object,
                                     const std::string &path, const char *key,
                                     Range<Duration> range);
/// The array under `key`, or nullptr when it is absent or faulty.
const Json *readArray(JsonReader &reader, const Json &object, const std::string &path,
                      const char *key, Range<std::size_t> size, bool required);

bool isName(std::string_view text);
std::optional<Duration> parseDuration(std::string_view text);
/// Shortest text that parseDuration reads back; whole milliseconds.
std::string formatDuration(Duration value);

} // namespace chervil::detail

#endif
