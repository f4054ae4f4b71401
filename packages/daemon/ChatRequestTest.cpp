#include "daemon/ChatRequest.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace chervil;
using namespace chervil::daemon;

BOOST_AUTO_TEST_SUITE(ChatRequests)

// Guards against a malformed body that is passed on or gets the wrong code.
BOOST_AUTO_TEST_CASE(FaultsHaveTheirOwnCodes) {
  const auto codeOf = [](const char *body) { return parseChatRequest(body).error().Code; };
  BOOST_TEST((codeOf("{") == ResultCode::BadJson));
  BOOST_TEST((codeOf("[]") == ResultCode::BadRequest));
  BOOST_TEST((codeOf(R"({"messages":[]})") == ResultCode::BadRequest));
  BOOST_TEST((codeOf(R"({"model":"m","messages":[{"role":"user"}]})") == ResultCode::BadRequest));
  BOOST_TEST(
      (codeOf(R"({"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":0})") ==
       ResultCode::BadRequest));
  BOOST_TEST((codeOf(R"({"model":"m","messages":[{"role":"user","content":"x"}],"stream":1})") ==
              ResultCode::BadRequest));
}

// Guards against an engine that starts over instead of continuing, and against a lost field.
BOOST_AUTO_TEST_CASE(EngineBodyContinuesFromTheTokensSoFar) {
  const auto request = parseChatRequest(
      R"({"model":"m","messages":[{"role":"user","content":"x"}],"temperature":0.5})");
  BOOST_REQUIRE(request.has_value());
  node::CallBackend call;
  call.Spec = request->Spec;
  call.Spec.MaxTokens = 9;
  call.Key = "k";
  call.RequestId = "c/k/1.2";
  call.Continuation = "ab ";
  call.ContinuationTokens = 1;
  const auto json = nlohmann::json::parse(engineBody(call));
  BOOST_TEST(json["stream"].get<bool>());
  BOOST_TEST(json["temperature"].get<double>() == 0.5);
  BOOST_TEST(json["max_tokens"].get<int>() == 9);
  BOOST_TEST(json["request_id"].get<std::string>() == "c/k/1.2");
  BOOST_TEST(json["continuation"]["text"].get<std::string>() == "ab ");
  BOOST_TEST(json["continuation"]["tokens"].get<int>() == 1);
}

// Guards against prefix hashes that differ from those the engines publish.
BOOST_AUTO_TEST_CASE(PrefixHashesCoverWholeBlocks) {
  const std::string content(600, 'a');
  const auto request = parseChatRequest(R"({"model":"m","messages":[{"role":"user","content":")" +
                                        content + R"("}]})");
  BOOST_REQUIRE(request.has_value());
  BOOST_TEST(request->PrefixHashes.size() == 2U);
  BOOST_TEST(request->PromptTokens == (600U + 6U + 3U) / 4U);
}

BOOST_AUTO_TEST_SUITE_END()
