// Counts how often an application engine executed each key. Use:
//   Executions e = loadExecutions("/tmp/e.log");   // or "" to keep no file
//   countExecution(e, key);
#ifndef CHERVIL_TESTING_STANDIN_EXECUTIONS_H
#define CHERVIL_TESTING_STANDIN_EXECUTIONS_H

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

namespace chervil::standin {

struct Executions {
  /// One key per line, so that the counts outlive a process that dies.
  std::string File;
  std::map<std::string, std::uint64_t> ByKey;
};

inline Executions loadExecutions(std::string file) {
  Executions executions;
  executions.File = std::move(file);
  std::ifstream in(executions.File);
  for (std::string key; std::getline(in, key);)
    ++executions.ByKey[key];
  return executions;
}

inline void countExecution(Executions &executions, const std::string &key) {
  ++executions.ByKey[key];
  if (!executions.File.empty())
    std::ofstream(executions.File, std::ios::app) << key << '\n';
}

} // namespace chervil::standin

#endif
