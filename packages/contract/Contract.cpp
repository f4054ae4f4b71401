#include "contract/Contract.h"

#include "contract/ContractJson.h"

#include <algorithm>
#include <array>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

namespace chervil {
namespace {

constexpr std::string_view HashPrefix = "sha256:";

std::string sha256Hex(std::string_view text) {
  std::array<unsigned char, 32> digest{};
  if (gnutls_hash_fast(GNUTLS_DIG_SHA256, text.data(), text.size(), digest.data()) != 0)
    return "";
  std::string hex;
  hex.reserve(2 * digest.size());
  for (const unsigned char byte : digest) {
    hex.push_back("0123456789abcdef"[byte >> 4U]);
    hex.push_back("0123456789abcdef"[byte & 0xfU]);
  }
  return hex;
}

// Both arguments are digests, so their lengths reveal nothing about a key.
bool equalInConstantTime(std::string_view a, std::string_view b) {
  return !a.empty() && a.size() == b.size() && gnutls_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

Result<Contract> parseContract(std::string_view text) {
  const auto value = detail::parseObject(text);
  if (!value)
    return tl::make_unexpected(value.error());
  detail::JsonReader reader;
  Contract contract = detail::readContract(reader, *value, "");
  if (!reader.Faults.empty())
    return detail::faultsError(reader);
  return contract;
}

std::string serialise(const Contract &contract) { return detail::toJson(contract).dump(2); }

bool acceptsToken(const Contract &contract, std::string_view token) {
  const std::string digest = sha256Hex(token);
  bool found = false;
  for (const std::string &it : contract.Keys) {
    const std::string expected =
        it.starts_with(HashPrefix) ? it.substr(HashPrefix.size()) : sha256Hex(it);
    found = equalInConstantTime(expected, digest) || found;
  }
  return found;
}

const ModelTerms *findModel(const Contract &contract, std::string_view name) {
  const auto it = std::ranges::find(contract.Models, name, &ModelTerms::Name);
  return it == contract.Models.end() ? nullptr : &*it;
}

const ServiceTerms *findService(const Contract &contract, std::string_view name) {
  const auto it = std::ranges::find(contract.Services, name, &ServiceTerms::Name);
  return it == contract.Services.end() ? nullptr : &*it;
}

} // namespace chervil
