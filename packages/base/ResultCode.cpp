#include "base/ResultCode.h"

#include <algorithm>
#include <array>

namespace chervil {
namespace {

using enum ResultCode;

constexpr std::array Table = {
    ResultCodeInfo{Ok, "ok", 200, Outcome::Ran, false},
    ResultCodeInfo{BadJson, "bad_json", 400, Outcome::NotRun, false},
    ResultCodeInfo{BadRequest, "bad_request", 400, Outcome::NotRun, false},
    ResultCodeInfo{BodyTooLarge, "body_too_large", 413, Outcome::NotRun, false},
    ResultCodeInfo{UnknownCustomerKey, "unknown_customer_key", 401, Outcome::NotRun, false},
    ResultCodeInfo{WrongMethod, "wrong_method", 405, Outcome::NotRun, false},
    ResultCodeInfo{NotFound, "not_found", 404, Outcome::NotRun, false},
    ResultCodeInfo{KeyReused, "key_reused", 422, Outcome::NotRun, false},
    ResultCodeInfo{KeyTimeInFuture, "key_time_in_future", 400, Outcome::NotRun, false},
    ResultCodeInfo{AttemptClosed, "attempt_closed", 409, Outcome::NotRun, true},
    ResultCodeInfo{UnknownModel, "unknown_model", 404, Outcome::NotRun, false},
    ResultCodeInfo{UnknownService, "unknown_service", 404, Outcome::NotRun, false},
    ResultCodeInfo{RequestNotFound, "request_not_found", 404, Outcome::Unknown, true},
    ResultCodeInfo{BadOffset, "bad_offset", 416, Outcome::Unknown, false},
    ResultCodeInfo{KeyInvalid, "key_invalid", 400, Outcome::NotRun, false},
    ResultCodeInfo{LimitRequests, "limit_requests", 429, Outcome::NotRun, true},
    ResultCodeInfo{LimitTokens, "limit_tokens", 429, Outcome::NotRun, true},
    ResultCodeInfo{LimitConcurrency, "limit_concurrency", 429, Outcome::NotRun, true},
    ResultCodeInfo{DeadlineUnreachable, "deadline_unreachable", 503, Outcome::NotRun, true},
    ResultCodeInfo{RetryBudgetSpent, "retry_budget_spent", 503, Outcome::Unknown, true},
    ResultCodeInfo{Quarantined, "quarantined", 422, Outcome::NotRun, false},
    ResultCodeInfo{NodeLeaving, "node_leaving", 503, Outcome::NotRun, true},
    ResultCodeInfo{NodeOverloaded, "node_overloaded", 503, Outcome::NotRun, true},
    ResultCodeInfo{NoOwner, "no_owner", 503, Outcome::NotRun, true},
    ResultCodeInfo{NoStandby, "no_standby", 503, Outcome::NotRun, true},
    ResultCodeInfo{StaleEpoch, "stale_epoch", 503, Outcome::NotRun, true},
    ResultCodeInfo{OwnerUnreachable, "owner_unreachable", 503, Outcome::Unknown, true},
    ResultCodeInfo{ShardLost, "shard_lost", 409, Outcome::Unknown, false},
    ResultCodeInfo{OutcomeUnknown, "outcome_unknown", 409, Outcome::Unknown, false},
    ResultCodeInfo{ExecutorLost, "executor_lost", 409, Outcome::Unknown, false},
    ResultCodeInfo{HandedOver, "handed_over", 503, Outcome::Unknown, true},
    ResultCodeInfo{NotReady, "not_ready", 503, Outcome::NotRun, true},
    ResultCodeInfo{AnswerExpired, "answer_expired", 410, Outcome::Ran, false},
    ResultCodeInfo{NoBackend, "no_backend", 503, Outcome::NotRun, true},
    ResultCodeInfo{BackendConnectFailed, "backend_connect_failed", 503, Outcome::NotRun, true},
    ResultCodeInfo{BackendDied, "backend_died", 502, Outcome::Unknown, true},
    ResultCodeInfo{BackendTimeout, "backend_timeout", 504, Outcome::Unknown, true},
    ResultCodeInfo{BackendBadAnswer, "backend_bad_answer", 502, Outcome::Unknown, true},
    ResultCodeInfo{BackendRefused, "backend_refused", 503, Outcome::NotRun, true},
    ResultCodeInfo{BadContract, "bad_contract", 400, Outcome::NotRun, false},
    ResultCodeInfo{VersionConflict, "version_conflict", 409, Outcome::NotRun, false},
    ResultCodeInfo{PlatformUnavailable, "platform_unavailable", 503, Outcome::Unknown, true},
    ResultCodeInfo{UnknownContract, "unknown_contract", 404, Outcome::NotRun, false},
    ResultCodeInfo{Unauthorised, "unauthorised", 401, Outcome::NotRun, false},
    ResultCodeInfo{BadSetting, "bad_setting", 400, Outcome::NotRun, false},
    ResultCodeInfo{PeerBadFrame, "peer_bad_frame", 400, Outcome::NotRun, false},
    ResultCodeInfo{PeerTooLarge, "peer_too_large", 413, Outcome::NotRun, false},
    ResultCodeInfo{PeerAuthFailed, "peer_auth_failed", 401, Outcome::NotRun, false},
    ResultCodeInfo{PeerTooSlow, "peer_too_slow", 408, Outcome::NotRun, false},
    ResultCodeInfo{Internal, "internal", 500, Outcome::Unknown, true},
};

} // namespace

const ResultCodeInfo &info(ResultCode code) {
  const auto it = std::ranges::lower_bound(Table, code, {}, &ResultCodeInfo::Code);
  return it != Table.end() && it->Code == code ? *it : Table.back();
}

std::span<const ResultCodeInfo> allResultCodes() { return Table; }

} // namespace chervil
