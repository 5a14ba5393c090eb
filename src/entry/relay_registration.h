#ifndef INDIGOLEAD_ENTRY_RELAY_REGISTRATION_H_
#define INDIGOLEAD_ENTRY_RELAY_REGISTRATION_H_

#include <string>
#include <string_view>

#include "core/membership/relay_choice.h"

namespace indigolead {

/// Returns the lines of an entry's registration that say how it is asked to
/// relay the store's changes; none without an address.
std::string EncodeRelay(const RelayCandidate& relay);

/// Returns what the registration of the entry `name` says of that. Without an
/// address if it says nothing, or nothing that can be used.
RelayCandidate DecodeRelay(const std::string& name, std::string_view text);

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_RELAY_REGISTRATION_H_
