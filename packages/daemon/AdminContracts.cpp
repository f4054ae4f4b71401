#include "config/Head.h"
#include "contract/VersionedContract.h"
#include "daemon/AdminDetail.h"
#include "platform/KvClient.h"

#include <sstream>

namespace chervil::daemon::detail {
namespace {

using platform::CallOutcome;

Json changeJson(const ContractChange &change) {
  return {{"version", change.Version},
          {"change_id", change.Id},
          {"author", change.Author},
          {"time_ms", millis(change.Time)}};
}

using OnDocument = std::function<void(const VersionedContract &document, const char *source)>;

void useDocument(AdminApi &api, std::uint64_t id, const std::string &text, const char *source,
                 const OnDocument &use) {
  const Result<VersionedContract> document = parseVersionedContract(text);
  if (document)
    use(*document, source);
  else
    refuse(api, id,
           {ResultCode::Internal, "the stored contract is not valid: " + document.error().Message});
}

/// Uses this node's copy, which may be older, when the key-value service does not answer.
void readDocument(AdminApi &api, std::uint64_t id, const std::string &customer, OnDocument use) {
  const std::string key = config::contractKey(customer);
  platform::kvGet(
      *api.Platform, key,
      [&api, id, key, use = std::move(use)](const platform::CallResult<platform::KvItem> &read) {
        if (read.Outcome == CallOutcome::Done) {
          useDocument(api, id, read.Value.Value, "platform", use);
          return;
        }
        if (read.Outcome == CallOutcome::NotFound) {
          refuse(api, id, {ResultCode::UnknownContract, "the customer has no contract"});
          return;
        }
        const config::Document *copy = config::find(api.Node->Documents, key);
        if (copy != nullptr)
          useDocument(api, id, copy->Body, "node", use);
        else
          refuse(
              api, id,
              {ResultCode::PlatformUnavailable,
               "the key-value service does not answer and this node has no copy: " + read.Error});
      });
}

} // namespace

void refuseContract(AdminApi &api, std::uint64_t id, const Error &error) {
  Json faults = Json::array();
  std::istringstream lines(error.Message);
  for (std::string line; std::getline(lines, line);)
    faults.push_back(line);
  refuse(api, id, {ResultCode::BadContract, error.Message}, {{"faults", std::move(faults)}});
}

void onContractList(AdminApi &api, const net::HttpRequest &request) {
  Json contracts = Json::array();
  const auto &documents = api.Node->Documents.Documents;
  for (auto it = documents.lower_bound(std::string(config::ContractPrefix));
       it != documents.end() && it->first.starts_with(config::ContractPrefix); ++it) {
    const Result<VersionedContract> document = parseVersionedContract(it->second.Body);
    Json entry = {{"customer", it->first.substr(config::ContractPrefix.size())},
                  {"version", it->second.Version},
                  {"valid", document.has_value()}};
    if (document)
      entry.update(changeJson(document->Change));
    contracts.push_back(std::move(entry));
  }
  answerJson(api, request.Id, {{"contracts", std::move(contracts)}});
}

void onContractGet(AdminApi &api, const net::HttpRequest &request, const std::string &customer) {
  readDocument(api, request.Id, customer,
               [&api, id = request.Id](const VersionedContract &document, const char *source) {
                 Json out = changeJson(document.Change);
                 out["contract"] = Json::parse(serialise(document.Terms));
                 out["source"] = source;
                 answerJson(api, id, out);
               });
}

void onContractHistory(AdminApi &api, const net::HttpRequest &request,
                       const std::string &customer) {
  readDocument(
      api, request.Id, customer,
      [&api, id = request.Id, customer](const VersionedContract &document, const char *source) {
        Json changes = Json::array({changeJson(document.Change)});
        for (const ContractChange &it : document.History)
          changes.push_back(changeJson(it));
        answerJson(api, id,
                   {{"customer", customer}, {"changes", std::move(changes)}, {"source", source}});
      });
}

void onContractDiff(AdminApi &api, const net::HttpRequest &request) {
  const Json body = bodyObject(api, request);
  if (body.is_null())
    return;
  if (!body.contains("a") || !body.contains("b")) {
    refuse(api, request.Id, {ResultCode::BadRequest, R"(expected {"a": contract, "b": contract})"});
    return;
  }
  const Result<Contract> a = parseContract(body["a"].dump());
  const Result<Contract> b = parseContract(body["b"].dump());
  if (!a || !b)
    refuseContract(api, request.Id, a ? b.error() : a.error());
  else
    answerJson(api, request.Id, {{"lines", diff(*a, *b)}});
}

} // namespace chervil::daemon::detail
