#include "testing/ExpectedAnswer.h"

#include "base/Hash.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace chervil::testing {
namespace {

constexpr std::uint32_t MinTokens = 16;
constexpr std::uint32_t MaxTokens = 4096;
/// Pareto exponent: with 1.2 a few long answers hold most of the tokens, as in the workloads.
constexpr double TailExponent = 1.2;
constexpr std::size_t BytesPerToken = 4;
constexpr std::string_view Marker = "[tokens=";

std::optional<std::uint32_t> statedTokens(const std::vector<PromptMessage> &messages) {
  const auto last = std::ranges::find(messages.rbegin(), messages.rend(), "user",
                                      [](const PromptMessage &it) { return it.Role; });
  if (last == messages.rend())
    return std::nullopt;
  const std::size_t at = last->Content.rfind(Marker);
  if (at == std::string::npos)
    return std::nullopt;
  const char *begin = last->Content.data() + at + Marker.size();
  const char *end = last->Content.data() + last->Content.size();
  std::uint32_t n = 0;
  const auto [rest, ec] = std::from_chars(begin, end, n);
  if (ec != std::errc{} || rest == end || *rest != ']')
    return std::nullopt;
  return n;
}

std::uint32_t drawnTokens(std::uint64_t hash) {
  const double u = (static_cast<double>(hash >> 11) + 1.0) / 9007199254740993.0;
  const double n = MinTokens * std::pow(u, -1.0 / TailExponent);
  return static_cast<std::uint32_t>(std::min<double>(n, MaxTokens));
}

} // namespace

std::string promptText(const std::vector<PromptMessage> &messages) {
  std::string text;
  for (const PromptMessage &it : messages)
    text.append(it.Role).append("\n").append(it.Content).append("\n");
  return text;
}

ExpectedAnswer expectAnswer(std::string_view model, const std::vector<PromptMessage> &messages,
                            std::uint32_t maxTokens) {
  const std::string text = promptText(messages);
  ExpectedAnswer answer;
  answer.Seed = hashPair(model, text);
  answer.PromptTokens = static_cast<std::uint32_t>((text.size() + BytesPerToken - 1) / 4);
  const auto stated = statedTokens(messages);
  answer.Tokens = std::max(1U, stated ? *stated : drawnTokens(hashBytes(text)));
  if (maxTokens > 0 && answer.Tokens > maxTokens) {
    answer.Tokens = maxTokens;
    answer.Cut = true;
  }
  return answer;
}

std::string tokenText(const ExpectedAnswer &answer, std::uint32_t i) {
  constexpr std::string_view consonants = "bcdfghjklmnprstv";
  constexpr std::string_view vowels = "aeio";
  const std::string_view bytes(reinterpret_cast<const char *>(&i), sizeof(i));
  std::uint64_t h = hashBytes(bytes, answer.Seed);
  std::string text;
  // Two to four syllables, so that token lengths differ.
  for (std::uint64_t n = 2 + h % 3; n > 0; --n) {
    h >>= 2;
    text.push_back(consonants[h & 15U]);
    h >>= 4;
    text.push_back(vowels[h & 3U]);
  }
  text.push_back(' ');
  return text;
}

std::string answerText(const ExpectedAnswer &answer, std::uint32_t from, std::uint32_t to) {
  std::string text;
  for (std::uint32_t i = from; i < to; ++i)
    text += tokenText(answer, i);
  return text;
}

AnswerCheck checkAnswer(const ExpectedAnswer &answer, std::string_view text) {
  for (std::uint32_t i = 0; i < answer.Tokens; ++i) {
    const std::string token = tokenText(answer, i);
    if (text.size() < token.size())
      return std::string_view(token).starts_with(text) ? AnswerCheck::Partial : AnswerCheck::Wrong;
    if (!text.starts_with(token))
      return AnswerCheck::Wrong;
    text.remove_prefix(token.size());
  }
  return text.empty() ? AnswerCheck::Whole : AnswerCheck::Wrong;
}

} // namespace chervil::testing
