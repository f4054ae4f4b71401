#include "base/ResultCode.h"

#include <algorithm>
#include <array>

namespace chervil {
namespace {

using enum ResultCode;

constexpr std::array Table = {
    ResultCodeInfo{Ok, "ok", 200, Outcome::Ran, false,
                   "The request ran and its answer is whole; nothing to do."},
    ResultCodeInfo{BadJson, "bad_json", 400, Outcome::NotRun, false,
                   "The body is not JSON; correct the body."},
    ResultCodeInfo{BadRequest, "bad_request", 400, Outcome::NotRun, false,
                   "A field, header or parameter is missing or out of range, as the message says; "
                   "correct it."},
    ResultCodeInfo{BodyTooLarge, "body_too_large", 413, Outcome::NotRun, false,
                   "The body exceeds the setting max_body; send less."},
    ResultCodeInfo{UnknownCustomerKey, "unknown_customer_key", 401, Outcome::NotRun, false,
                   "No contract lists the bearer token; use a token of the customer's contract."},
    ResultCodeInfo{WrongMethod, "wrong_method", 405, Outcome::NotRun, false,
                   "The path exists but not with this method; use the documented method."},
    ResultCodeInfo{NotFound, "not_found", 404, Outcome::NotRun, false,
                   "The path does not exist; use a documented path."},
    ResultCodeInfo{
        KeyReused, "key_reused", 422, Outcome::NotRun, false,
        "The idempotency key was used with another body; use a new key for a new request."},
    ResultCodeInfo{KeyTimeInFuture, "key_time_in_future", 400, Outcome::NotRun, false,
                   "The time in the key (UUIDv7) lies beyond the clock margin; set the caller's "
                   "clock and use a new key."},
    ResultCodeInfo{
        AttemptClosed, "attempt_closed", 409, Outcome::NotRun, true,
        "This attempt was closed and never runs; send the next attempt number (next_attempt)."},
    ResultCodeInfo{UnknownModel, "unknown_model", 404, Outcome::NotRun, false,
                   "The contract or the fleet does not have the model; correct the name or have "
                   "the contract changed."},
    ResultCodeInfo{UnknownService, "unknown_service", 404, Outcome::NotRun, false,
                   "The contract or the fleet does not have the service; correct the name or have "
                   "the contract changed."},
    ResultCodeInfo{RequestNotFound, "request_not_found", 404, Outcome::Unknown, true,
                   "No record of the key was found; send the request again with the same key if it "
                   "may still be wanted."},
    ResultCodeInfo{BadOffset, "bad_offset", 416, Outcome::Unknown, false,
                   "The offset is no number or lies beyond the answer; fetch again from the bytes "
                   "actually received."},
    ResultCodeInfo{KeyInvalid, "key_invalid", 400, Outcome::NotRun, false,
                   "The idempotency key is longer than 128 characters or has characters other than "
                   "printable ASCII; use another key."},
    ResultCodeInfo{
        LimitRequests, "limit_requests", 429, Outcome::NotRun, true,
        "The contract's requests per second are used up; wait for Retry-After and send again."},
    ResultCodeInfo{
        LimitTokens, "limit_tokens", 429, Outcome::NotRun, true,
        "The contract's tokens per second are used up; wait for Retry-After and send again."},
    ResultCodeInfo{
        LimitConcurrency, "limit_concurrency", 429, Outcome::NotRun, true,
        "The contract's concurrent streams are in use; send again when one of them has ended."},
    ResultCodeInfo{DeadlineUnreachable, "deadline_unreachable", 503, Outcome::NotRun, true,
                   "No back end can answer within the request's deadline; send again later or with "
                   "more time."},
    ResultCodeInfo{RetryBudgetSpent, "retry_budget_spent", 503, Outcome::Unknown, true,
                   "The back end failed and the customer's retry budget allows no other try; send "
                   "again after Retry-After with the same key."},
    ResultCodeInfo{
        Quarantined, "quarantined", 422, Outcome::NotRun, false,
        "Back ends died repeatedly while running this content; do not send it again, report it."},
    ResultCodeInfo{
        NodeLeaving, "node_leaving", 503, Outcome::NotRun, true,
        "The node is stopping; ask for the entry addresses and send again to another node."},
    ResultCodeInfo{NodeOverloaded, "node_overloaded", 503, Outcome::NotRun, true,
                   "The node has no capacity left; send again after Retry-After, preferably to "
                   "another entry address."},
    ResultCodeInfo{
        NoOwner, "no_owner", 503, Outcome::NotRun, true,
        "The shard of the key has no reachable owner at the moment; send again after Retry-After."},
    ResultCodeInfo{NoStandby, "no_standby", 503, Outcome::NotRun, true,
                   "The shard has no ready standby, without which non-repeatable work does not "
                   "run; send the next attempt after Retry-After."},
    ResultCodeInfo{StaleEpoch, "stale_epoch", 503, Outcome::NotRun, true,
                   "The shard's owner is changing; send again after Retry-After."},
    ResultCodeInfo{OwnerUnreachable, "owner_unreachable", 503, Outcome::Unknown, true,
                   "Neither owner nor standby of the key answers; fetch the key later, or send "
                   "again with the same key."},
    ResultCodeInfo{ShardLost, "shard_lost", 409, Outcome::Unknown, false,
                   "Owner and standby of the shard were lost and the key may be older than that, "
                   "so it may have run; check with the service before using a new key."},
    ResultCodeInfo{OutcomeUnknown, "outcome_unknown", 409, Outcome::Unknown, false,
                   "The non-repeatable request, or the change, may have taken effect and is not "
                   "run again; check its effect before a new one."},
    ResultCodeInfo{ExecutorLost, "executor_lost", 409, Outcome::Unknown, false,
                   "The node that ran the non-repeatable request was lost and the request may have "
                   "run; check its effect before using a new key."},
    ResultCodeInfo{HandedOver, "handed_over", 503, Outcome::Unknown, true,
                   "The request goes on at another node; fetch the key at one of the stated "
                   "addresses from the stated offset."},
    ResultCodeInfo{NotReady, "not_ready", 503, Outcome::NotRun, true,
                   "The node has no shard map, contracts or back ends yet; send again after "
                   "Retry-After, preferably to another node."},
    ResultCodeInfo{
        AnswerExpired, "answer_expired", 410, Outcome::Ran, false,
        "The request ran, but its answer is no longer kept; do not send it again with this key."},
    ResultCodeInfo{
        NoBackend, "no_backend", 503, Outcome::NotRun, true,
        "No usable back end serves the target at the moment; send again after Retry-After."},
    ResultCodeInfo{BackendConnectFailed, "backend_connect_failed", 503, Outcome::NotRun, true,
                   "No back end accepted a connection; send again after Retry-After."},
    ResultCodeInfo{BackendDied, "backend_died", 502, Outcome::Unknown, true,
                   "The back end ended in the middle of the answer; send again with the same key."},
    ResultCodeInfo{BackendTimeout, "backend_timeout", 504, Outcome::Unknown, true,
                   "The back end did not answer in time; fetch or send again with the same key."},
    ResultCodeInfo{BackendBadAnswer, "backend_bad_answer", 502, Outcome::Unknown, true,
                   "The back end's answer was malformed; send again with the same key and report "
                   "it if it recurs."},
    ResultCodeInfo{
        BackendRefused, "backend_refused", 503, Outcome::NotRun, true,
        "The back end refused the request without running it; send again after Retry-After."},
    ResultCodeInfo{
        BadContract, "bad_contract", 400, Outcome::NotRun, false,
        "The contract is not valid and was not stored; correct every fault that is listed."},
    ResultCodeInfo{VersionConflict, "version_conflict", 409, Outcome::NotRun, false,
                   "The contract is no longer at the version the change was made from; merge both "
                   "versions and change the newer one."},
    ResultCodeInfo{PlatformUnavailable, "platform_unavailable", 503, Outcome::Unknown, true,
                   "The key-value service gave no definite answer, so the change may take effect; "
                   "repeat it with the same change id."},
    ResultCodeInfo{
        UnknownContract, "unknown_contract", 404, Outcome::NotRun, false,
        "The customer has no contract; correct the name or create the contract from version 0."},
    ResultCodeInfo{
        Unauthorised, "unauthorised", 401, Outcome::NotRun, false,
        "The admin token is missing or wrong; use the admin_token of the node's settings."},
    ResultCodeInfo{BadSetting, "bad_setting", 400, Outcome::NotRun, false,
                   "A setting is missing, unknown or out of range and nothing was started; correct "
                   "the file (chervilctl check)."},
    ResultCodeInfo{PeerBadFrame, "peer_bad_frame", 400, Outcome::NotRun, false,
                   "A peer sent a malformed frame and was disconnected; check that all nodes run "
                   "compatible versions."},
    ResultCodeInfo{PeerTooLarge, "peer_too_large", 413, Outcome::NotRun, false,
                   "A peer sent a frame above 1 MiB and was disconnected; check its version."},
    ResultCodeInfo{PeerAuthFailed, "peer_auth_failed", 401, Outcome::NotRun, false,
                   "A peer did not prove knowledge of the shared secret and was disconnected; "
                   "compare peer_secret on both nodes."},
    ResultCodeInfo{PeerTooSlow, "peer_too_slow", 408, Outcome::NotRun, false,
                   "A peer did not complete a frame or the handshake in time and was disconnected; "
                   "check the network and its load."},
    ResultCodeInfo{Internal, "internal", 500, Outcome::Unknown, true,
                   "An unexpected condition, stated in the message and the log; send again with "
                   "the same key and report it."},
};

} // namespace

const ResultCodeInfo &info(ResultCode code) {
  const auto it = std::ranges::lower_bound(Table, code, {}, &ResultCodeInfo::Code);
  return it != Table.end() && it->Code == code ? *it : Table.back();
}

std::span<const ResultCodeInfo> allResultCodes() { return Table; }

std::string describeResultCodes() {
  std::string out =
      "# chervilcourse: result codes\n\n"
      "Generated by `result_codes_doc` from `packages/base/ResultCode.cpp`; change it "
      "there.\n\n"
      "A refusal names its code by number and name. The outcome says whether the "
      "request ran; a refusal may state\na weaker one than the table. `retry` says "
      "whether the same request, with the same key, may succeed later.\nCodes from "
      "600 to 699 are counted and logged for connections between nodes and are not sent to "
      "callers.\n\n"
      "| code | name | HTTP status | outcome | retry | meaning and what to do |\n"
      "| --- | --- | --- | --- | --- | --- |\n";
  for (const ResultCodeInfo &it : Table) {
    out += "| " + std::to_string(static_cast<int>(it.Code)) + " | `" + it.Name + "` | ";
    out += std::to_string(it.HttpStatus) + " | " + toString(it.Result);
    out += std::string(" | ") + (it.Retry ? "yes" : "no") + " | " + it.Meaning + " |\n";
  }
  return out;
}

} // namespace chervil
