// Choice of the back end for a request. Pure: time and randomness come in. Use:
//   State state = makeState(options);
//   updateBackends(state, list, now);
//   if (ChoiceResult c = choose(state, work, now, rng); c && c->Wait == Duration{0}) {
//     requestStarted(state, id, work, c->Backend, now);
//     ...
//     requestFinished(state, id, now);
//   }
// One thread; the state belongs to one node.
#ifndef CHERVIL_ROUTING_ROUTING_H
#define CHERVIL_ROUTING_ROUTING_H

#include "base/Random.h"
#include "message/BackendNews.h"
#include "routing/CacheEvent.h"
#include "routing/Choice.h"
#include "routing/Failure.h"
#include "routing/LoadReport.h"
#include "routing/State.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace chervil::routing {

State makeState(Options options);

/// Replaces the list of back ends. One that is missing becomes Dead; one that is Leaving stays so
/// until it is missing once (the VM list lags behind notices). Linear in the fleet; not per
/// request.
void updateBackends(State &state, std::span<const Backend> list, const Now &now);

/// A reclaim notice. The earliest deadline wins.
void backendLeaving(State &state, std::string_view backend, TimePoint deadline, const Now &now);

void applyLoadReport(State &state, const LoadReport &report, const Now &now);

/// Returns false after a gap: the map of this back end was dropped, ask for a snapshot.
bool applyCacheEvent(State &state, const CacheEvent &event, const Now &now);

void applyBackendNews(State &state, const message::BackendNews &news, const Now &now);
/// News for the other nodes of the data centre since the last call.
std::vector<message::BackendNews> takeNews(State &state, const Now &now);

void requestStarted(State &state, RequestId id, const WorkRequest &work, std::string_view backend,
                    const Now &now);
void requestFirstByte(State &state, RequestId id, const Now &now);
/// `count` tokens arrived since the last call.
void requestTokens(State &state, RequestId id, std::uint32_t count, const Now &now);
void requestFinished(State &state, RequestId id, const Now &now);
void requestFailed(State &state, RequestId id, Failure failure, const Now &now);
/// A connection failed before any request was sent on it.
void connectionFailed(State &state, std::string_view backend, const Now &now);

/// Periodic work, every 100 ms: counts a stream that is silent for too long as slow, so that an
/// engine that stopped is noticed without a token. Linear in this node's requests.
void tick(State &state, const Now &now);

/// NoBackend when none is usable, UnknownModel or UnknownService when none serves the target.
ChoiceResult choose(State &state, const WorkRequest &work, const Now &now, Random &rng);
/// The same decision with its candidates; changes nothing.
Explanation explain(const State &state, const WorkRequest &work, const Now &now, Random &rng);

/// Whether to start a second run of a slow request, and where. Only for repeatable work, once per
/// request, within the budget. The caller starts it with requestStarted under a new id and cancels
/// the slower run with requestFailed(..., Failure::Cancelled).
std::optional<Choice> hedge(State &state, RequestId id, const Now &now, Random &rng);

/// Predicted tokens of a request before it runs.
double expectedTokens(const State &state, const WorkRequest &work);
/// Requests of this node on a back end.
std::vector<RequestId> requestsOn(const State &state, std::string_view backend);
/// Approximate heap use.
std::size_t stateBytes(const State &state);

} // namespace chervil::routing

#endif
