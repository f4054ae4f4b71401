#include "settings/ParseNodeSettings.h"

#include "settings/SettingValue.h"

#include <algorithm>
#include <cstring>
#include <fstream>
#include <ini.h>
#include <map>
#include <utility>

namespace chervil {
namespace {

struct Entry {
  int Line = 0;
  std::string Text;
};

/// State of one pass over the text. libinih calls nextLine() for each line and takeValue() for each
/// value, and reports only the first bad line; this keeps the line numbers and finds the others.
struct Pass {
  std::string_view Left;
  std::string File;
  int Line = 0;
  /// The present line should give a value, and whether it did.
  bool ExpectsValue = false;
  bool GaveValue = false;
  bool Indented = false;
  std::string_view Raw;
  std::map<std::pair<std::string, std::string>, Entry> Values;
  std::map<std::string, int> Sections;
  std::vector<SettingError> Errors;
};

const SettingKey *findKey(std::string_view section, std::string_view key) {
  const auto keys = allSettingKeys();
  const auto it = std::ranges::find_if(
      keys, [&](const SettingKey &k) { return section == k.Section && key == k.Key; });
  return it == keys.end() ? nullptr : &*it;
}

/// Names of all sections, or of the keys of one.
std::string names(std::string_view section) {
  std::string out;
  std::string_view last;
  for (const SettingKey &k : allSettingKeys()) {
    const std::string_view name = section.empty() ? k.Section : k.Key;
    if ((!section.empty() && section != k.Section) || name == last)
      continue;
    out += (out.empty() ? "" : ", ") + std::string(name);
    last = name;
  }
  return out;
}

bool isSection(std::string_view section) {
  return std::ranges::any_of(allSettingKeys(),
                             [&](const SettingKey &k) { return section == k.Section; });
}

std::string_view trimLeft(std::string_view text) {
  const std::size_t n = text.find_first_not_of(" \t\r\n\v\f");
  return n == std::string_view::npos ? std::string_view{} : text.substr(n);
}

void report(Pass &pass, SettingError error) {
  error.File = pass.File;
  if (error.Line == 0)
    error.Line = pass.Line;
  pass.Errors.push_back(std::move(error));
}

/// Reports the present line if it was neither blank, comment, section nor value. Only its first
/// word is shown, because the rest may be a secret.
void closeLine(Pass &pass) {
  if (pass.ExpectsValue && !pass.GaveValue) {
    const std::string_view line = trimLeft(pass.Raw);
    report(pass, {.Problem = "malformed line",
                  .Found = "'" + printable(line.substr(0, line.find_first_of(" \t"))) + "'",
                  .Accepted = "[section], key = value, or a comment after ';' or '#'"});
  }
  pass.ExpectsValue = pass.GaveValue = false;
}

void openSection(Pass &pass, std::string_view line) {
  const std::size_t end = line.find(']');
  const std::string_view rest =
      end == std::string_view::npos ? "x" : trimLeft(line.substr(end + 1));
  if (!rest.empty() && rest[0] != ';' && rest[0] != '#') {
    pass.ExpectsValue = true; // Reported by closeLine() as malformed.
    return;
  }
  const std::string name(line.substr(1, end - 1));
  if (!isSection(name)) {
    report(pass, {.Section = printable(name),
                  .Problem = "unknown section",
                  .Found = "[" + printable(name) + "]",
                  .Accepted = "one of " + names("")});
    return;
  }
  const auto [it, fresh] = pass.Sections.emplace(name, pass.Line);
  if (!fresh)
    report(pass, {.Section = name,
                  .Problem = "duplicate section",
                  .Found = "[" + name + "], first on line " + std::to_string(it->second),
                  .Accepted = "each section once"});
}

/// Copies one line into libinih's buffer; called with the signature of fgets().
char *nextLine(char *to, int size, void *stream) {
  auto &pass = *static_cast<Pass *>(stream);
  closeLine(pass);
  if (pass.Left.empty())
    return nullptr;
  const std::size_t n = std::min(pass.Left.find('\n'), pass.Left.size());
  std::string_view line = pass.Left.substr(0, n);
  pass.Left.remove_prefix(std::min(n + 1, pass.Left.size()));
  ++pass.Line;
  if (pass.Line == 1 && line.starts_with("\xef\xbb\xbf"))
    line.remove_prefix(3);
  if (line.ends_with('\r'))
    line.remove_suffix(1);
  const std::size_t max = static_cast<std::size_t>(size) - 2;
  if (line.size() > max || line.find('\0') != std::string_view::npos) {
    report(pass,
           {.Problem = "malformed line",
            .Found = line.size() > max ? std::to_string(line.size()) + " characters" : "a NUL byte",
            .Accepted = "at most " + std::to_string(max) + " characters of text"});
    line = ""; // Not {}, whose null pointer memcpy() must not receive.
  }
  const std::string_view text = trimLeft(line);
  pass.Raw = line;
  pass.Indented = !text.empty() && text.size() < line.size();
  if (text.starts_with('[') && !pass.Indented)
    openSection(pass, text);
  else
    pass.ExpectsValue = !text.empty() && text[0] != ';' && text[0] != '#';
  std::memcpy(to, line.data(), line.size());
  to[line.size()] = '\n';
  to[line.size() + 1] = '\0';
  return to;
}

void continueValue(Pass &pass, const SettingKey &key, Entry &entry, const char *value) {
  if (key.Type == SettingType::AddressList)
    entry.Text += std::string(" ") + value;
  else
    report(pass, {.Section = key.Section,
                  .Key = key.Key,
                  .Problem = "indented line",
                  .Found = "a continuation of the line above",
                  .Accepted = "one line that starts in the first column"});
}

int takeValue(void *user, const char *section, const char *name, const char *value) {
  auto &pass = *static_cast<Pass *>(user);
  pass.GaveValue = true;
  const SettingKey *key = findKey(section, name);
  if (key == nullptr) {
    // The keys of an unknown section are covered by its own error.
    if (isSection(section) || *section == '\0')
      report(pass, {.Section = section,
                    .Key = printable(name),
                    .Problem = *section == '\0' ? "key outside a section" : "unknown key",
                    .Found = "'" + printable(name) + "'",
                    .Accepted =
                        *section == '\0' ? "keys below a [section]" : "one of " + names(section)});
    return 1;
  }
  const auto [it, fresh] = pass.Values.try_emplace({section, name}, Entry{pass.Line, value});
  if (!fresh && pass.Indented)
    continueValue(pass, *key, it->second, value);
  else if (!fresh)
    report(pass, {.Section = section,
                  .Key = name,
                  .Problem = "duplicate key",
                  .Found = "a second value, first on line " + std::to_string(it->second.Line),
                  .Accepted = "each key once"});
  return 1;
}

/// A placeholder without a value leaves nothing, or only the unit that follows it.
bool isLeftOut(const SettingKey &key, std::string_view value) {
  return value.empty() || (key.Type == SettingType::Duration && (value == "ms" || value == "s"));
}

/// Takes a value given on the command line.
void applyOverride(Pass &pass, const std::string &text) {
  const std::size_t dot = text.find('.');
  const std::size_t equals = text.find('=');
  const bool wellFormed = dot != std::string::npos && equals != std::string::npos && dot < equals;
  const std::string section = wellFormed ? text.substr(0, dot) : "";
  const std::string name = wellFormed ? text.substr(dot + 1, equals - dot - 1) : "";
  const SettingKey *key = findKey(section, name);
  if (key == nullptr) {
    pass.Errors.push_back({.File = "--set",
                           .Line = 0,
                           .Section = printable(section),
                           .Key = printable(name),
                           .Problem = wellFormed ? "unknown key" : "malformed override",
                           .Found = "'" + printable(text.substr(0, equals)) + "'",
                           .Accepted = "SECTION.KEY=VALUE"});
    return;
  }
  const std::string value = text.substr(equals + 1);
  if (!isLeftOut(*key, value))
    pass.Values[{section, name}] = Entry{0, value};
}

void reportKey(Pass &pass, const SettingKey &key, int line, std::string problem,
               std::string found) {
  // A missing key has no line; report() would fill in the last one read.
  pass.Errors.push_back({.File = pass.File,
                         .Line = line,
                         .Section = key.Section,
                         .Key = key.Key,
                         .Problem = std::move(problem),
                         .Found = std::move(found),
                         .Accepted = acceptedBy(key)});
}

void storeAll(Pass &pass, NodeSettings &to, const SecretReader &readSecret) {
  for (const SettingKey &key : allSettingKeys()) {
    const auto it = pass.Values.find({key.Section, key.Key});
    if (it != pass.Values.end()) {
      const auto stored = storeValue(key, it->second.Text, to, readSecret);
      if (!stored)
        reportKey(pass, key, it->second.Line, "bad value", stored.error());
    } else if (key.Default != nullptr) {
      (void)storeValue(key, key.Default, to, readSecret);
    } else {
      reportKey(pass, key, 0, "missing key", "nothing");
    }
  }
  // A node with records needs the key-value service and the VM list.
  for (const char *name : {"kv_url", "vms_url"})
    if (to.Edge.StoreAddress.empty() && !pass.Values.contains({"platform", name}))
      reportKey(pass, *findKey("platform", name), 0, "missing key", "nothing");
}

/// Requirements on two keys together.
void checkPairs(Pass &pass, const NodeSettings &s) {
  const auto require = [&](bool holds, const char *section, const char *key, std::string found,
                           std::string accepted) {
    if (holds)
      return;
    const auto it = pass.Values.find({section, key});
    pass.Errors.push_back({.File = pass.File,
                           .Line = it == pass.Values.end() ? 0 : it->second.Line,
                           .Section = section,
                           .Key = key,
                           .Problem = "keys do not fit together",
                           .Found = std::move(found),
                           .Accepted = std::move(accepted)});
  };
  const auto ms = [](std::chrono::milliseconds d) { return std::to_string(d.count()) + "ms"; };
  require(s.Membership.ProbeTimeout < s.Membership.ProbePeriod, "membership", "probe_timeout",
          ms(s.Membership.ProbeTimeout), "less than probe_period, " + ms(s.Membership.ProbePeriod));
  require(s.Retry.BackoffMin <= s.Retry.BackoffMax, "retry", "backoff_min", ms(s.Retry.BackoffMin),
          "at most backoff_max, " + ms(s.Retry.BackoffMax));
  require(s.Limits.ReportPeriod < s.Limits.ShareLifetime, "limits", "report_period",
          ms(s.Limits.ReportPeriod), "less than share_lifetime, " + ms(s.Limits.ShareLifetime));
  require(s.Tls.Certificate.empty() == s.Tls.PrivateKey.empty(), "tls",
          s.Tls.Certificate.empty() ? "private_key" : "certificate", "one without the other",
          "certificate and private_key together");
}

} // namespace

std::string toString(const SettingError &error) {
  std::string out = error.File;
  if (error.Line > 0)
    out += ":" + std::to_string(error.Line);
  out += ": ";
  if (!error.Section.empty())
    out += "[" + error.Section + "] ";
  if (!error.Key.empty())
    out += error.Key + ": ";
  return out + error.Problem + ", found " + error.Found + ", accepted: " + error.Accepted;
}

tl::expected<std::string, std::string> readSecretFile(const std::string &path) {
  constexpr std::size_t max = 4096;
  std::ifstream in(path, std::ios::binary);
  std::string out(max + 2, '\0');
  if (!in || !in.read(out.data(), static_cast<std::streamsize>(out.size())).eof())
    return tl::make_unexpected(std::string(in ? "longer than 4096 bytes" : "cannot be read"));
  out.resize(static_cast<std::size_t>(in.gcount()));
  while (out.ends_with('\n') || out.ends_with('\r'))
    out.pop_back();
  return out;
}

tl::expected<NodeSettings, std::vector<SettingError>>
parseNodeSettings(std::string_view text, const std::string &fileName,
                  const SecretReader &readSecret, std::span<const std::string> overrides) {
  Pass pass;
  pass.Left = text;
  pass.File = fileName;
  ini_parse_stream(nextLine, &pass, takeValue, &pass);
  closeLine(pass);
  for (const std::string &it : overrides)
    applyOverride(pass, it);
  NodeSettings out;
  storeAll(pass, out, readSecret);
  if (pass.Errors.empty())
    checkPairs(pass, out);
  if (!pass.Errors.empty()) {
    std::ranges::stable_sort(pass.Errors, {}, [](const SettingError &e) {
      return e.Line == 0 ? std::numeric_limits<int>::max() : e.Line;
    });
    return tl::make_unexpected(std::move(pass.Errors));
  }
  if (out.Node.PeerAdvertise.empty())
    out.Node.PeerAdvertise = out.Node.PeerListen;
  if (out.Node.CallerAdvertise.empty())
    out.Node.CallerAdvertise = out.Node.CallerListen;
  return out;
}

NodeSettings defaultNodeSettings() {
  NodeSettings out;
  for (const SettingKey &key : allSettingKeys())
    if (key.Default != nullptr)
      (void)storeValue(key, key.Default, out, readSecretFile);
  return out;
}

std::string describeSettings() {
  std::string out = "# chervilcourse: settings\n\n"
                    "Generated by `settings_doc` from `packages/settings/SettingKeys.cpp`; change "
                    "it there.\n\n"
                    "A node reads its settings from an INI file. Lines that start with `;` or `#` "
                    "are comments. A list may be\ncontinued on indented lines. A secret may be "
                    "given as `file:PATH`. `chervilctl check FILE` reports every fault.\n";
  std::string_view section;
  for (const SettingKey &key : allSettingKeys()) {
    if (section != key.Section) {
      section = key.Section;
      out += "\n## [" + std::string(section) +
             "]\n\n| key | default | accepted | meaning |\n| --- | --- | --- | --- |\n";
    }
    const std::string shown = key.Default == nullptr ? "(required)"
                              : *key.Default == '\0' ? "(empty)"
                                                     : "`" + std::string(key.Default) + "`";
    out += "| `" + std::string(key.Key) + "` | " + shown + " | " + acceptedBy(key) + " | " +
           key.Meaning + " |\n";
  }
  return out;
}

} // namespace chervil
