#include "testing/ExpectedAnswer.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace chervil::testing;

BOOST_AUTO_TEST_SUITE(ExpectedAnswers)

// Guards against a length that differs between the engine and the checker.
BOOST_AUTO_TEST_CASE(LengthFollowsTheLastUserMessage) {
  const auto tokens = [](const std::vector<PromptMessage> &messages, std::uint32_t max) {
    return expectAnswer("m", messages, max).Tokens;
  };
  BOOST_TEST(tokens({{"user", "a [tokens=9]"}}, 0) == 9U);
  BOOST_TEST(tokens({{"user", "[tokens=9]"}, {"user", "[tokens=7]"}, {"assistant", "x"}}, 0) == 7U);
  BOOST_TEST(tokens({{"user", "a [tokens=9]"}}, 5) == 5U);
  BOOST_TEST(expectAnswer("m", {{"user", "[tokens=9]"}}, 5).Cut);
  BOOST_TEST(!expectAnswer("m", {{"user", "[tokens=9]"}}, 9).Cut);
  BOOST_TEST(tokens({{"user", "[tokens=x]"}}, 0) >= 16U);
}

// Guards against drawn lengths without the long tail the workloads have.
BOOST_AUTO_TEST_CASE(DrawnLengthsAreHeavyTailed) {
  int shortOnes = 0;
  int longOnes = 0;
  for (int i = 0; i < 10000; ++i) {
    const auto n = expectAnswer("m", {{"user", std::to_string(i)}}, 0).Tokens;
    BOOST_REQUIRE(n >= 16U);
    BOOST_REQUIRE(n <= 4096U);
    shortOnes += n < 32 ? 1 : 0;
    longOnes += n > 1000 ? 1 : 0;
  }
  BOOST_TEST(shortOnes > 5000);
  BOOST_TEST(longOnes > 30);
}

// Guards against a checker that accepts a cut, doubled, shortened or foreign answer.
BOOST_AUTO_TEST_CASE(CheckTellsWholeFromPartialAndWrong) {
  rc::check([] {
    const auto n = *rc::gen::inRange<std::uint32_t>(2, 200);
    const auto id = *rc::gen::inRange(0, 1000000);
    const auto prompt = std::to_string(id) + " [tokens=" + std::to_string(n) + "]";
    const ExpectedAnswer a = expectAnswer("m", {{"user", prompt}}, 0);
    const std::string whole = answerText(a, 0, a.Tokens);
    RC_ASSERT(checkAnswer(a, whole) == AnswerCheck::Whole);
    RC_ASSERT(checkAnswer(a, whole + "x") == AnswerCheck::Wrong);
    const auto cut = *rc::gen::inRange<std::size_t>(0, whole.size());
    RC_ASSERT(checkAnswer(a, whole.substr(0, cut)) == AnswerCheck::Partial);
    const auto at = *rc::gen::inRange<std::uint32_t>(0, n);
    RC_ASSERT(answerText(a, 0, at) + answerText(a, at, n) == whole);
    RC_ASSERT(checkAnswer(a, answerText(a, 0, at + 1) + answerText(a, at, n)) ==
              AnswerCheck::Wrong);
    const ExpectedAnswer other = expectAnswer("m2", {{"user", prompt}}, 0);
    RC_ASSERT(checkAnswer(other, whole) == AnswerCheck::Wrong);
  });
}

BOOST_AUTO_TEST_SUITE_END()
