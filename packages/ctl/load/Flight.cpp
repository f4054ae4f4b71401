#include "ctl/load/Flight.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace chervil::load {
namespace {

using Json = nlohmann::json;

constexpr int FirstErrorStatus = 400;
constexpr int FirstServerError = 500;
constexpr int StatusTooMany = 429;

/// Content of a chunk or of a whole answer; nothing if the JSON has no such member.
const std::string *contentOf(const Json &json, const char *part) {
  const auto choices = json.find("choices");
  if (choices == json.end() || !choices->is_array() || choices->empty() ||
      !choices->front().is_object())
    return nullptr;
  const auto it = choices->front().find(part);
  if (it == choices->front().end() || !it->is_object())
    return nullptr;
  const auto content = it->find("content");
  return content == it->end() ? nullptr : content->get_ptr<const std::string *>();
}

void takeMoved(Flight &flight, const std::string &data) {
  flight.End.Moved = true;
  const Json json = Json::parse(data, nullptr, false);
  if (!json.is_object() || !json.contains("addresses") || !json.at("addresses").is_array())
    return;
  for (const Json &it : json.at("addresses"))
    if (it.is_string())
      flight.MovedTo.push_back(it.get<std::string>());
}

/// True for an event that holds a token.
bool takeEvent(Flight &flight, const SseEvent &event) {
  if (event.Name == "moved") {
    takeMoved(flight, event.Data);
    return false;
  }
  if (event.Name == "error") {
    flight.End.Refused = parseRefusal(event.Data).value_or(Refusal{.Name = "malformed_error"});
    return false;
  }
  if (event.Data == "[DONE]") {
    flight.End.Whole = true;
    return false;
  }
  if (!event.Id.empty())
    flight.Offset = event.Id;
  const Json json = Json::parse(event.Data, nullptr, false);
  const std::string *content = json.is_object() ? contentOf(json, "delta") : nullptr;
  if (content == nullptr || content->empty())
    return false;
  flight.Text += *content;
  flight.End.GotBytes = true;
  return true;
}

} // namespace

void beginCall(Flight &flight, bool fetch, bool fromBeginning, std::string address) {
  if (fromBeginning) {
    flight.Text.clear();
    flight.Offset = "0";
  }
  flight.Address = std::move(address);
  flight.End = {.Fetch = fetch};
  flight.IsStream = false;
  flight.Events = {};
  flight.Body.clear();
  flight.MovedTo.clear();
}

void takeHead(Flight &flight, int status,
              const std::vector<std::pair<std::string, std::string>> &headers) {
  flight.End.Status = status;
  for (const auto &[name, value] : headers) {
    if (name == "content-type")
      flight.IsStream = value.starts_with("text/event-stream");
    if (name == "retry-after")
      flight.End.RetryAfter =
          std::chrono::milliseconds(std::max(0L, std::strtol(value.c_str(), nullptr, 10)) * 1000);
  }
}

std::size_t takeBytes(Flight &flight, std::string_view bytes) {
  if (!flight.IsStream) {
    flight.Body += bytes;
    return 0;
  }
  std::size_t tokens = 0;
  for (const SseEvent &it : feed(flight.Events, bytes))
    tokens += takeEvent(flight, it) ? 1 : 0;
  return tokens;
}

void takeEnd(Flight &flight, net::HttpFailure failure, bool direct) {
  CallEnd &end = flight.End;
  end.Failure = failure;
  if (end.Whole || end.Refused || end.Moved) {
    // The answer is complete in itself; how the connection ended does not matter.
    end.Failure = net::HttpFailure::None;
    return;
  }
  if (failure != net::HttpFailure::None || flight.IsStream)
    return;
  if (end.Status < FirstErrorStatus) {
    end.Whole = true;
    return;
  }
  end.Refused = parseRefusal(flight.Body);
  if (!end.Refused)
    end.Refused = Refusal{.Code = end.Status,
                          .Name = "http_" + std::to_string(end.Status),
                          .Result = direct ? Outcome::NotRun : Outcome::Unknown,
                          .Retry = end.Status >= FirstServerError || end.Status == StatusTooMany};
}

LoadOutcome checkAnswer(const Flight &flight, bool service) {
  std::string text = flight.Text;
  if (!flight.IsStream) {
    const Json json = Json::parse(flight.Body, nullptr, false);
    if (!json.is_object())
      return LoadOutcome::Wrong;
    if (service) {
      const auto id = json.find("id");
      return id != json.end() && *id == flight.Request.Id ? LoadOutcome::Ok : LoadOutcome::Wrong;
    }
    const std::string *content = contentOf(json, "message");
    if (content == nullptr)
      return LoadOutcome::Wrong;
    text = *content;
  }
  switch (testing::checkAnswer(flight.Request.Answer, text)) {
  case testing::AnswerCheck::Whole:
    return LoadOutcome::Ok;
  case testing::AnswerCheck::Partial:
    return LoadOutcome::Partial;
  case testing::AnswerCheck::Wrong:
    return LoadOutcome::Wrong;
  }
  return LoadOutcome::Wrong;
}

} // namespace chervil::load
