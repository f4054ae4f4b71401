#include "platform/EngineClient.h"

#include "platform/detail/Client.h"

#include <array>
#include <charconv>

namespace chervil::platform {
namespace {

using detail::Json;
using detail::RawResult;

std::string dump(const Json &json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::function<void(RawResult &&)> whetherDone(OnResult<bool> callback) {
  return [callback = std::move(callback)](RawResult &&raw) {
    callback(detail::convert<bool>(std::move(raw), [](const Json &) { return true; }));
  };
}

std::string_view trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

std::optional<EngineLoad> parseEngineLoad(std::string_view header) {
  constexpr std::array<std::string_view, 4> names = {"running", "queued", "slots", "age_ms"};
  std::array<std::optional<std::uint32_t>, 4> values;
  while (!header.empty()) {
    const std::size_t end = std::min(header.find(';'), header.size());
    const std::string_view part = trim(header.substr(0, end));
    header.remove_prefix(std::min(end + 1, header.size()));
    const std::size_t equals = part.find('=');
    for (std::size_t i = 0; i < names.size(); ++i) {
      if (equals == std::string_view::npos || part.substr(0, equals) != names[i])
        continue;
      const std::string_view digits = part.substr(equals + 1);
      std::uint32_t n = 0;
      const auto [stop, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), n);
      if (values[i] || ec != std::errc() || stop != digits.data() + digits.size())
        return std::nullopt;
      values[i] = n;
    }
  }
  for (const auto &it : values)
    if (!it)
      return std::nullopt;
  return EngineLoad{*values[0], *values[1], *values[2], std::chrono::milliseconds(*values[3])};
}

void sendOrder(PlatformClient &client, const std::string &engine, const EngineOrder &order,
               OnResult<bool> callback) {
  Json body = Json::object();
  for (const auto &[name, value] : order.Fields)
    body[name] = value;
  body["order_id"] = order.OrderId;
  body["fencing"] = order.Fencing;
  body["kind"] = order.Kind;
  detail::start(client,
                {.Kind = CallKind::EngineOrder,
                 .Method = "POST",
                 .Url = "http://" + engine + "/v1/orders",
                 .Body = dump(body)},
                whetherDone(std::move(callback)));
}

void cancelRequest(PlatformClient &client, const std::string &engine, const std::string &id,
                   OnResult<bool> callback) {
  detail::start(client,
                {.Kind = CallKind::EngineCancel,
                 .Method = "DELETE",
                 .Url = "http://" + engine + "/v1/requests/" + detail::encodeQuery(id)},
                whetherDone(std::move(callback)));
}

void exportKv(PlatformClient &client, const std::string &engine, const std::string &requestId,
              OnResult<KvExport> callback) {
  detail::start(client,
                {.Kind = CallKind::EngineExport,
                 .Method = "POST",
                 .Url = "http://" + engine + "/v1/kv/export",
                 .Body = dump({{"request_id", requestId}})},
                [callback = std::move(callback)](RawResult &&raw) {
                  callback(detail::convert<KvExport>(std::move(raw), [](const Json &json) {
                    return KvExport{json.at("handle").get<std::string>(),
                                    json.at("bytes").get<std::uint64_t>()};
                  }));
                });
}

} // namespace chervil::platform
