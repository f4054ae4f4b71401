#include "relay/EventProgress.h"

namespace chervil::relay {
namespace {

constexpr std::string_view DataField = "data:";

bool isDataLine(const EventProgress &progress) {
  return std::string_view(progress.LineStart.data(), progress.Length) == DataField;
}

/// Takes a character other than a line feed.
void appendToLine(EventProgress &progress, char c) {
  if (progress.Length < progress.LineStart.size())
    progress.LineStart[progress.Length++] = c;
  else if (c != ' ' && isDataLine(progress))
    progress.HasValue = true;
}

} // namespace

bool advance(EventProgress &progress, std::string_view bytes) {
  bool progressed = false;
  for (const char c : bytes) {
    if (c == '\r')
      continue;
    if (c != '\n') {
      progress.AtBoundary = false;
      appendToLine(progress, c);
      continue;
    }
    progressed = progressed || progress.HasValue;
    progress.Fields += progress.HasValue ? 1 : 0;
    progress.AtBoundary = progress.Length == 0;
    progress.Length = 0;
    progress.HasValue = false;
  }
  return progressed;
}

} // namespace chervil::relay
