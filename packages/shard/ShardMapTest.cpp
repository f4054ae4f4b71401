#include "shard/ShardMap.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace chervil;
using namespace chervil::shard;

namespace {

/// One shard with a ready standby, and one without a standby whose records were lost.
ShardMap sample() {
  ShardMap map;
  map.Version = 3;
  map.Shards.push_back({{"a", 11}, {"b", 12}, 4, true, std::nullopt});
  map.Shards.push_back({{"b", 12}, {}, 1, false, WallTime(std::chrono::milliseconds(77))});
  return map;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ShardMaps)

// Guards against a serialised form that loses a field.
BOOST_AUTO_TEST_CASE(SerialisedFormIsExact) {
  const std::string text = serialise(sample());
  BOOST_TEST(text == R"({"nodes":[["a",11],["b",12]],"shards":[[0,1,4,1,0],[1,-1,1,0,77]],)"
                     R"("version":3})");
  const auto map = parseShardMap(text);
  BOOST_REQUIRE(map.has_value());
  BOOST_TEST((*map == sample()));
}

// Guards against a shard map of full size that comes near the 1 MB limit of the key-value service.
BOOST_AUTO_TEST_CASE(FullSizeIsSmall) {
  ShardMap map;
  map.Version = 1000000;
  for (std::size_t i = 0; i < 1024; ++i)
    map.Shards.push_back({{"pamplona-node-" + std::to_string(i % 320), 1764800000000 + i % 320},
                          {"bilbao-node-" + std::to_string(i % 319), 1764800000000 + i % 319},
                          1000000 + i,
                          true,
                          WallTime(std::chrono::milliseconds(1764800000000))});
  const std::string text = serialise(map);
  BOOST_TEST_MESSAGE("1,024 shards with 639 node names: " << text.size() << " B");
  BOOST_TEST(text.size() < 128U * 1024);
  BOOST_TEST((parseShardMap(text) == map));
}

// Guards against a damaged or malicious document that is accepted.
BOOST_AUTO_TEST_CASE(InvalidDocumentsAreRefused) {
  BOOST_TEST((parseShardMap("{").error().Code == ResultCode::BadJson));
  for (const char *text : {
           "[]",
           R"({"version":1,"nodes":[["a",1]]})",
           R"({"version":1,"nodes":[["a",1]],"shards":[[0,-1,1,0,0]],"more":1})",
           R"({"version":0,"nodes":[["a",1]],"shards":[[0,-1,1,0,0]]})",
           R"({"version":-1,"nodes":[["a",1]],"shards":[[0,-1,1,0,0]]})",
           R"({"version":1,"nodes":{},"shards":[[0,-1,1,0,0]]})",
           R"({"version":1,"nodes":[["a",1]],"shards":[]})",
           R"({"version":1,"nodes":[["a",0]],"shards":[[0,-1,1,0,0]]})",
           R"({"version":1,"nodes":[["",1]],"shards":[[0,-1,1,0,0]]})",
           R"({"version":1,"nodes":[["a",1],["a",1]],"shards":[[0,-1,1,0,0]]})",
           R"({"version":1,"nodes":[["a",1]],"shards":[[1,-1,1,0,0]]})",
           R"({"version":1,"nodes":[["a",1]],"shards":[[-1,-1,1,0,0]]})",
           R"({"version":1,"nodes":[["a",1]],"shards":[[0,-2,1,0,0]]})",
           R"({"version":1,"nodes":[["a",1]],"shards":[[0,0,1,0,0]]})",
           R"({"version":1,"nodes":[["a",1],["a",2]],"shards":[[0,1,1,0,0]]})",
           R"({"version":1,"nodes":[["a",1]],"shards":[[0,1,1,0,0]]})",
           R"({"version":1,"nodes":[["a",1]],"shards":[[0,-1,0,0,0]]})",
           R"({"version":1,"nodes":[["a",1]],"shards":[[0,-1,1,1,0]]})",
           R"({"version":1,"nodes":[["a",1],["b",1]],"shards":[[0,1,1,2,0]]})",
           R"({"version":1,"nodes":[["a",1]],"shards":[[0,-1,1,0]]})",
           R"({"version":1,"nodes":[["a",1]],"shards":[[0,-1,1.5,0,0]]})",
           R"({"version":1,"nodes":[["a",1]],"shards":[[0,-1,1,0,18446744073709551615]]})",
       }) {
    const auto map = parseShardMap(text);
    BOOST_REQUIRE_MESSAGE(!map.has_value(), text);
    BOOST_TEST((map.error().Code == ResultCode::BadRequest));
    BOOST_TEST(!map.error().Message.empty());
  }
}

// Guards against an exception or crash on arbitrary bytes: documents come from the key-value
// service and from peers.
BOOST_AUTO_TEST_CASE(AnyBytesGiveAnErrorOrAMap) {
  const bool ok = rc::check("damaged documents are parsed without exceptions", [] {
    std::string text = serialise(sample());
    const int n = *rc::gen::inRange(1, 6);
    for (int i = 0; i < n; ++i)
      text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    const auto map = parseShardMap(text);
    if (map)
      RC_ASSERT(parseShardMap(serialise(*map)).value() == *map);
  });
  BOOST_TEST(ok);
}

// Guards against nodes that map a key to different shards, and against an uneven distribution.
BOOST_AUTO_TEST_CASE(KeysAreDistributedEvenly) {
  std::vector<int> hits(16);
  for (int i = 0; i < 16000; ++i)
    ++hits[shardOf({"norte", "key-" + std::to_string(i)}, hits.size())];
  for (const int it : hits)
    BOOST_TEST((it > 800 && it < 1200));
  BOOST_TEST(shardOf({"norte", "k"}, 1024) == hashOf({"norte", "k"}) % 1024);
}

BOOST_AUTO_TEST_SUITE_END()
