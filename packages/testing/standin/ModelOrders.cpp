#include "testing/standin/ModelServer.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace chervil::standin {
namespace {

using namespace std::chrono_literals;

const char *stateName(OrderState state) {
  switch (state) {
  case OrderState::Running:
    return "running";
  case OrderState::Done:
    return "done";
  case OrderState::Failed:
    return "failed";
  }
  return "failed";
}

void endLoad(ModelServer &server, const std::string &orderId, bool ok) {
  EngineOrder &order = server.Orders.Orders.at(orderId);
  server.Loading.erase(order.Subject);
  order.State = ok ? OrderState::Done : OrderState::Failed;
  LOG(INFO) << "model: order " << orderId << (ok ? " done" : " failed");
  if (!ok)
    return;
  server.Models.push_back(order.Subject);
  if (server.Models.size() > server.Options.MaxModels)
    server.Models.erase(server.Models.begin());
}

/// Fetches the weights; waits and repeats when the store is busy or down.
void fetchWeights(ModelServer &server, const std::string &orderId, const std::string &model) {
  static constexpr Duration retryInterval = 1s;
  net::startCall(
      *server.Client, {.Url = server.Options.Register.Platform + "/v1/weights/" + model},
      {.OnHead = {}, .OnData = {}, .OnEnd = [&server, orderId, model](const net::HttpEnd &end) {
         if (end.Failure == net::HttpFailure::None && end.Status == 200)
           return endLoad(server, orderId, true);
         net::after(server.Timers, retryInterval,
                    [&server, orderId, model] { fetchWeights(server, orderId, model); });
       }});
}

void startLoad(ModelServer &server, const std::string &orderId, const std::string &model) {
  if (std::ranges::find(server.Models, model) != server.Models.end()) {
    server.Orders.Orders.at(orderId).State = OrderState::Done;
    return;
  }
  server.Loading.insert(model);
  if (!server.Options.Register.Platform.empty())
    return fetchWeights(server, orderId, model);
  net::after(server.Timers, server.Options.LoadTime,
             [&server, orderId] { endLoad(server, orderId, true); });
}

/// Starts the work of a new order.
void obey(ModelServer &server, EngineOrder &order) {
  if (order.Kind == "load_model" && !order.Subject.empty())
    return startLoad(server, order.Id, order.Subject);
  order.State = OrderState::Done;
  if (order.Kind == "load_adapter")
    server.Adapters.insert(order.Subject);
  else if (order.Kind == "set_role")
    server.Role = order.Subject;
  else
    order.State = OrderState::Failed;
}

const char *subjectMember(const std::string &kind) {
  return kind == "load_adapter" ? "adapter" : kind == "set_role" ? "role" : "model";
}

} // namespace

void detail::serveOrders(ModelServer &server, const net::HttpRequest &request) {
  constexpr std::string_view orderPath = "/v1/orders/";
  const auto answerState = [&](const EngineOrder &order) {
    answer(server, request.Id, 200, {{"order_id", order.Id}, {"state", stateName(order.State)}});
  };
  if (request.Method == "GET" && request.Path.starts_with(orderPath)) {
    const auto it = server.Orders.Orders.find(request.Path.substr(orderPath.size()));
    if (it == server.Orders.Orders.end())
      return answer(server, request.Id, 404, {{"error", "order_id"}});
    return answerState(it->second);
  }
  const auto body = parseObject(request.Body);
  const std::string id = body ? member(*body, "order_id", std::string()) : "";
  if (request.Method != "POST" || id.empty())
    return answer(server, request.Id, 400, {{"error", "order_id"}});
  const std::string kind = member(*body, "kind", std::string());
  EngineOrder order{id, member<std::uint64_t>(*body, "fencing", 0), kind,
                    member(*body, subjectMember(kind), std::string()), OrderState::Running};
  switch (receiveOrder(server.Orders, std::move(order), server.Options.CheckFencing)) {
  case OrderReply::OldFencing:
    return answer(server, request.Id, 409,
                  {{"error", "fencing"}, {"fencing", server.Orders.HighestFencing}});
  case OrderReply::New:
    obey(server, server.Orders.Orders.at(id));
    break;
  case OrderReply::Known:
    break;
  }
  answerState(server.Orders.Orders.at(id));
}

void detail::serveKvTransfer(ModelServer &server, const net::HttpRequest &request) {
  const auto bytes = [&](const KvExport &it) {
    return static_cast<double>(it.PromptTokens + it.Tokens) * server.Options.KvBytesPerToken;
  };
  const std::string self = server.Options.Register.It.Address + "/";
  if (request.Path == "/v1/kv/export" && request.Method == "POST") {
    const auto body = parseObject(request.Body);
    const std::string requestId = body ? member(*body, "request_id", std::string()) : "";
    KvExport state;
    if (const auto it = server.ByRequestId.find(requestId); it != server.ByRequestId.end()) {
      const EngineRequest &running = server.Requests.at(it->second);
      if (running.Running)
        state = {requestId, running.Answer.PromptTokens, running.Produced};
    } else if (const auto ended = server.Ended.find(requestId); ended != server.Ended.end()) {
      state = ended->second.State;
    }
    if (state.RequestId.empty())
      return answer(server, request.Id, 404, {{"error", "request_id"}});
    const std::string id = "kv-" + std::to_string(server.Exports.size() + 1);
    server.Exports[id] = state;
    return answer(server, request.Id, 200,
                  {{"handle", self + id}, {"bytes", static_cast<std::uint64_t>(bytes(state))}});
  }
  const std::string id = request.Path.substr(request.Path.rfind('/') + 1);
  const auto it = server.Exports.find(id);
  if (!request.Path.starts_with("/v1/kv/blob/") || it == server.Exports.end())
    return answer(server, request.Id, 404, {{"error", "handle"}});
  const Json blob = {{"handle", self + id},
                     {"request_id", it->second.RequestId},
                     {"prompt_tokens", it->second.PromptTokens},
                     {"tokens", it->second.Tokens},
                     {"bytes", static_cast<std::uint64_t>(bytes(it->second))}};
  const std::chrono::duration<double> length(bytes(it->second) / server.Options.KvRate);
  net::after(server.Timers, std::chrono::duration_cast<Duration>(length),
             [&server, httpId = request.Id, blob] { answer(server, httpId, 200, blob); });
}

} // namespace chervil::standin
