#include "platform/CloudClient.h"

#include "platform/detail/Client.h"

#include <array>
#include <cmath>
#include <stdexcept>
#include <string_view>

namespace chervil::platform {
namespace {

using detail::Json;
using detail::RawResult;

constexpr std::array<std::string_view, 3> RoleNames = {"node", "model", "service"};
constexpr std::array<std::string_view, 3> StateNames = {"live", "leaving", "gone"};

template <typename E> E enumOf(const Json &json, const std::array<std::string_view, 3> &names) {
  const auto &text = json.get_ref<const std::string &>();
  for (std::size_t i = 0; i < names.size(); ++i)
    if (text == names[i])
      return static_cast<E>(i);
  throw std::runtime_error("unknown value " + text);
}

/// Null, absent or 0: the epoch.
WallTime timeOf(const Json &json, const char *key) {
  constexpr std::int64_t max = std::int64_t{1} << 50;
  const auto it = json.find(key);
  if (it == json.end() || it->is_null())
    return {};
  const auto ms = it->get<std::int64_t>();
  if (ms < 0 || ms > max)
    throw std::runtime_error("time out of range");
  return WallTime(std::chrono::milliseconds(ms));
}

double priceOf(const Json &json) {
  const auto price = json.at("price_per_hour").get<double>();
  if (!std::isfinite(price) || price < 0)
    throw std::runtime_error("price out of range");
  return price;
}

Vm vmOf(const Json &json) {
  const auto text = [&](const char *key) { return json.at(key).get<std::string>(); };
  return {.Id = text("id"),
          .Address = text("address"),
          .Role = enumOf<VmRole>(json.at("role"), RoleNames),
          .Targets = json.at("target").get<std::vector<std::string>>(),
          .Region = text("region"),
          .DataCentre = text("data_centre"),
          .Zone = text("zone"),
          .Class = text("class"),
          .Reclaimable = json.at("reclaimable").get<bool>(),
          .PricePerHour = priceOf(json),
          .Slots = json.at("slots").get<std::uint32_t>(),
          .ChecksFencing = json.at("checks_fencing").get<bool>(),
          .State = enumOf<VmState>(json.at("state"), StateNames),
          .LeaveBy = timeOf(json, "leave_by_ms")};
}

VmChanges vmsOf(const Json &json) {
  VmChanges out{.Revision = json.at("revision").get<std::uint64_t>(), .Vms = {}};
  for (const Json &it : json.at("vms")) {
    // One bad entry must not hide the others, among them VMs that are leaving.
    try {
      out.Vms.push_back(vmOf(it));
    } catch (const std::exception &) {
      ++out.Malformed;
    }
  }
  return out;
}

ReclaimNotice noticeOf(const Json &json) {
  return {json.at("seq").get<std::uint64_t>(), json.at("vm").get<std::string>(),
          timeOf(json, "leave_by_ms")};
}

std::vector<VmPrice> pricesOf(const Json &json) {
  std::vector<VmPrice> out;
  for (const Json &it : json.at("prices"))
    out.push_back({it.at("zone").get<std::string>(), it.at("class").get<std::string>(),
                   it.at("reclaimable").get<bool>(), priceOf(it)});
  return out;
}

WeightStoreState weightsOf(const Json &json) {
  WeightStoreState out{.Weights = {},
                       .BytesPerSecond = json.at("bytes_per_second").get<std::uint64_t>()};
  for (const Json &it : json.at("weights"))
    out.Weights.push_back({it.at("name").get<std::string>(), it.at("version").get<std::string>(),
                           it.at("bytes").get<std::uint64_t>()});
  return out;
}

/// Moves a position forward; an older one means that the service has lost its state.
void advance(std::uint64_t &position, std::uint64_t to) {
  if (to < position)
    throw std::runtime_error("position went back");
  position = to;
}

} // namespace

LongPollPtr pollVms(PlatformClient &client, std::uint64_t revision,
                    std::function<void(const VmChanges &changes)> onChanges, OnPollError onError) {
  auto position = std::make_shared<std::uint64_t>(revision);
  const std::string base = client.Options.VmsUrl + "/v1/vms?after=";
  return detail::startPoll(client,
                           {.Kind = CallKind::VmList,
                            .Url = [base, position] { return base + std::to_string(*position); },
                            .Take =
                                [position, onChanges = std::move(onChanges)](const Json &json) {
                                  const VmChanges changes = vmsOf(json);
                                  advance(*position, changes.Revision);
                                  const bool news = !changes.Vms.empty() || changes.Malformed > 0;
                                  if (news)
                                    onChanges(changes);
                                  return news;
                                },
                            .OnError = std::move(onError)});
}

LongPollPtr pollNotices(PlatformClient &client, std::uint64_t seq,
                        std::function<void(const std::vector<ReclaimNotice> &notices)> onNotices,
                        OnPollError onError) {
  auto position = std::make_shared<std::uint64_t>(seq);
  const std::string base = client.Options.CloudUrl + "/v1/notices?after=";
  return detail::startPoll(client,
                           {.Kind = CallKind::Notices,
                            .Url = [base, position] { return base + std::to_string(*position); },
                            .Take =
                                [position, onNotices = std::move(onNotices)](const Json &json) {
                                  std::vector<ReclaimNotice> notices;
                                  for (const Json &it : json.at("notices"))
                                    notices.push_back(noticeOf(it));
                                  advance(*position, json.at("seq").get<std::uint64_t>());
                                  if (!notices.empty())
                                    onNotices(notices);
                                  return !notices.empty();
                                },
                            .OnError = std::move(onError)});
}

void requestVm(PlatformClient &client, const VmRequest &request, OnResult<std::string> callback) {
  const Json body = {{"request_id", request.RequestId},
                     {"zone", request.Zone},
                     {"class", request.Class},
                     {"role", RoleNames[static_cast<std::size_t>(request.Role)]},
                     {"target", request.Target},
                     {"reclaimable", request.Reclaimable}};
  detail::start(client,
                {.Kind = CallKind::VmRequest,
                 .Method = "POST",
                 .Url = client.Options.CloudUrl + "/v1/vms",
                 .Body = body.dump(-1, ' ', false, Json::error_handler_t::replace),
                 .UnavailableIsUnknown = false},
                [callback = std::move(callback)](RawResult &&raw) {
                  callback(detail::convert<std::string>(std::move(raw), [](const Json &json) {
                    return json.at("id").get<std::string>();
                  }));
                });
}

void releaseVm(PlatformClient &client, const std::string &id, OnResult<bool> callback) {
  detail::start(client,
                {.Kind = CallKind::VmRelease,
                 .Method = "DELETE",
                 .Url = client.Options.CloudUrl + "/v1/vms/" + detail::encodeQuery(id)},
                [callback = std::move(callback)](RawResult &&raw) {
                  callback(
                      detail::convert<bool>(std::move(raw), [](const Json &) { return true; }));
                });
}

void getPrices(PlatformClient &client, OnResult<std::vector<VmPrice>> callback) {
  detail::start(client, {.Kind = CallKind::Prices, .Url = client.Options.CloudUrl + "/v1/prices"},
                [callback = std::move(callback)](RawResult &&raw) {
                  callback(detail::convert<std::vector<VmPrice>>(std::move(raw), pricesOf));
                });
}

void getWeights(PlatformClient &client, OnResult<WeightStoreState> callback) {
  detail::start(client,
                {.Kind = CallKind::Weights, .Url = client.Options.WeightsUrl + "/v1/weights"},
                [callback = std::move(callback)](RawResult &&raw) {
                  callback(detail::convert<WeightStoreState>(std::move(raw), weightsOf));
                });
}

} // namespace chervil::platform
