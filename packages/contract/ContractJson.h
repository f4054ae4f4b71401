// JSON form of a contract inside another document.
#ifndef CHERVIL_CONTRACT_CONTRACTJSON_H
#define CHERVIL_CONTRACT_CONTRACTJSON_H

#include "contract/Contract.h"
#include "contract/JsonReader.h"

namespace chervil::detail {

/// Reads the object at `path`; faults are added to `reader`.
Contract readContract(JsonReader &reader, const Json &value, const std::string &path);

Json toJson(const Contract &contract);

/// The error for a document with faults.
tl::unexpected<Error> faultsError(const JsonReader &reader);

} // namespace chervil::detail

#endif
