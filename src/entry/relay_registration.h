#ifndef INDIGOLEAD_ENTRY_RELAY_REGISTRATION_H_
#define INDIGOLEAD_ENTRY_RELAY_REGISTRATION_H_

#include <string>
#include <string_view>

#include "core/membership/relay_choice.h"

namespace indigolead {

/// Returns the lines of an entry's registration that tell others how to ask it
/// to relay the store's changes. Empty if `relay` has no address.
std::string EncodeRelay(const RelayCandidate& relay);

/// Decodes those lines from the registration of the entry `name`. The result
/// has no address if they are missing or unusable.
RelayCandidate DecodeRelay(const std::string& name, std::string_view text);

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_RELAY_REGISTRATION_H_
