#include "daemon/AdminDetail.h"
#include "platform/KvClient.h"

#include <glog/logging.h>

namespace chervil::daemon::detail {
namespace {

using config::ChangeEffect;
using platform::CallOutcome;

void carryOut(AdminApi &api, std::uint64_t number, const ChangeEffect &effect);

void onKeyEvent(AdminApi &api, std::uint64_t number, const config::KeyValueAnswer &answer) {
  const auto it = api.Changes.find(number);
  if (it == api.Changes.end())
    return;
  if (const auto effect = config::onChangeAnswer(it->second.State, answer, *api.Rng))
    carryOut(api, number, *effect);
}

void send(AdminApi &api, std::uint64_t number, const config::ReadKey &read) {
  const auto isDocument = read.Key != config::HeadKey;
  platform::kvGet(*api.Platform, read.Key,
                  [&api, number, call = read.Call,
                   isDocument](const platform::CallResult<platform::KvItem> &result) {
                    config::ReadAnswer answer{.Call = call};
                    if (result.Outcome == CallOutcome::Done) {
                      answer.Status = config::ReadStatus::Found;
                      answer.Revision = result.Value.Revision;
                      answer.Body = result.Value.Value;
                      if (isDocument && api.Changes.contains(number))
                        api.Changes.at(number).Document = answer.Body;
                    } else if (result.Outcome == CallOutcome::NotFound) {
                      answer.Status = config::ReadStatus::Absent;
                    }
                    onKeyEvent(api, number, answer);
                  });
}

void send(AdminApi &api, std::uint64_t number, const config::CompareAndSwap &write) {
  const bool isDocument = write.Key != config::HeadKey;
  platform::kvPut(*api.Platform, write.Key, write.Body, write.Revision, {},
                  [&api, number, call = write.Call, isDocument,
                   body = write.Body](const platform::CallResult<std::uint64_t> &result) {
                    config::WriteAnswer answer{.Call = call};
                    if (result.Outcome == CallOutcome::Done)
                      answer.Status = config::WriteStatus::Ok;
                    else if (result.Outcome == CallOutcome::Conflict)
                      answer.Status = config::WriteStatus::Conflict;
                    if (isDocument && result.Outcome == CallOutcome::Done &&
                        api.Changes.contains(number))
                      api.Changes.at(number).Document = body;
                    onKeyEvent(api, number, answer);
                  });
}

template <typename Call>
void sendAfterDelay(AdminApi &api, std::uint64_t number, const Call &call) {
  if (call.Delay.count() == 0)
    send(api, number, call);
  else
    net::after(*api.Timers, call.Delay, [&api, number, call] { send(api, number, call); });
}

/// The document is passed on only in the version that was accepted: a later one, found while a lost
/// answer was resolved, may not have been accepted yet.
void finish(AdminApi &api, const ContractChangeRun &run, const config::ChangeAccepted &accepted) {
  const Result<VersionedContract> document = parseVersionedContract(run.Document);
  if (document && document->Change.Version == accepted.Version && api.Deliver)
    api.Deliver(node::Document{config::contractKey(run.State.Request.Terms.Customer),
                               accepted.Version, run.Document});
  LOG(INFO) << "config: contract " << run.State.Request.Terms.Customer << " has version "
            << accepted.Version << " by an operator's change.";
  answerJson(api, run.RequestId,
             {{"version", accepted.Version}, {"change_id", run.State.Request.Id}});
}

void finish(AdminApi &api, const ContractChangeRun &run, const config::ChangeConflict &conflict) {
  Json current;
  if (conflict.Current)
    current = {{"version", conflict.Current->Change.Version},
               {"change_id", conflict.Current->Change.Id},
               {"author", conflict.Current->Change.Author},
               {"time_ms", millis(conflict.Current->Change.Time)},
               {"contract", Json::parse(serialise(conflict.Current->Terms))}};
  const std::uint64_t version = conflict.Current ? conflict.Current->Change.Version : 0;
  refuse(api, run.RequestId,
         {ResultCode::VersionConflict, "the contract is at version " + std::to_string(version) +
                                           ", the change was made from version " +
                                           std::to_string(conflict.BaseVersion)},
         {{"base_version", conflict.BaseVersion},
          {"proposed", Json::parse(serialise(conflict.Proposed))},
          {"current", std::move(current)}});
}

void finish(AdminApi &api, const ContractChangeRun &run, const config::ChangeUnavailable &end) {
  Error error = end.Cause;
  // Other codes concern stored documents and would read as a fault of this request.
  if (error.Code != ResultCode::PlatformUnavailable && error.Code != ResultCode::OutcomeUnknown)
    error.Code = ResultCode::Internal;
  refuse(api, run.RequestId, error,
         {{"written", end.Written}, {"change_id", run.State.Request.Id}});
}

void carryOut(AdminApi &api, std::uint64_t number, const ChangeEffect &effect) {
  if (const auto *read = std::get_if<config::ReadKey>(&effect)) {
    sendAfterDelay(api, number, *read);
    return;
  }
  if (const auto *write = std::get_if<config::CompareAndSwap>(&effect)) {
    sendAfterDelay(api, number, *write);
    return;
  }
  const auto node = api.Changes.extract(number);
  if (const auto *accepted = std::get_if<config::ChangeAccepted>(&effect))
    finish(api, node.mapped(), *accepted);
  else if (const auto *conflict = std::get_if<config::ChangeConflict>(&effect))
    finish(api, node.mapped(), *conflict);
  else if (const auto *end = std::get_if<config::ChangeUnavailable>(&effect))
    finish(api, node.mapped(), *end);
}

Result<config::ChangeRequest> parseChange(const Json &body) {
  const auto text = [&](const char *name) {
    const auto it = body.find(name);
    return it != body.end() && it->is_string() ? it->get<std::string>() : std::string();
  };
  const auto base = body.find("base_version");
  if (base == body.end() || !base->is_number_unsigned())
    return fail(ResultCode::BadRequest, "base_version: an integer from 0 (0 for a new contract)");
  const auto terms = body.find("contract");
  if (terms == body.end())
    return fail(ResultCode::BadRequest, "contract: an object is required");
  if (text("change_id").empty() || text("author").empty())
    return fail(ResultCode::BadRequest, "change_id and author: text of 1 to 128 bytes");
  Result<Contract> contract = parseContract(terms->dump());
  if (!contract)
    return tl::make_unexpected(contract.error());
  return config::ChangeRequest{text("change_id"), text("author"), base->get<std::uint64_t>(),
                               *std::move(contract)};
}

} // namespace

void onContractPut(AdminApi &api, const net::HttpRequest &request, const std::string &customer) {
  const Json body = bodyObject(api, request);
  if (body.is_null())
    return;
  Result<config::ChangeRequest> change = parseChange(body);
  if (change && change->Terms.Customer != customer)
    change = fail(ResultCode::BadContract,
                  "customer: expected \"" + customer + "\", the customer named in the path");
  ContractChangeRun run{.RequestId = request.Id, .State = {}, .Document = {}};
  Result<ChangeEffect> first = tl::make_unexpected(Error{});
  if (change)
    first = config::startChange(run.State, *std::move(change), api.Clock());
  else
    first = tl::make_unexpected(change.error());
  if (!first) {
    if (first.error().Code == ResultCode::BadContract)
      refuseContract(api, request.Id, first.error());
    else
      refuse(api, request.Id, first.error());
    return;
  }
  const std::uint64_t number = api.NextChange++;
  api.Changes.emplace(number, std::move(run));
  carryOut(api, number, *first);
}

} // namespace chervil::daemon::detail
