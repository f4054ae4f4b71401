#include "testing/standin/VmTable.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::standin;
using namespace std::chrono_literals;

namespace {

Now at(Duration d) {
  return {TimePoint(100s + d), WallTime(std::chrono::milliseconds(1764800000000) +
                                        std::chrono::duration_cast<std::chrono::milliseconds>(d))};
}

Vm engine(const std::string &address) {
  Vm vm;
  vm.Address = address;
  vm.Role = "model";
  vm.Target = {"redactor"};
  vm.Zone = "z1";
  vm.Class = "a1";
  vm.Reclaimable = true;
  return vm;
}

} // namespace

BOOST_AUTO_TEST_SUITE(VmTables)

// Guards against a list that shows a reclaim before its lag, or a notice that has a lag.
BOOST_AUTO_TEST_CASE(ListLagsBehindTheNotice) {
  VmTable table;
  const std::string id = registerVm(table, engine("127.0.0.1:1"), false, at(0s));
  BOOST_TEST(tick(table, at(0s)));
  table.Lag = 2s;
  BOOST_TEST(reclaim(table, {.Zone = "z1", .Notice = 5s}, at(1s)).size() == 1U);
  BOOST_REQUIRE(table.Notices.size() == 1U);
  BOOST_TEST(table.Notices[0].Vm == id);
  BOOST_TEST(table.Notices[0].LeaveByMs == 1764800006000);
  BOOST_TEST(!tick(table, at(2900ms)));
  BOOST_TEST((table.List.at(id).It.State == VmState::Live));
  BOOST_TEST(tick(table, at(3s)));
  BOOST_TEST((table.List.at(id).It.State == VmState::Leaving));
  tick(table, at(6s));
  BOOST_TEST((table.Vms.at(id).State == VmState::Gone));
  BOOST_TEST((table.List.at(id).It.State == VmState::Leaving));
  BOOST_TEST(tick(table, at(8s)));
  BOOST_TEST((table.List.at(id).It.State == VmState::Gone));
}

// Guards against a repeated VM request that is granted twice.
BOOST_AUTO_TEST_CASE(RequestIsIdempotentAndBootsOnAWaitingProcess) {
  VmTable table;
  table.BootTime = 2s;
  const VmOrder order{"r1", "z1", "a1", "model", {"redactor"}, true};
  const auto id = requestVm(table, order, at(0s));
  BOOST_REQUIRE(id.has_value());
  BOOST_TEST(requestVm(table, order, at(1s)).value() == *id);
  tick(table, at(3s));
  BOOST_TEST(table.Vms.empty());
  BOOST_TEST(registerVm(table, engine("127.0.0.1:2"), true, at(4s)).empty());
  registerVm(table, engine("127.0.0.1:3"), true, at(4s));
  tick(table, at(5s));
  BOOST_TEST(table.Vms.size() == 1U);
  BOOST_TEST(table.Vms.at(*id).Address == "127.0.0.1:2");
  BOOST_TEST(table.Waiting.size() == 1U);
  BOOST_TEST(releaseVm(table, *id, at(6s)));
  BOOST_TEST((table.Vms.at(*id).State == VmState::Gone));
  BOOST_TEST(requestVm(table, order, at(7s)).value() == *id);
  BOOST_TEST(!releaseVm(table, "vm-99", at(7s)));
}

// Guards against grants in a zone that is to refuse them, and reclaims of on-demand VMs.
BOOST_AUTO_TEST_CASE(ZonesRefuseAndOnlyReclaimableVmsAreReclaimed) {
  VmTable table;
  table.RefusedZones.insert("z1");
  BOOST_TEST(!requestVm(table, {"r1", "z1", "a1", "model", {}, true}, at(0s)).has_value());
  table.RefusedZones.clear();
  BOOST_TEST(requestVm(table, {"r1", "z1", "a1", "model", {}, true}, at(0s)).has_value());
  Vm onDemand = engine("127.0.0.1:4");
  onDemand.Reclaimable = false;
  registerVm(table, onDemand, false, at(0s));
  BOOST_TEST(reclaim(table, {.Zone = "z1", .Notice = 5s}, at(1s)).empty());
  BOOST_TEST(reclaim(table, {.Vm = "127.0.0.1:4", .Notice = 5s}, at(1s)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
