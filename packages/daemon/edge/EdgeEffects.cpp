// Carries out what package relay decides.
#include "daemon/edge/EdgeDetail.h"
#include "platform/IngressProtocol.h"

namespace chervil::daemon::detail {
namespace {

using namespace std::chrono_literals;

constexpr auto BackendConnectTimeout = 500ms;
// The relay ends a call at the deadline of its request. This bound only catches a call that it has
// lost track of.
constexpr auto BackendCallMargin = 1000ms;

relay::BackendEnd endOf(const http::End &end) {
  switch (end.Failure) {
  case http::Failure::None:
    return end.EndedByClose ? relay::BackendEnd::Closed : relay::BackendEnd::Complete;
  case http::Failure::TooLarge:
  case http::Failure::TooManyResponses:
    return relay::BackendEnd::Excessive;
  case http::Failure::NotSent:
    return relay::BackendEnd::NotSent;
  default:
    return end.EndedInHead ? relay::BackendEnd::BrokenInHead : relay::BackendEnd::Broken;
  }
}

http::CallEvents eventsOf(Edge &edge, relay::CallId id, const std::string &attempt) {
  http::CallEvents events;
  events.Accepts = [attempt](const http::ResponseHead &head) {
    return adapter::answersAttempt(head, attempt);
  };
  events.OnHead = [&edge, id, attempt](const http::ResponseHead &head) {
    const auto it = edge.Calls.find(id);
    if (it == edge.Calls.end())
      return;
    it->second.Head = head;
    const relay::BackendHead what = adapter::readHead(head, attempt);
    handle(edge, [&edge, id, what](relay::Effects &out, const Now &now) {
      relay::onBackendHead(edge.Relay, id, what, out, now, edge.Rng);
    });
  };
  events.OnData = [&edge, id](std::string_view bytes) {
    handle(edge, [&edge, id, text = std::string(bytes)](relay::Effects &out, const Now &now) {
      relay::onBackendBytes(edge.Relay, id, text, out, now, edge.Rng);
    });
  };
  events.OnEnd = [&edge, id](const http::End &end) {
    if (end.Failure != http::Failure::None)
      count(edge.Counters, "backend_call_failed", http::toString(end.Failure));
    handle(edge, [&edge, id, how = endOf(end)](relay::Effects &out, const Now &now) {
      relay::onBackendEnd(edge.Relay, id, how, out, now, edge.Rng);
    });
    // The head is needed until the effects of the end are carried out.
    handle(edge, [&edge, id](relay::Effects &, const Now &) { edge.Calls.erase(id); });
  };
  return events;
}

struct Outward {
  Edge &E;

  void operator()(const relay::CallBackend &e) const {
    const auto request = E.Requests.find(e.Request);
    if (request == E.Requests.end())
      return;
    http::Call call = adapter::backendCall(request->second.Head, request->second.Body, e);
    call.ConnectTimeout = BackendConnectTimeout;
    call.Timeout = e.Remaining + BackendCallMargin;
    call.MaxResponseBytes = e.MaxAnswerBytes;
    E.Calls[e.Call] = {0, e.Request, {}};
    E.Calls[e.Call].HttpCall =
        http::startCall(*E.Backends, std::move(call), eventsOf(E, e.Call, e.AttemptId));
  }
  void operator()(const relay::CancelBackend &e) const {
    const auto it = E.Calls.find(e.Call);
    if (it == E.Calls.end())
      return;
    http::cancelCall(*E.Backends, it->second.HttpCall);
    E.Calls.erase(it);
  }
  void operator()(const relay::ForwardAnswer &e) const {
    const auto call = E.Calls.find(e.Call);
    if (call != E.Calls.end()) {
      http::Response response = adapter::forwardedResponse(call->second.Head);
      response.Body = e.Body;
      http::respond(*E.Callers, e.Request, response);
    }
    finish(e.Request);
  }
  void operator()(const relay::BeginStream &e) const {
    if (const auto call = E.Calls.find(e.Call); call != E.Calls.end())
      http::beginStream(*E.Callers, e.Request, adapter::forwardedResponse(call->second.Head));
  }
  void operator()(const relay::StreamBytes &e) const {
    http::writeStream(*E.Callers, e.Request, e.Bytes);
  }
  void operator()(const relay::EndStream &e) const {
    http::endStream(*E.Callers, e.Request);
    finish(e.Request);
  }
  void operator()(const relay::AbortStream &e) const {
    http::abort(*E.Callers, e.Request);
    finish(e.Request);
  }
  void operator()(const relay::Refuse &e) const {
    http::respond(*E.Callers, e.Request, adapter::refusalResponse(e));
    finish(e.Request);
  }
  void operator()(const relay::ClaimTokens &e) const { claimTokens(E, e); }
  void operator()(const relay::ClaimSend &e) const { claimSend(E, e.Claim); }
  void operator()(const relay::Gossip &e) const { spread(E, e.Message); }
  void operator()(const relay::RunStarted &e) const {
    duty::countRequest(E.Usage, selfKey(E), e.Workspace,
                       duty::filteredTime(E.Clock, net::readNow()));
  }
  void operator()(const relay::IncrementCounter &e) const { count(E.Counters, e.Metric, e.Reason); }
  void operator()(const relay::LogRecord &e) const {
    LogValues values;
    if (!e.AttemptId.empty())
      values.emplace_back("request", e.AttemptId);
    values.insert(values.end(), e.Values.begin(), e.Values.end());
    logLine(E, "relay", e.Event, values);
  }

private:
  void finish(relay::RequestId id) const {
    if (const auto it = E.Requests.find(id); it != E.Requests.end()) {
      observe(E.Counters.Request, net::readNow().Steady - it->second.Started);
      E.Requests.erase(it);
    }
  }
};

} // namespace

void carryOut(Edge &edge, const relay::Effects &effects) {
  for (const relay::Effect &it : effects)
    std::visit(Outward{edge}, it);
}

void handle(Edge &edge, std::function<void(relay::Effects &, const Now &)> work) {
  edge.Pending.push_back([&edge, work = std::move(work)] {
    relay::Effects out;
    const std::uint64_t collected = edge.Relay.CollectedBytes;
    work(out, net::readNow());
    limits::adjust(edge.Memory, limits::MemoryUse::BackendAnswers, collected,
                   edge.Relay.CollectedBytes);
    carryOut(edge, out);
  });
  if (edge.Working)
    return;
  edge.Working = true;
  while (!edge.Pending.empty()) {
    const std::function<void()> next = std::move(edge.Pending.front());
    edge.Pending.pop_front();
    next();
  }
  edge.Working = false;
}

void logLine(Edge &edge, const char *part, const char *event, const LogValues &values) {
  write(edge.Log, net::readNow(), part, event, values);
}

} // namespace chervil::daemon::detail
