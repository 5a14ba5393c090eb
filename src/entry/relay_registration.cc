#include "entry/relay_registration.h"

#include <algorithm>
#include <charconv>
#include <sstream>

#include "runtime/address.h"

namespace indigolead {
namespace {

constexpr std::string_view kAddress = "relay_address=";
constexpr std::string_view kFailureDomain = "failure_domain=";
constexpr std::string_view kProcessor = "processor=";

/// Returns the rest of the line of `text` that begins with `name`, or an empty
/// view if there is none.
std::string ValueOf(std::string_view text, std::string_view name) {
  while (!text.empty()) {
    const std::string_view line = text.substr(0, text.find('\n'));
    if (line.substr(0, name.size()) == name) {
      return std::string(line.substr(name.size()));
    }
    text.remove_prefix(std::min(line.size() + 1, text.size()));
  }
  return {};
}

}  // namespace

std::string EncodeRelay(const RelayCandidate& relay) {
  if (relay.address.empty()) {
    return {};
  }
  std::ostringstream text;
  text << kAddress << relay.address << "\n"
       << kFailureDomain << relay.failure_domain << "\n"
       << kProcessor << relay.processor << "\n";
  return text.str();
}

RelayCandidate DecodeRelay(const std::string& name, std::string_view text) {
  RelayCandidate relay;
  relay.name = name;
  const std::string address = ValueOf(text, kAddress);
  const std::string processor = ValueOf(text, kProcessor);
  const char* last = processor.data() + processor.size();
  const auto [end, error] =
      std::from_chars(processor.data(), last, relay.processor);
  if (error == std::errc() && end == last && IsOk(ParseEndpoint(address))) {
    relay.address = address;
    relay.failure_domain = ValueOf(text, kFailureDomain);
  }
  return relay;
}

}  // namespace indigolead
