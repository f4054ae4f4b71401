#include "contract/ServiceTerms.h"

#include <algorithm>
#include <cctype>

namespace chervil {
namespace {

bool covers(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix))
    return false;
  return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

int hexValue(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  const int lower = std::tolower(static_cast<unsigned char>(c));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

// An escape of a character that needs none is another spelling of the same path.
bool hasOnlyNeededEscapes(std::string_view path) {
  for (std::size_t i = path.find('%'); i != std::string_view::npos; i = path.find('%', i + 1)) {
    if (i + 2 >= path.size())
      return false;
    const int hi = hexValue(path[i + 1]);
    const int lo = hexValue(path[i + 2]);
    if (hi < 0 || lo < 0)
      return false;
    const int c = 16 * hi + lo;
    if (c < 0x80 &&
        (std::isalnum(c) != 0 ||
         std::string_view("-._~/\\%;").find(static_cast<char>(c)) != std::string_view::npos))
      return false;
  }
  return true;
}

} // namespace

bool isPlainPath(std::string_view path) {
  if (!path.starts_with('/') || path.find_first_of("\\;?#") != std::string_view::npos ||
      !hasOnlyNeededEscapes(path))
    return false;
  std::string_view rest = path.substr(1);
  for (;;) {
    const std::size_t end = rest.find('/');
    const std::string_view segment = rest.substr(0, end);
    if (segment == "." || segment == "..")
      return false;
    if (end == std::string_view::npos)
      return true;
    if (segment.empty())
      return false;
    rest.remove_prefix(end + 1);
  }
}

bool repeatableByDefault(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE";
}

CallTerms callTerms(const ServiceTerms &service, std::string_view method, std::string_view path) {
  const std::string_view plain = path.substr(0, path.find_first_of("?#"));
  CallTerms terms{repeatableByDefault(method), service.Timeout, WorkLength::Short};
  const CallRule *best = nullptr;
  for (const CallRule &it : service.Rules) {
    if (!it.Methods.empty() && std::ranges::find(it.Methods, method) == it.Methods.end())
      continue;
    if (covers(it.PathPrefix, plain) &&
        (best == nullptr || it.PathPrefix.size() > best->PathPrefix.size()))
      best = &it;
  }
  if (best != nullptr) {
    terms.Repeatable = best->Repeatable.value_or(terms.Repeatable);
    terms.Timeout = best->Timeout.value_or(terms.Timeout);
    terms.Work = best->Work;
  }
  if (!isPlainPath(plain))
    terms.Repeatable = false;
  return terms;
}

} // namespace chervil
