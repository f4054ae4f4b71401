#include "config/HeadRepair.h"

namespace chervil::config {
namespace {

// Returns the versions, by customer, of the contract documents that are newer than in `head`.
std::map<std::string, std::uint64_t> laggingContracts(const Head &head, const Store &store) {
  std::map<std::string, std::uint64_t> result;
  for (auto it = store.Documents.lower_bound(std::string(ContractPrefix));
       it != store.Documents.end() && it->first.starts_with(ContractPrefix); ++it) {
    const std::string customer = it->first.substr(ContractPrefix.size());
    if (it->second.Version > acceptedVersion(head, customer))
      result[customer] = it->second.Version;
  }
  return result;
}

} // namespace

std::optional<RepairEffect> checkHead(HeadRepair &repair, const Store &store, const Now &now) {
  Head head;
  if (const Document *document = find(store, HeadKey)) {
    auto parsed = parseHead(document->Body);
    if (!parsed)
      return std::nullopt;
    head = *std::move(parsed);
  }
  const auto behind = laggingContracts(head, store);
  std::erase_if(repair.LaggingSince, [&](const auto &it) { return !behind.contains(it.first); });
  bool due = false;
  for (const auto &[customer, version] : behind) {
    const auto it = repair.LaggingSince.try_emplace(customer, now.Steady).first;
    due = due || now.Steady - it->second >= RepairDelay;
  }
  if (repair.CallPending && now.Steady - repair.CallStartedAt < RepairTimeout)
    return std::nullopt;
  repair.CallPending = due;
  if (!due)
    return std::nullopt;
  repair.CallStartedAt = now.Steady;
  return ReadKey{HeadKey, ++repair.Call, {}};
}

std::optional<RepairEffect> onRepairAnswer(HeadRepair &repair, const Store &store,
                                           const KeyValueAnswer &answer) {
  const std::uint64_t call = std::visit([](const auto &it) { return it.Call; }, answer);
  if (!repair.CallPending || call != repair.Call)
    return std::nullopt;
  repair.CallPending = false;
  const auto *read = std::get_if<ReadAnswer>(&answer);
  if (read == nullptr || read->Status == ReadStatus::Unavailable)
    return std::nullopt;
  Head head;
  if (read->Status == ReadStatus::Found) {
    auto parsed = parseHead(read->Body);
    if (!parsed)
      return std::nullopt;
    head = *std::move(parsed);
  }
  bool raised = false;
  for (const auto &[customer, version] : laggingContracts(head, store))
    raised = raiseAcceptedVersion(head, customer, version) || raised;
  if (!raised)
    return std::nullopt;
  repair.CallPending = true;
  return CompareAndSwap{HeadKey, read->Revision, serialise(head), ++repair.Call, {}};
}

} // namespace chervil::config
