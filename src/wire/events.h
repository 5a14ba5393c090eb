#ifndef INDIGOLEAD_WIRE_EVENTS_H_
#define INDIGOLEAD_WIRE_EVENTS_H_

#include "observe/event_log.h"

namespace indigolead::events {

inline constexpr EventInfo kLinkUp{
    5001, "link-up", EventSeverity::kInfo,
    "A peer's hello was accepted on a new connection."};
inline constexpr EventInfo kLinkDown{
    5002, "link-down", EventSeverity::kInfo,
    "A connection ended for the reason given."};
inline constexpr EventInfo kLinkSilent{
    5003, "link-silent", EventSeverity::kWarning,
    "A connection was closed because the peer sent nothing for the silence "
    "timeout."};
inline constexpr EventInfo kLinkRefused{
    5004, "link-refused", EventSeverity::kWarning,
    "A connection with a peer was refused for the reason given."};
inline constexpr EventInfo kLinksUnencrypted{
    5005, "links-unencrypted", EventSeverity::kWarning,
    "Connections between processes are not encrypted, which is allowed on "
    "loopback addresses only."};
inline constexpr EventInfo kLinksListening{
    5006, "links-listening", EventSeverity::kInfo,
    "The process accepts connections from peers at the address given."};
inline constexpr EventInfo kLinkAddressRefused{
    5007, "link-address-refused", EventSeverity::kError,
    "A peer's address was not dialled: it is malformed, or not on loopback "
    "while encryption is off, or the connection limit is reached."};
inline constexpr EventInfo kMemberChanged{
    5008, "member-changed", EventSeverity::kInfo,
    "The state of an instance as seen by this process has changed."};
inline constexpr EventInfo kKeysReloaded{
    5009, "keys-reloaded", EventSeverity::kInfo,
    "Changed key files were loaded and apply to new connections."};
inline constexpr EventInfo kKeysNotReloaded{
    5010, "keys-not-reloaded", EventSeverity::kError,
    "The key files are not usable; the keys loaded before stay in use."};

inline constexpr EventInfo kRelayMessageDropped{
    5011, "relay-message-dropped", EventSeverity::kWarning,
    "A watch request between entries, or its answer, could not be decoded or "
    "sent."};
inline constexpr EventInfo kRelayNotReached{
    5012, "relay-not-reached", EventSeverity::kWarning,
    "The entry that relays store changes could not be dialled."};

inline constexpr EventInfo kStreamOriginDropped{
    5013, "stream-origin-message-dropped", EventSeverity::kWarning,
    "A datagram of another entry could not be decoded."};
inline constexpr EventInfo kStreamOriginNotSent{
    5014, "stream-origin-message-not-sent", EventSeverity::kWarning,
    "A datagram to another entry could not be sent."};

}  // namespace indigolead::events

#endif  // INDIGOLEAD_WIRE_EVENTS_H_
