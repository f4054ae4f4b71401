// The addresses a caller may use, as GET /v1/entry gave them. Use:
//   std::string a = pickAddress(book, last, now, rng);
//   if (needsRefresh(book, now)) ...
#ifndef CHERVIL_CTL_LOAD_ADDRESSBOOK_H
#define CHERVIL_CTL_LOAD_ADDRESSBOOK_H

#include "base/Random.h"
#include "base/Time.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chervil::load {

struct AddressBook {
  /// Addresses given at the start, where the entry list is asked for when no other is known.
  std::vector<std::string> Seeds;
  std::vector<std::string> Addresses;
  TimePoint ValidUntil;
  /// Addresses that failed, until when they are avoided.
  std::map<std::string, TimePoint> Avoided;
};

/// Takes the body of GET /v1/entry. False if it does not have that shape or names no address.
bool takeEntry(AddressBook &book, std::string_view body, TimePoint now);

bool needsRefresh(const AddressBook &book, TimePoint now);

/// Avoids the address for a while, and asks for the list again.
void noteFailure(AddressBook &book, const std::string &address, TimePoint now);

/// Any address but `last` that is not avoided, if there is one; empty only without addresses and
/// seeds.
std::string pickAddress(const AddressBook &book, const std::string &last, TimePoint now,
                        Random &rng);

} // namespace chervil::load

#endif
