// The result of a load run as text and JSON. Use:
//   std::cout << formatText(report) << summaryLine(report.Totals) << "\n";
//   auto s = parseSummaryLine(lastLine);
#ifndef CHERVIL_CTL_LOAD_REPORT_H
#define CHERVIL_CTL_LOAD_REPORT_H

#include "ctl/load/Histogram.h"
#include "ctl/load/LoadRecord.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervil::load {

struct Latencies {
  /// From the time the request was due to the first part of the answer.
  Histogram FirstToken;
  Histogram BetweenTokens;
  /// To the end of the answer, of requests that ended ok.
  Histogram Total;
};

struct KindReport {
  std::string Name;
  std::uint64_t Requests = 0;
  std::uint64_t Ok = 0;
  std::uint64_t Tokens = 0;
  Latencies Times;
};

struct Report {
  Summary Totals;
  /// Whether the executions at the application engines were compared.
  bool Verified = false;
  /// Final refusals by name of their result code.
  std::map<std::string, std::uint64_t> RefusedByName;
  /// All refusals received, those that were followed by another try included.
  std::map<std::string, std::uint64_t> RefusalsSeen;
  std::uint64_t Sends = 0;
  std::uint64_t Fetches = 0;
  std::uint64_t Moved = 0;
  std::uint64_t Cut = 0;
  std::uint64_t Tokens = 0;
  double Seconds = 0;
  Latencies Model;
  /// Total time of service calls.
  Histogram ShortCalls;
  std::vector<KindReport> Kinds;
};

/// Several lines, without the summary line.
std::string formatText(const Report &report);

std::string formatJson(const Report &report);

/// `load: requests=N ok=N lost=N doubled=N partial=N wrong_not_run=N refused=N unknown=N`. Wrong
/// answers stand in formatText() and formatJson() only.
std::string summaryLine(const Summary &summary);

/// Nothing unless the text is such a line, with every member once.
std::optional<Summary> parseSummaryLine(std::string_view line);

} // namespace chervil::load

#endif
