// A call to the admin API of any of several nodes. Use:
//   CallResult r = callAdmin(options, {.Path = "nodes"});
//   if (r.Status != 200) return reportFailure(r, io);
#ifndef CHERVIL_CTL_ADMIN_ADMINCALL_H
#define CHERVIL_CTL_ADMIN_ADMINCALL_H

#include "ctl/admin/AdminOptions.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

namespace chervil::ctl {

struct AdminRequest {
  std::string Method = "GET";
  /// Path below /admin/v1/, with query.
  std::string Path;
  std::string Body;
  /// A node gives a contract change up after about 10 s of failed calls, each of which may take the
  /// platform's request timeout (2 s by default) in addition.
  std::chrono::milliseconds Timeout{5000};
  /// Rounds over all addresses.
  int Rounds = 1;
};

struct CallResult {
  /// HTTP status; 0 if no node answered.
  int Status = 0;
  nlohmann::json Body;
  /// The node that answered.
  std::string Address;
  /// Why each address failed.
  std::string Failures;
  /// True if a request may have reached a node that did not answer.
  bool MaybeReceived = false;
};

/// Tries the addresses in order until one answers. The request must be safe to repeat.
CallResult callAdmin(const AdminOptions &options, const AdminRequest &request);

/// Prints why the call did not succeed and gives the exit status.
int reportFailure(const CallResult &result, const AdminOptions &options, Streams io);

/// Escapes all but unreserved characters.
std::string encode(const std::string &text);

} // namespace chervil::ctl

#endif
