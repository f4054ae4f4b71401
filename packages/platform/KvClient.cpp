#include "platform/KvClient.h"

#include "platform/detail/Client.h"

#include <stdexcept>

namespace chervil::platform {
namespace {

using detail::Json;
using detail::RawResult;

KvItem itemOf(const Json &json) {
  return {json.at("key").get<std::string>(), json.at("value").get<std::string>(),
          json.at("revision").get<std::uint64_t>()};
}

KvList listOf(const Json &json) {
  KvList out{.Revision = json.at("revision").get<std::uint64_t>(), .Items = {}};
  for (const Json &it : json.at("items"))
    out.Items.push_back(itemOf(it));
  return out;
}

KvChanges changesOf(const Json &json) {
  KvChanges out{.Revision = json.at("revision").get<std::uint64_t>(), .Events = {}};
  for (const Json &it : json.at("events")) {
    KvEvent event{.Key = it.at("key").get<std::string>(),
                  .Value = std::nullopt,
                  .Revision = it.at("revision").get<std::uint64_t>()};
    if (!it.at("value").is_null())
      event.Value = it.at("value").get<std::string>();
    out.Events.push_back(std::move(event));
  }
  return out;
}

std::string keyUrl(const PlatformClient &client, const std::string &key) {
  return client.Options.KvUrl + "/v1/kv/" + detail::encodePath(key);
}

std::uint64_t revisionOf(const Json &json) { return json.at("revision").get<std::uint64_t>(); }

/// Keeps the current revision that comes with a conflict.
CallResult<std::uint64_t> writeResult(RawResult &&raw) {
  std::uint64_t current = 0;
  if (raw.Outcome == CallOutcome::Conflict && raw.Value.is_object()) {
    const auto it = raw.Value.find("revision");
    if (it != raw.Value.end() && it->is_number_unsigned())
      current = it->get<std::uint64_t>();
  }
  auto out = detail::convert<std::uint64_t>(std::move(raw), revisionOf);
  if (out.Outcome == CallOutcome::Conflict)
    out.Value = current;
  return out;
}

std::string leaseUrl(const PlatformClient &client, const std::string &id) {
  return client.Options.KvUrl + "/v1/leases/" + detail::encodeQuery(id);
}

/// For calls whose body does not matter.
std::function<void(RawResult &&)> whetherDone(OnResult<bool> callback) {
  return [callback = std::move(callback)](RawResult &&raw) {
    callback(detail::convert<bool>(std::move(raw), [](const Json &) { return true; }));
  };
}

} // namespace

void kvGet(PlatformClient &client, const std::string &key, OnResult<KvItem> callback) {
  detail::start(client, {.Kind = CallKind::KvGet, .Url = keyUrl(client, key)},
                [callback = std::move(callback)](RawResult &&raw) {
                  callback(detail::convert<KvItem>(std::move(raw), itemOf));
                });
}

void kvList(PlatformClient &client, const std::string &prefix, OnResult<KvList> callback) {
  detail::start(client,
                {.Kind = CallKind::KvList,
                 .Url = client.Options.KvUrl + "/v1/kv?prefix=" + detail::encodeQuery(prefix)},
                [callback = std::move(callback)](RawResult &&raw) {
                  callback(detail::convert<KvList>(std::move(raw), listOf));
                });
}

void kvPut(PlatformClient &client, const std::string &key, std::string value,
           std::uint64_t ifRevision, const std::optional<std::string> &lease,
           OnResult<std::uint64_t> callback) {
  std::string url = keyUrl(client, key) + "?if_revision=" + std::to_string(ifRevision);
  if (lease)
    url += "&lease=" + detail::encodeQuery(*lease);
  detail::start(
      client,
      {.Kind = CallKind::KvPut, .Method = "PUT", .Url = std::move(url), .Body = std::move(value)},
      [callback = std::move(callback)](RawResult &&raw) { callback(writeResult(std::move(raw))); });
}

void kvDelete(PlatformClient &client, const std::string &key, std::uint64_t ifRevision,
              OnResult<std::uint64_t> callback) {
  detail::start(
      client,
      {.Kind = CallKind::KvDelete,
       .Method = "DELETE",
       .Url = keyUrl(client, key) + "?if_revision=" + std::to_string(ifRevision)},
      [callback = std::move(callback)](RawResult &&raw) { callback(writeResult(std::move(raw))); });
}

LongPollPtr watchKv(PlatformClient &client, const std::string &prefix, std::uint64_t revision,
                    std::function<void(const KvChanges &changes)> onChanges, OnPollError onError) {
  auto position = std::make_shared<std::uint64_t>(revision);
  const std::string base = client.Options.KvUrl + "/v1/watch?prefix=" + detail::encodeQuery(prefix);
  return detail::startPoll(
      client, {.Kind = CallKind::KvWatch,
               .Url = [base, position] { return base + "&after=" + std::to_string(*position); },
               .Take =
                   [position, onChanges = std::move(onChanges)](const Json &json) {
                     const KvChanges changes = changesOf(json);
                     if (changes.Revision < *position)
                       throw std::runtime_error("revision went back");
                     *position = changes.Revision;
                     if (!changes.Events.empty())
                       onChanges(changes);
                     return !changes.Events.empty();
                   },
               .OnError = std::move(onError)});
}

void createLease(PlatformClient &client, std::chrono::milliseconds ttl,
                 OnResult<KvLease> callback) {
  detail::start(client,
                {.Kind = CallKind::LeaseCreate,
                 .Method = "POST",
                 .Url = client.Options.KvUrl + "/v1/leases?ttl_ms=" + std::to_string(ttl.count())},
                [callback = std::move(callback)](RawResult &&raw) {
                  callback(detail::convert<KvLease>(std::move(raw), [](const Json &json) {
                    return KvLease{
                        json.at("id").get<std::string>(),
                        std::chrono::milliseconds(json.at("ttl_ms").get<std::int64_t>())};
                  }));
                });
}

void keepLeaseAlive(PlatformClient &client, const std::string &id, OnResult<bool> callback) {
  detail::start(client,
                {.Kind = CallKind::LeaseKeepAlive,
                 .Method = "POST",
                 .Url = leaseUrl(client, id) + "/keepalive"},
                whetherDone(std::move(callback)));
}

void deleteLease(PlatformClient &client, const std::string &id, OnResult<bool> callback) {
  detail::start(client,
                {.Kind = CallKind::LeaseDelete, .Method = "DELETE", .Url = leaseUrl(client, id)},
                whetherDone(std::move(callback)));
}

} // namespace chervil::platform
