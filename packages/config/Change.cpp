#include "config/Change.h"

#include <algorithm>

namespace chervil::config {
namespace {

ChangeEffect finish(ChangeState &state, ChangeEffect result) {
  state.Phase = ChangePhase::Done;
  return result;
}

ChangeEffect giveUp(ChangeState &state, ResultCode code, std::string message) {
  return finish(state, ChangeUnavailable{state.Version != 0, {code, std::move(message)}});
}

ChangeEffect read(ChangeState &state, ChangePhase phase, Duration delay = {}) {
  state.Phase = phase;
  const std::string key = phase == ChangePhase::ReadHead
                              ? std::string(HeadKey)
                              : contractKey(state.Request.Terms.Customer);
  return ReadKey{key, ++state.Call, delay};
}

// Restarts from a read after a failed call or a write conflict, with decorrelated jitter. Ends the
// change after more than MaxFailedCalls.
ChangeEffect retryRead(ChangeState &state, ChangePhase phase, Random &rng) {
  if (++state.FailedCalls > MaxFailedCalls)
    return giveUp(state, ResultCode::PlatformUnavailable,
                  "the key-value service gave no definite answer");
  const Duration maxDelay = std::clamp(3 * state.LastDelay, 2 * MinCallDelay, MaxCallDelay);
  std::uniform_int_distribution<Duration::rep> delay(MinCallDelay.count(), maxDelay.count());
  state.LastDelay = Duration(delay(rng));
  return read(state, phase, state.LastDelay);
}

ChangeEffect onDocumentRead(ChangeState &state, const ReadAnswer &answer) {
  const ChangeRequest &request = state.Request;
  std::optional<VersionedContract> current;
  if (answer.Status == ReadStatus::Found) {
    auto document = parseVersionedContract(answer.Body);
    if (!document)
      return giveUp(state, document.error().Code,
                    "the stored contract is not valid: " + document.error().Message);
    current = *std::move(document);
    if (const ContractChange *ownChange = findChange(*current, request.Id)) {
      state.Version = ownChange->Version;
      return read(state, ChangePhase::ReadHead);
    }
  }
  const std::uint64_t version = current ? current->Change.Version : 0;
  if (version == request.BaseVersion) {
    const VersionedContract next = succeed(
        current ? &*current : nullptr, {0, request.Id, request.Author, state.Time}, request.Terms);
    state.Phase = ChangePhase::WriteDocument;
    return CompareAndSwap{
        contractKey(request.Terms.Customer), answer.Revision, serialise(next), ++state.Call, {}};
  }
  // This change can only have made the version after its base. If the history no longer shows which
  // change made that version, it may have been a write of this run or an earlier run of this
  // change.
  if (version > request.BaseVersion && findVersion(*current, request.BaseVersion + 1) == nullptr)
    return giveUp(state, ResultCode::OutcomeUnknown,
                  "the history of the contract no longer reaches version " +
                      std::to_string(request.BaseVersion + 1));
  return finish(state, ChangeConflict{request.BaseVersion, request.Terms, std::move(current)});
}

ChangeEffect onHeadRead(ChangeState &state, const ReadAnswer &answer) {
  Head head;
  if (answer.Status == ReadStatus::Found) {
    auto parsed = parseHead(answer.Body);
    if (!parsed)
      return giveUp(state, parsed.error().Code, parsed.error().Message);
    head = *std::move(parsed);
  }
  if (!raiseAcceptedVersion(head, state.Request.Terms.Customer, state.Version))
    return finish(state, ChangeAccepted{state.Version});
  state.Phase = ChangePhase::WriteHead;
  return CompareAndSwap{HeadKey, answer.Revision, serialise(head), ++state.Call, {}};
}

ChangeEffect onRead(ChangeState &state, const ReadAnswer &answer, Random &rng) {
  if (answer.Status == ReadStatus::Unavailable)
    return retryRead(state, state.Phase, rng);
  return state.Phase == ChangePhase::ReadDocument ? onDocumentRead(state, answer)
                                                  : onHeadRead(state, answer);
}

ChangeEffect onWrite(ChangeState &state, const WriteAnswer &answer, Random &rng) {
  if (state.Phase == ChangePhase::WriteDocument) {
    if (answer.Status == WriteStatus::Ok) {
      state.Version = state.Request.BaseVersion + 1;
      return read(state, ChangePhase::ReadHead);
    }
    // A conflict is retried too: an earlier write of this change may have taken effect.
    return retryRead(state, ChangePhase::ReadDocument, rng);
  }
  if (answer.Status == WriteStatus::Ok)
    return finish(state, ChangeAccepted{state.Version});
  return retryRead(state, ChangePhase::ReadHead, rng);
}

} // namespace

Result<ChangeEffect> startChange(ChangeState &state, ChangeRequest request, const Now &now) {
  if (request.Id.empty() || request.Id.size() > 128 || request.Author.size() > 128)
    return fail(ResultCode::BadContract,
                "change id: expected 1 to 128 bytes; author: expected 0 to 128 bytes");
  if (const auto valid = parseContract(serialise(request.Terms)); !valid)
    return tl::make_unexpected(valid.error());
  state = ChangeState{};
  state.Request = std::move(request);
  state.Time = now.Wall;
  return read(state, ChangePhase::ReadDocument);
}

std::optional<ChangeEffect> onChangeAnswer(ChangeState &state, const KeyValueAnswer &answer,
                                           Random &rng) {
  if (const auto *it = std::get_if<ReadAnswer>(&answer)) {
    if (it->Call == state.Call &&
        (state.Phase == ChangePhase::ReadDocument || state.Phase == ChangePhase::ReadHead))
      return onRead(state, *it, rng);
  } else if (const auto *it2 = std::get_if<WriteAnswer>(&answer)) {
    if (it2->Call == state.Call &&
        (state.Phase == ChangePhase::WriteDocument || state.Phase == ChangePhase::WriteHead))
      return onWrite(state, *it2, rng);
  }
  return std::nullopt;
}

} // namespace chervil::config
