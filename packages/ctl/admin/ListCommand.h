// A command that shows one list of the admin API as a table. Use:
//   return listCommand({"nodes", "nodes", Usage, header, row}, args, io);
#ifndef CHERVIL_CTL_ADMIN_LISTCOMMAND_H
#define CHERVIL_CTL_ADMIN_LISTCOMMAND_H

#include "ctl/admin/Commands.h"
#include "ctl/admin/Table.h"

namespace chervil::ctl {

struct ListView {
  /// Path below /admin/v1/ and member of the answer that holds the list.
  std::string Path;
  const char *Member;
  Row Header;
  Row (*MakeRow)(const nlohmann::json &item);
};

/// Calls and prints.
int showList(const ListView &view, const AdminOptions &options, Streams io);

/// For a command without options of its own.
int listCommand(const ListView &view, const char *usage, const std::vector<std::string> &args,
                Streams io);

} // namespace chervil::ctl

#endif
