#include "contract/JsonReader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <sstream>

namespace chervil::detail {
namespace {

using namespace std::chrono_literals;

struct Unit {
  std::string_view Name;
  Duration Length;
};

// Longest first, so that formatting picks the shortest text.
constexpr std::array Units = {Unit{"h", 1h}, Unit{"min", 1min}, Unit{"s", 1s}, Unit{"ms", 1ms}};

template <typename T> std::string rangeText(Range<T> range) {
  std::ostringstream out;
  out.precision(15);
  out << range.Low << " to " << range.High;
  return out.str();
}

const Json *find(JsonReader &reader, const Json &object, const std::string &path, const char *key,
                 bool required, std::string_view expected) {
  const auto it = object.find(key);
  if (it != object.end())
    return &*it;
  if (required)
    addFault(reader, joinPath(path, key), "is missing; expected " + std::string(expected));
  return nullptr;
}

} // namespace

Result<Json> parseObject(std::string_view text) {
  std::vector<std::set<std::string>> open;
  std::string duplicate;
  const auto onEvent = [&](int, Json::parse_event_t event, Json &parsed) {
    if (event == Json::parse_event_t::object_start)
      open.emplace_back();
    else if (event == Json::parse_event_t::object_end)
      open.pop_back();
    else if (event == Json::parse_event_t::key &&
             !open.back().insert(parsed.get<std::string>()).second)
      duplicate = parsed.get<std::string>();
    return true;
  };
  Json value = Json::parse(text.begin(), text.end(), onEvent, false);
  if (value.is_discarded())
    return fail(ResultCode::BadJson, "the document is not valid JSON");
  if (!duplicate.empty())
    return fail(ResultCode::BadJson, "the key \"" + duplicate + "\" stands twice in one object");
  if (!value.is_object())
    return fail(ResultCode::BadJson, "the document is not a JSON object");
  return value;
}

std::string joinPath(std::string_view path, std::string_view key) {
  return path.empty() ? std::string(key) : std::string(path) + "." + std::string(key);
}

void addFault(JsonReader &reader, const std::string &path, std::string_view fault) {
  reader.Faults.push_back((path.empty() ? "document" : path) + ": " + std::string(fault));
}

bool checkKeys(JsonReader &reader, const Json &value, const std::string &path,
               std::initializer_list<std::string_view> known) {
  if (!value.is_object()) {
    addFault(reader, path, "expected an object");
    return false;
  }
  for (const auto &it : value.items()) {
    if (std::ranges::find(known, it.key()) != known.end())
      continue;
    std::string list;
    for (const std::string_view name : known)
      list += (list.empty() ? "" : ", ") + std::string(name);
    addFault(reader, joinPath(path, it.key()), "unknown key; accepted are " + list);
  }
  return true;
}

std::string readText(JsonReader &reader, const Json &object, const std::string &path,
                     const char *key, Range<std::size_t> length,
                     const std::optional<std::string> &fallback) {
  const std::string expected = "text of " + rangeText(length) + " bytes";
  const Json *value = find(reader, object, path, key, !fallback, expected);
  if (value == nullptr)
    return fallback.value_or("");
  if (value->is_string()) {
    std::string text = value->get<std::string>();
    if (text.size() >= length.Low && text.size() <= length.High)
      return text;
  }
  addFault(reader, joinPath(path, key), "expected " + expected);
  return "";
}

bool isName(std::string_view text) {
  if (text.empty() || text.size() > 64 || text.front() == '.' || text.front() == '-')
    return false;
  return std::ranges::all_of(text, [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
  });
}

std::string readName(JsonReader &reader, const Json &object, const std::string &path,
                     const char *key) {
  const std::string expected =
      "1 to 64 lower-case letters, digits, '.', '_' or '-', starting with none of '.' and '-'";
  const Json *value = find(reader, object, path, key, true, expected);
  if (value == nullptr)
    return "";
  if (value->is_string() && isName(value->get_ref<const std::string &>()))
    return value->get<std::string>();
  addFault(reader, joinPath(path, key), "expected " + expected);
  return "";
}

double readNumber(JsonReader &reader, const Json &object, const std::string &path, const char *key,
                  Range<double> range, std::optional<double> fallback) {
  const std::string expected = "a number from " + rangeText(range);
  const Json *value = find(reader, object, path, key, !fallback, expected);
  if (value == nullptr)
    return fallback.value_or(0);
  if (value->is_number()) {
    const double number = value->get<double>();
    if (number >= range.Low && number <= range.High)
      return number;
  }
  addFault(reader, joinPath(path, key), "expected " + expected);
  return 0;
}

std::uint64_t readInteger(JsonReader &reader, const Json &object, const std::string &path,
                          const char *key, Range<std::uint64_t> range,
                          std::optional<std::uint64_t> fallback) {
  const std::string expected = "an integer from " + rangeText(range);
  const Json *value = find(reader, object, path, key, !fallback, expected);
  if (value == nullptr)
    return fallback.value_or(0);
  if (value->is_number_unsigned()) {
    const auto number = value->get<std::uint64_t>();
    if (number >= range.Low && number <= range.High)
      return number;
  }
  addFault(reader, joinPath(path, key), "expected " + expected);
  return 0;
}

std::optional<bool> readFlag(JsonReader &reader, const Json &object, const std::string &path,
                             const char *key) {
  const Json *value = find(reader, object, path, key, false, "");
  if (value == nullptr)
    return std::nullopt;
  if (value->is_boolean())
    return value->get<bool>();
  addFault(reader, joinPath(path, key), "expected true or false");
  return std::nullopt;
}

std::optional<Duration> readDuration(JsonReader &reader, const Json &object,
                                     const std::string &path, const char *key,
                                     Range<Duration> range) {
  const Json *value = find(reader, object, path, key, false, "");
  if (value == nullptr)
    return std::nullopt;
  if (value->is_string()) {
    const auto duration = parseDuration(value->get_ref<const std::string &>());
    if (duration && *duration >= range.Low && *duration <= range.High)
      return duration;
  }
  addFault(reader, joinPath(path, key),
           "expected a duration with unit (ms, s, min, h) from " + formatDuration(range.Low) +
               " to " + formatDuration(range.High));
  return std::nullopt;
}

const Json *readArray(JsonReader &reader, const Json &object, const std::string &path,
                      const char *key, Range<std::size_t> size, bool required) {
  const std::string expected = "an array of " + rangeText(size) + " items";
  const Json *value = find(reader, object, path, key, required, expected);
  if (value == nullptr)
    return nullptr;
  if (value->is_array() && value->size() >= size.Low && value->size() <= size.High)
    return value;
  addFault(reader, joinPath(path, key), "expected " + expected);
  return nullptr;
}

std::optional<Duration> parseDuration(std::string_view text) {
  std::int64_t count = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), count);
  if (ec != std::errc() || count < 0)
    return std::nullopt;
  const std::string_view name = text.substr(static_cast<std::size_t>(end - text.data()));
  for (const Unit &it : Units)
    if (it.Name == name && count <= Duration::max() / it.Length)
      return it.Length * count;
  return std::nullopt;
}

std::string formatDuration(Duration value) {
  for (const Unit &it : Units)
    if (value.count() != 0 && value % it.Length == Duration::zero())
      return std::to_string(value / it.Length) + std::string(it.Name);
  return std::to_string(value / 1ms) + "ms";
}

} // namespace chervil::detail
