#ifndef INDIGOLEAD_CORE_BASE_IDS_H_
#define INDIGOLEAD_CORE_BASE_IDS_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace indigolead {

/// A random 128-bit id, unique without coordination.
struct Id128 {
  std::uint64_t hi = 0;
  std::uint64_t lo = 0;

  friend auto operator<=>(const Id128&, const Id128&) = default;
};

/// Returns `id` as 32 lower-case hexadecimal digits.
std::string ToHex(const Id128& id);

/// Returns the id written as `hex`; unset unless it is 32 hex digits.
std::optional<Id128> Id128FromHex(std::string_view hex);

/// Returns the 16 bytes of `id` in big-endian order, as sent in messages.
std::string ToBytes(const Id128& id);

/// Returns the id held in `bytes`; unset unless there are exactly 16.
std::optional<Id128> Id128FromBytes(std::string_view bytes);

/// An `Id128` with a distinct type, so that ids of two kinds cannot be swapped.
template <typename Tag>
struct TypedId {
  Id128 value;

  friend auto operator<=>(const TypedId&, const TypedId&) = default;
};

/// Prints the hexadecimal form.
template <typename Tag>
std::ostream& operator<<(std::ostream& os, const TypedId<Tag>& id) {
  return os << ToHex(id.value);
}

/// Identifies one forward of a request to one target.
using AttemptId = TypedId<struct AttemptIdTag>;
/// Identifies one request of a caller across all its attempts.
using RequestId = TypedId<struct RequestIdTag>;
/// Identifies one run of a process; a restart gets a new one.
using Incarnation = TypedId<struct IncarnationTag>;

/// Returns a new id. Injected: a seeded generator in tests, the system's
/// entropy source in production.
using IdSource = std::function<Id128()>;

/// Orders the holders of the control lease; strictly increases with each one.
using FencingNumber = std::uint64_t;

}  // namespace indigolead

/// Hashes the low half: ids are random, so any 64 of their bits are uniform.
template <typename Tag>
struct std::hash<indigolead::TypedId<Tag>> {
  std::size_t operator()(const indigolead::TypedId<Tag>& id) const noexcept {
    return static_cast<std::size_t>(id.value.lo);
  }
};

#endif  // INDIGOLEAD_CORE_BASE_IDS_H_
