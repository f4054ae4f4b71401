#include "ctl/load/Report.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace chervil::load {
namespace {

using Json = nlohmann::json;

struct SummaryMember {
  const char *Name;
  std::uint64_t Summary::*Value;
};

constexpr std::array SummaryMembers = {
    SummaryMember{"requests", &Summary::Requests},
    SummaryMember{"ok", &Summary::Ok},
    SummaryMember{"lost", &Summary::Lost},
    SummaryMember{"doubled", &Summary::Doubled},
    SummaryMember{"partial", &Summary::Partial},
    SummaryMember{"wrong_not_run", &Summary::WrongNotRun},
    SummaryMember{"refused", &Summary::Refused},
    SummaryMember{"unknown", &Summary::Unknown},
};

constexpr std::string_view LinePrefix = "load:";

void addLine(std::string &text, const std::string &name, const Histogram &histogram) {
  if (histogram.Count == 0)
    return;
  std::array<char, 200> buf{};
  std::snprintf(
      buf.data(), buf.size(), "%-28s n=%llu p50=%.1f p95=%.1f p99=%.1f p99.9=%.1f max=%.1f ms\n",
      name.c_str(), static_cast<unsigned long long>(histogram.Count), percentileMs(histogram, 0.5),
      percentileMs(histogram, 0.95), percentileMs(histogram, 0.99), percentileMs(histogram, 0.999),
      static_cast<double>(histogram.Max.count()) / 1000.0);
  text += buf.data();
}

Json toJson(const Histogram &histogram) {
  return {{"count", histogram.Count},
          {"p50_ms", percentileMs(histogram, 0.5)},
          {"p90_ms", percentileMs(histogram, 0.9)},
          {"p95_ms", percentileMs(histogram, 0.95)},
          {"p99_ms", percentileMs(histogram, 0.99)},
          {"p999_ms", percentileMs(histogram, 0.999)},
          {"max_ms", static_cast<double>(histogram.Max.count()) / 1000.0}};
}

Json toJson(const Latencies &it) {
  return {{"first_token", toJson(it.FirstToken)},
          {"between_tokens", toJson(it.BetweenTokens)},
          {"total", toJson(it.Total)}};
}

double perSecond(std::uint64_t n, double seconds) {
  return seconds > 0 ? static_cast<double>(n) / seconds : 0;
}

} // namespace

std::string formatText(const Report &report) {
  std::string text;
  std::array<char, 200> buf{};
  std::snprintf(buf.data(), buf.size(), "%.1f s, %.1f requests/s, %.0f tokens/s\n", report.Seconds,
                perSecond(report.Totals.Requests, report.Seconds),
                perSecond(report.Tokens, report.Seconds));
  text += buf.data();
  text.append("sends=").append(std::to_string(report.Sends));
  text.append(" fetches=").append(std::to_string(report.Fetches));
  text.append(" moved=").append(std::to_string(report.Moved));
  text.append(" cut=").append(std::to_string(report.Cut));
  text.append(" wrong=").append(std::to_string(report.Totals.Wrong));
  text.append(report.Verified ? " executions=verified\n" : " executions=not_verified\n");
  for (const auto &[name, n] : report.RefusalsSeen) {
    const auto last = report.RefusedByName.find(name);
    text.append("refusal ").append(name).append(" seen=").append(std::to_string(n));
    text.append(" final=");
    text.append(std::to_string(last == report.RefusedByName.end() ? 0 : last->second));
    text.append("\n");
  }
  addLine(text, "first token", report.Model.FirstToken);
  addLine(text, "between tokens", report.Model.BetweenTokens);
  addLine(text, "total", report.Model.Total);
  addLine(text, "short calls", report.ShortCalls);
  for (const KindReport &it : report.Kinds) {
    addLine(text, "  " + it.Name + " first token", it.Times.FirstToken);
    addLine(text, "  " + it.Name + " total", it.Times.Total);
  }
  return text;
}

std::string formatJson(const Report &report) {
  Json totals;
  for (const SummaryMember &it : SummaryMembers)
    totals[it.Name] = report.Totals.*it.Value;
  totals["wrong"] = report.Totals.Wrong;
  Json kinds = Json::object();
  for (const KindReport &it : report.Kinds) {
    Json kind = toJson(it.Times);
    kind["requests"] = it.Requests;
    kind["ok"] = it.Ok;
    kind["tokens"] = it.Tokens;
    kinds[it.Name] = std::move(kind);
  }
  const Json json = {{"totals", totals},
                     {"verified", report.Verified},
                     {"refused_by_name", report.RefusedByName},
                     {"refusals_seen", report.RefusalsSeen},
                     {"sends", report.Sends},
                     {"fetches", report.Fetches},
                     {"moved", report.Moved},
                     {"cut", report.Cut},
                     {"tokens", report.Tokens},
                     {"seconds", report.Seconds},
                     {"requests_per_s", perSecond(report.Totals.Requests, report.Seconds)},
                     {"tokens_per_s", perSecond(report.Tokens, report.Seconds)},
                     {"model", toJson(report.Model)},
                     {"short_calls", toJson(report.ShortCalls)},
                     {"kinds", kinds}};
  return json.dump(2) + "\n";
}

std::string summaryLine(const Summary &summary) {
  std::string line(LinePrefix);
  for (const SummaryMember &it : SummaryMembers)
    line.append(" ").append(it.Name).append("=").append(std::to_string(summary.*it.Value));
  return line;
}

std::optional<Summary> parseSummaryLine(std::string_view line) {
  if (!line.starts_with(LinePrefix))
    return std::nullopt;
  line.remove_prefix(LinePrefix.size());
  Summary summary;
  for (const SummaryMember &it : SummaryMembers) {
    const std::string begin = std::string(" ").append(it.Name).append("=");
    if (!line.starts_with(begin))
      return std::nullopt;
    line.remove_prefix(begin.size());
    const auto [end, ec] =
        std::from_chars(line.data(), line.data() + line.size(), summary.*it.Value);
    if (ec != std::errc{})
      return std::nullopt;
    line.remove_prefix(static_cast<std::size_t>(end - line.data()));
  }
  if (!line.empty() && line != "\n")
    return std::nullopt;
  return summary;
}

} // namespace chervil::load
