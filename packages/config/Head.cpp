#include "config/Head.h"

#include "contract/JsonReader.h"

#include <limits>

namespace chervil::config {

Result<Head> parseHead(std::string_view text) {
  const auto value = detail::parseObject(text);
  if (!value)
    return tl::make_unexpected(value.error());
  constexpr detail::Range<std::uint64_t> versions{1, std::numeric_limits<std::int64_t>::max()};
  detail::JsonReader reader;
  detail::checkKeys(reader, *value, "", {"version", "contracts"});
  Head head;
  head.Version = detail::readInteger(reader, *value, "", "version", versions, std::nullopt);
  const auto contracts = value->find("contracts");
  if (contracts == value->end() || !contracts->is_object())
    detail::addFault(reader, "contracts", "expected an object");
  else
    for (const auto &it : contracts->items())
      head.Contracts[it.key()] = detail::readInteger(reader, *contracts, "contracts",
                                                     it.key().c_str(), versions, std::nullopt);
  if (!reader.Faults.empty())
    return fail(ResultCode::BadContract, std::string(HeadKey) + ": " + reader.Faults.front());
  return head;
}

std::string serialise(const Head &head) {
  return detail::Json{{"version", head.Version}, {"contracts", head.Contracts}}.dump();
}

std::uint64_t acceptedVersion(const Head &head, const std::string &customer) {
  const auto it = head.Contracts.find(customer);
  return it == head.Contracts.end() ? 0 : it->second;
}

bool raiseAcceptedVersion(Head &head, const std::string &customer, std::uint64_t version) {
  if (version <= acceptedVersion(head, customer))
    return false;
  head.Contracts[customer] = version;
  ++head.Version;
  return true;
}

} // namespace chervil::config
