// `chervilctl contracts put`: changes a contract and shows conflicts.
#ifndef CHERVIL_CTL_ADMIN_CONTRACTPUT_H
#define CHERVIL_CTL_ADMIN_CONTRACTPUT_H

#include "contract/Contract.h"
#include "ctl/admin/AdminOptions.h"

#include <cstdint>
#include <optional>

namespace chervil::ctl {

/// A contract in a file: alone, or as printed by `contracts get`, with its version.
struct ContractFile {
  Contract Terms;
  std::optional<std::uint64_t> Version;
};

/// Prints every fault. The error is the exit status.
tl::expected<ContractFile, int> readContractFile(const std::string &path, Streams io);

/// Carries out the command; a change whose answer was lost is repeated with the same change id.
int putContract(const Args &args, const AdminOptions &options, Streams io);

} // namespace chervil::ctl

#endif
