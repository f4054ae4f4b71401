// Calls to the platform, and the era of its store.
#include "daemon/edge/EdgeDetail.h"

#include "platform/StoreCalls.h"

#include <memory>
#include <utility>

namespace chervil::daemon::detail {

std::uint64_t callPlatform(Edge &edge, http::Call what, OnAnswer onAnswer) {
  auto answer = std::make_shared<PlatformAnswer>();
  http::CallEvents events;
  events.OnHead = [answer](const http::ResponseHead &head) {
    answer->Status = head.Status;
    answer->Era = adapter::readEra(head);
  };
  events.OnData = [answer](std::string_view bytes) { answer->Body.append(bytes); };
  events.OnEnd = [&edge, answer, onAnswer = std::move(onAnswer)](const http::End &end) {
    answer->Failure = end.Failure;
    if (end.Failure != http::Failure::None)
      answer->Status = 0;
    else
      noteEra(edge, answer->Era, "answer");
    onAnswer(*answer);
  };
  return http::startCall(*edge.Platform, std::move(what), std::move(events));
}

void noteEra(Edge &edge, std::uint64_t era, const char *source) {
  if (era <= edge.StoreEra)
    return;
  logLine(edge, "store", "era",
          {{"era", std::to_string(era)},
           {"before", std::to_string(edge.StoreEra)},
           {"source", source},
           {"list_revision", std::to_string(edge.ListPosition.Revision)},
           {"configuration_revision", std::to_string(edge.OperatorItems.Revision)},
           {"duty_revision", std::to_string(edge.OwnItems.Revision)},
           {"token", std::to_string(edge.Lease.FencingToken)}});
  count(edge.Counters, "store_era", source);
  edge.StoreEra = era;
  onStoreRestored(edge);
}

} // namespace chervil::daemon::detail
