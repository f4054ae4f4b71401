#include "ctl/load/Workload.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>

using namespace chervil::load;
using Json = nlohmann::json;

namespace {

std::string readExample(const std::string &path) {
  std::ifstream in(std::string(CHERVIL_EXAMPLES) + "/" + path);
  return {std::istreambuf_iterator<char>(in), {}};
}

struct Deployment {
  const char *Name;
  std::size_t Engines;
  std::size_t Services;
  double LatencyMs;
};

/// Figures of docs/design.md, section 1.2.
constexpr Deployment Deployments[] = {{"norte", 12, 4, 1.5}, {"sul", 18, 4, 0.5}};

} // namespace

BOOST_AUTO_TEST_SUITE(Examples)

// Guards against examples that differ from the deployments of the design page, name an engine that
// does not exist, or use a port twice.
BOOST_AUTO_TEST_CASE(ExamplesMatchTheDeployments) {
  for (const Deployment &it : Deployments) {
    const std::string name = it.Name;
    const auto workload = parseWorkload(readExample(name + "/workload.json"));
    BOOST_REQUIRE_MESSAGE(workload, name);
    BOOST_TEST(workload->Customers.size() == 5U);
    const Json topology = Json::parse(readExample(name + "/topology.json"));
    BOOST_TEST(topology.at("data_centres").size() == 4U);
    BOOST_TEST(topology.at("latency_ms").at("between_data_centres") == it.LatencyMs);
    BOOST_TEST(topology.at("nodes").size() >= 7U);
    BOOST_TEST(topology.at("nodes").size() <= 9U);
    BOOST_TEST(topology.at("services").size() == it.Services);
    std::set<std::string> targets;
    std::set<int> ports;
    std::size_t present = 0;
    for (const Json &engine : topology.at("engines")) {
      present += engine.at("waiting").get<bool>() ? 0 : 1;
      targets.insert(engine.at("model").get<std::string>());
      BOOST_TEST(ports.insert(engine.at("port").get<int>()).second);
      BOOST_TEST(topology.at("classes").contains(engine.at("class").get<std::string>()));
    }
    BOOST_TEST(present == it.Engines);
    for (const Json &service : topology.at("services")) {
      targets.insert(service.at("name").get<std::string>());
      BOOST_TEST(ports.insert(service.at("port").get<int>()).second);
    }
    for (const Json &node : topology.at("nodes"))
      for (const char *port : {"caller_port", "peer_port", "admin_port"})
        BOOST_TEST(ports.insert(node.at(port).get<int>()).second);
    for (const WorkKind &kind : workload->Kinds)
      BOOST_TEST(targets.contains(kind.Service ? kind.ServiceName : kind.Model));
  }
}

BOOST_AUTO_TEST_SUITE_END()
