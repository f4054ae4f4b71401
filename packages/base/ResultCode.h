// Numbered result codes of callers' and operators' interfaces. Use:
//   Refusal r = refuse(ResultCode::LimitRequests);
//   respond(info(r.Code).HttpStatus, ...);
// The table for users is docs/result-codes.md; ResultCodeTest compares both.
#ifndef CHERVIL_BASE_RESULTCODE_H
#define CHERVIL_BASE_RESULTCODE_H

#include "base/Outcome.h"

#include <cstdint>
#include <span>
#include <string>

namespace chervil {

/// Numbers are stable: they are never reused or changed once released.
enum class ResultCode : std::uint16_t {
  Ok = 0,
  // 1xx: the request itself.
  BadJson = 100,
  BadRequest = 101,
  BodyTooLarge = 102,
  UnknownCustomerKey = 103,
  WrongMethod = 104,
  NotFound = 105,
  KeyReused = 106,
  KeyTimeInFuture = 107,
  AttemptClosed = 108,
  UnknownModel = 109,
  UnknownService = 110,
  RequestNotFound = 111,
  BadOffset = 112,
  KeyInvalid = 113,
  // 2xx: limits of the contract.
  LimitRequests = 200,
  LimitTokens = 201,
  LimitConcurrency = 202,
  DeadlineUnreachable = 203,
  RetryBudgetSpent = 204,
  Quarantined = 205,
  // 3xx: the state of the system.
  NodeLeaving = 300,
  NodeOverloaded = 301,
  NoOwner = 302,
  NoStandby = 303,
  StaleEpoch = 304,
  OwnerUnreachable = 305,
  ShardLost = 306,
  OutcomeUnknown = 307,
  ExecutorLost = 308,
  HandedOver = 309,
  NotReady = 310,
  AnswerExpired = 311,
  // 4xx: back ends.
  NoBackend = 400,
  BackendConnectFailed = 401,
  BackendDied = 402,
  BackendTimeout = 403,
  BackendBadAnswer = 404,
  BackendRefused = 405,
  // 5xx: configuration and operators.
  BadContract = 500,
  VersionConflict = 501,
  PlatformUnavailable = 502,
  UnknownContract = 503,
  Unauthorised = 504,
  BadSetting = 505,
  // 6xx: peers.
  PeerBadFrame = 600,
  PeerTooLarge = 601,
  PeerAuthFailed = 602,
  PeerTooSlow = 603,
  // 9xx: the program.
  Internal = 900,
};

/// Fixed properties of a result code.
struct ResultCodeInfo {
  ResultCode Code;
  /// Stable snake_case name used in refusals, logs and metrics.
  const char *Name;
  /// HTTP status of a response that carries the code.
  int HttpStatus;
  /// Outcome claimed unless the refusal states a weaker one.
  Outcome Result;
  /// True if the same request may succeed later.
  bool Retry;
  /// When the code is given and what a caller does, as one sentence for docs/result-codes.md.
  const char *Meaning;
};

/// Properties of `code`; those of Internal for a number not in the table.
const ResultCodeInfo &info(ResultCode code);

/// All codes in ascending order.
std::span<const ResultCodeInfo> allResultCodes();

/// The table of all codes as Markdown: docs/result-codes.md.
std::string describeResultCodes();

} // namespace chervil

#endif
