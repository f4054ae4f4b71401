#include "ctl/load/Workload.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace chervil::load {
namespace {

using Json = nlohmann::json;

/// Collects the first fault, so that parsing reads as a list of members.
struct Reader {
  const Json &It;
  std::string Where;
  std::string &Fault;
  std::set<std::string> Known{};

  void fault(const std::string &name, const char *expected) {
    if (Fault.empty())
      Fault.append(Where).append(".").append(name).append(" is not ").append(expected);
  }

  const Json *find(const char *name) {
    Known.insert(name);
    const auto it = It.find(name);
    return it == It.end() ? nullptr : &*it;
  }

  void text(const char *name, std::string &to, bool required = false) {
    const Json *it = find(name);
    if (it == nullptr ? required : !it->is_string())
      return fault(name, "a text");
    if (it != nullptr)
      to = it->get<std::string>();
  }

  void flag(const char *name, bool &to) {
    const Json *it = find(name);
    if (it != nullptr && !it->is_boolean())
      return fault(name, "true or false");
    if (it != nullptr)
      to = it->get<bool>();
  }

  void weight(const char *name, double &to) {
    const Json *it = find(name);
    if (it != nullptr && (!it->is_number() || it->get<double>() <= 0))
      return fault(name, "a number above 0");
    if (it != nullptr)
      to = it->get<double>();
  }

  void count(const char *name, std::uint32_t &to) {
    const Json *it = find(name);
    if (it != nullptr && !it->is_number_unsigned())
      return fault(name, "a whole number");
    if (it != nullptr)
      to = it->get<std::uint32_t>();
  }

  void range(const char *name, Range &to) {
    const Json *it = find(name);
    if (it == nullptr)
      return;
    const bool pair = it->is_array() && it->size() == 2 && it->at(0).is_number_unsigned() &&
                      it->at(1).is_number_unsigned();
    if (!pair || it->at(0) < 1U || it->at(0) > it->at(1))
      return fault(name, "a pair [min, max] with 1 <= min <= max");
    to = {it->at(0).get<std::uint32_t>(), it->at(1).get<std::uint32_t>()};
  }

  void texts(const char *name, std::vector<std::string> &to) {
    const Json *it = find(name);
    if (it == nullptr)
      return;
    if (!it->is_array() ||
        !std::ranges::all_of(*it, [](const Json &one) { return one.is_string(); }))
      return fault(name, "a list of texts");
    to = it->get<std::vector<std::string>>();
  }

  void end() {
    for (const auto &[name, value] : It.items())
      if (!Known.contains(name))
        fault(name, "a known member");
  }
};

WorkCustomer readCustomer(Reader reader) {
  WorkCustomer it;
  reader.text("name", it.Name, true);
  reader.text("token", it.Token, true);
  reader.weight("weight", it.Weight);
  reader.end();
  return it;
}

WorkKind readKind(Reader reader) {
  WorkKind it;
  std::string type;
  reader.text("name", it.Name, true);
  reader.text("type", type, true);
  if (type != "model" && type != "service")
    reader.fault("type", "model or service");
  it.Service = type == "service";
  reader.weight("weight", it.Weight);
  reader.flag("repeatable", it.Repeatable);
  reader.texts("customers", it.Customers);
  if (it.Service) {
    it.Stream = false;
    reader.text("service", it.ServiceName, true);
    reader.text("method", it.Method);
    reader.text("path", it.Path, true);
  } else {
    reader.text("model", it.Model, true);
    reader.flag("stream", it.Stream);
    reader.range("prompt_chars", it.PromptChars);
    reader.range("tokens", it.Tokens);
    reader.count("max_tokens", it.MaxTokens);
    reader.count("prefix_chars", it.PrefixChars);
    reader.count("prefixes", it.Prefixes);
    it.Prefixes = std::max(1U, it.Prefixes);
  }
  reader.end();
  return it;
}

template <typename T, typename F>
void readList(const Json &json, const char *name, std::string &fault, std::vector<T> &to, F read) {
  const auto list = json.find(name);
  if (list == json.end() || !list->is_array() || list->empty()) {
    if (fault.empty())
      fault = std::string(name) + " is not a list with entries";
    return;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    std::string where = std::string(name) + "[" + std::to_string(i) + "]";
    if (list->at(i).is_object())
      to.push_back(read(Reader{list->at(i), std::move(where), fault}));
    else if (fault.empty())
      fault = where + " is not an object";
  }
}

} // namespace

Result<Workload> parseWorkload(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object())
    return fail(ResultCode::BadRequest, "workload: not a JSON object");
  std::string fault;
  Workload workload;
  Reader top{json, "workload", fault};
  top.text("name", workload.Name);
  top.find("customers");
  top.find("kinds");
  top.end();
  readList(json, "customers", fault, workload.Customers, readCustomer);
  readList(json, "kinds", fault, workload.Kinds, readKind);
  for (const WorkKind &kind : workload.Kinds)
    for (const std::string &name : kind.Customers)
      if (std::ranges::find(workload.Customers, name, &WorkCustomer::Name) ==
              workload.Customers.end() &&
          fault.empty())
        fault = "kind " + kind.Name + " names the unknown customer " + name;
  if (!fault.empty())
    return fail(ResultCode::BadRequest, "workload: " + fault);
  return workload;
}

} // namespace chervil::load
