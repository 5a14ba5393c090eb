#ifndef INDIGOLEAD_TESTS_SUPPORT_FIELD_COUNT_H_
#define INDIGOLEAD_TESTS_SUPPORT_FIELD_COUNT_H_

// Counts the fields of a plain struct, so that a test detects a field that was
// added to the struct but not to a table that describes it.

#include <cstddef>
#include <type_traits>

namespace indigolead::testing {

/// Converts to anything; stands for a field's value.
struct AnyValue {
  template <typename T>
  operator T() const;  // NOLINT(google-explicit-constructor)
};

/// Returns how many fields the aggregate `T` has.
template <typename T, typename... Values>
constexpr std::size_t FieldCount(Values... values) {
  if constexpr (requires { T{values..., AnyValue{}}; }) {
    return FieldCount<T>(values..., AnyValue{});
  } else {
    return sizeof...(Values);
  }
}

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_FIELD_COUNT_H_
