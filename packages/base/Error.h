// Errors as values. Use:
//   Result<Contract> c = parseContract(text);
//   if (!c) return tl::make_unexpected(c.error());
#ifndef CHERVIL_BASE_ERROR_H
#define CHERVIL_BASE_ERROR_H

#include "base/ResultCode.h"

#include <string>
#include <tl/expected.hpp>

namespace chervil {

/// A numbered code with a sentence for a person.
struct Error {
  ResultCode Code = ResultCode::Internal;
  std::string Message;
};

template <typename T> using Result = tl::expected<T, Error>;

/// Shorthand for the error side of a Result.
inline tl::unexpected<Error> fail(ResultCode code, std::string message) {
  return tl::make_unexpected(Error{code, std::move(message)});
}

} // namespace chervil

#endif
