// The answer a stand-in engine gives to a prompt, so that a caller can check what it received. Use:
//   ExpectedAnswer a = expectAnswer("redactor", {{"user", "Hi [tokens=8]"}}, 100);
//   if (checkAnswer(a, received) != AnswerCheck::Whole) ...
#ifndef CHERVIL_TESTING_EXPECTEDANSWER_H
#define CHERVIL_TESTING_EXPECTEDANSWER_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervil::testing {

struct PromptMessage {
  std::string Role;
  std::string Content;
};

struct ExpectedAnswer {
  std::uint64_t Seed = 0;
  std::uint32_t Tokens = 0;
  std::uint32_t PromptTokens = 0;
  /// True if max_tokens shortened the answer (`finish_reason` "length").
  bool Cut = false;
};

enum class AnswerCheck : std::uint8_t {
  Whole,
  /// A proper beginning of the answer, also one that ends inside a token.
  Partial,
  /// Not a beginning of the answer: bytes are missing, repeated or belong to another request.
  Wrong,
};

/// Text the prompt tokens and the prefix cache are computed from.
std::string promptText(const std::vector<PromptMessage> &messages);

/// `maxTokens` 0 means no bound of the caller's.
ExpectedAnswer expectAnswer(std::string_view model, const std::vector<PromptMessage> &messages,
                            std::uint32_t maxTokens);

/// Token `i`, with its trailing space.
std::string tokenText(const ExpectedAnswer &answer, std::uint32_t i);

/// Tokens `from` up to, but not including, `to`.
std::string answerText(const ExpectedAnswer &answer, std::uint32_t from, std::uint32_t to);

AnswerCheck checkAnswer(const ExpectedAnswer &answer, std::string_view text);

} // namespace chervil::testing

#endif
