// A node state behind the operators' interface and the platform stand-in, for tests.
#ifndef CHERVIL_DAEMON_ADMINFIXTURE_H
#define CHERVIL_DAEMON_ADMINFIXTURE_H

#include "config/Head.h"
#include "config/Store.h"
#include "contract/VersionedContract.h"
#include "daemon/AdminApi.h"
#include "node/Node.h"
#include "testing/standin/HttpFixture.h"
#include "testing/standin/PlatformServer.h"

#include <boost/test/unit_test.hpp>

namespace chervil::daemon {

inline nlohmann::json sampleContract(double rate = 40) {
  return {
      {"customer", "acme"},
      {"keys", {"plain-token-for-test"}},
      {"limits", {{"requests_per_second", rate}, {"tokens_per_second", 20000}, {"streams", 200}}},
      {"cost_per_hour", 120},
      {"priority", 2},
      {"models", {{{"name", "redactor"}, {"default_max_tokens", 512}}}},
      {"services", {{{"name", "bookings"}, {"backends", "despacho"}}}}};
}

struct AdminFixture : standin::HttpFixture {
  std::unique_ptr<standin::PlatformServer> Kv;
  net::HttpServerPtr Server;
  Random Rng{1};
  node::State State;
  std::vector<node::Event> Delivered;
  std::vector<std::chrono::milliseconds> Drains;
  std::vector<ResultCode> Refused;
  AdminApi Api;
  /// Destroyed before Api.
  std::unique_ptr<net::TimerService> ApiTimers;
  platform::PlatformClientPtr Platform;
  net::NamedValues Token = {{"Authorization", "Bearer admin-token"}};

  AdminFixture() {
    Kv = std::move(*standin::startPlatform(EventLoop, {}));
    ApiTimers = std::make_unique<net::TimerService>(EventLoop);
    Platform = platform::makePlatformClient(
        EventLoop, *ApiTimers,
        {.KvUrl = "http://127.0.0.1:" + std::to_string(port(*Kv->Http)),
         .RequestTimeout = std::chrono::milliseconds(300)});
    message::MemberUpdate self;
    self.Id = {"n1", 1000};
    self.DataCentre = "pamplona";
    self.CallerAddress = "127.0.0.1:8001";
    State = node::makeState(self, {}, {}, net::readNow());
    Server =
        std::move(*net::startHttpServer(EventLoop, {.MaxBody = 1 << 16},
                                        {[this](net::HttpRequest &&r) { onRequest(Api, r); }, {}}));
    Url = "http://127.0.0.1:" + std::to_string(port(*Server));
    Api.Node = &State;
    Api.Platform = Platform.get();
    Api.Server = Server.get();
    Api.Timers = ApiTimers.get();
    Api.Rng = &Rng;
    Api.Token = "admin-token";
    Api.Metrics = [] { return std::string("chervil_up 1\n"); };
    Api.Deliver = [this](node::Event e) { Delivered.push_back(std::move(e)); };
    Api.Leave = [this](std::chrono::milliseconds within) { Drains.push_back(within); };
    Api.CountRefusal = [this](ResultCode code) { Refused.push_back(code); };
  }

  /// Calls with the token; the path is below /admin/v1/.
  standin::Answer admin(const std::string &method, const std::string &path,
                        const nlohmann::json &body = {}) {
    return call(method, "/admin/v1/" + path, body.is_null() ? std::string() : body.dump(), Token);
  }

  standin::Answer put(const std::string &change, std::uint64_t base,
                      const nlohmann::json &contract) {
    return admin(
        "PUT", "contracts/acme",
        {{"change_id", change}, {"author", "ana"}, {"base_version", base}, {"contract", contract}});
  }

  /// The contract document in the key-value service.
  VersionedContract stored() const {
    return *parseVersionedContract(Kv->Kv.Items.at(config::contractKey("acme")).Value);
  }

  std::uint64_t accepted() const {
    return config::acceptedVersion(*config::parseHead(Kv->Kv.Items.at(config::HeadKey).Value),
                                   "acme");
  }

  /// Gives the node the contract, as a watch does.
  void learnContract() {
    const auto document =
        succeed(nullptr, {0, "c0", "ana", WallTime{}}, *parseContract(sampleContract().dump()));
    node::handleEvent(State, node::Document{config::contractKey("acme"), 1, serialise(document)},
                      net::readNow(), Rng);
  }

  void learnBackends() {
    node::BackendList list;
    for (const char *name : {"e1", "e2", "e3"}) {
      routing::Backend backend;
      backend.Name = name;
      backend.Address = "127.0.0.1:9000";
      backend.Targets = {"redactor"};
      backend.Zone = "p1";
      backend.DataCentre = "pamplona";
      backend.MachineClass = "gpu-l";
      list.Backends.push_back(backend);
    }
    list.Backends[1].State = routing::BackendState::Leaving;
    node::handleEvent(State, list, net::readNow(), Rng);
  }
};

inline std::string errorName(const standin::Answer &answer) {
  return answer.Body.is_object() && answer.Body.contains("error")
             ? answer.Body["error"]["name"].get<std::string>()
             : "(no error) " + answer.Text;
}

} // namespace chervil::daemon

#endif
