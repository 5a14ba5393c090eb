#ifndef INDIGOLEAD_CORE_BASE_HTTP_STATUS_H_
#define INDIGOLEAD_CORE_BASE_HTTP_STATUS_H_

namespace indigolead {

/// Returns true for a status that ends a call: 200 to 599 (RFC 9110, section
/// 15).
constexpr bool IsFinalStatus(int status) {
  return status >= 200 && status <= 599;
}

/// Returns true for a status that another response follows: 100 to 199, without
/// 101, as no request asks for an upgrade.
constexpr bool IsInterimStatus(int status) {
  return status >= 100 && status <= 199 && status != 101;
}

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_BASE_HTTP_STATUS_H_
