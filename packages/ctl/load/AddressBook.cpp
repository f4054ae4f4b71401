#include "ctl/load/AddressBook.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chervil::load {
namespace {

using namespace std::chrono_literals;

/// A node that restarts is back within about this time.
constexpr Duration AvoidTime = 2s;

} // namespace

bool takeEntry(AddressBook &book, std::string_view body, TimePoint now) {
  using Json = nlohmann::json;
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("addresses") || !json.at("addresses").is_array())
    return false;
  std::vector<std::string> addresses;
  for (const Json &it : json.at("addresses"))
    if (it.is_string())
      addresses.push_back(it.get<std::string>());
  if (addresses.empty())
    return false;
  const auto ttl = json.find("ttl_ms");
  const std::int64_t ttlMs =
      ttl != json.end() && ttl->is_number() ? ttl->get<std::int64_t>() : 1000;
  book.Addresses = std::move(addresses);
  book.ValidUntil = now + std::chrono::milliseconds(std::max<std::int64_t>(ttlMs, 100));
  return true;
}

bool needsRefresh(const AddressBook &book, TimePoint now) {
  return book.Addresses.empty() || now >= book.ValidUntil;
}

void noteFailure(AddressBook &book, const std::string &address, TimePoint now) {
  book.Avoided[address] = now + AvoidTime;
  book.ValidUntil = now;
}

std::string pickAddress(const AddressBook &book, const std::string &last, TimePoint now,
                        Random &rng) {
  const std::vector<std::string> &all = book.Addresses.empty() ? book.Seeds : book.Addresses;
  if (all.empty())
    return {};
  std::vector<std::string> good;
  for (const std::string &it : all) {
    const auto found = book.Avoided.find(it);
    if (it != last && (found == book.Avoided.end() || found->second <= now))
      good.push_back(it);
  }
  const std::vector<std::string> &from = good.empty() ? all : good;
  std::uniform_int_distribution<std::size_t> pick(0, from.size() - 1);
  return from[pick(rng)];
}

} // namespace chervil::load
