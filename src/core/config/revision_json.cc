#include "core/config/revision_json.h"

#include <xxhash.h>

#include <charconv>
#include <chrono>
#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>
#include <vector>

#include "core/base/bounded_json.h"
#include "core/config/enum_names.h"
#include "core/config/spec_fields.h"

namespace indigolead {
namespace {

using Json = nlohmann::json;

// --- Writing ---------------------------------------------------------------

struct Writer;

template <typename T>
Json ToValue(const T& field) {
  return field;
}
Json ToValue(const DeploymentKind& kind) {
  return std::string(DeploymentKindName(kind));
}
Json ToValue(const ModelSpec& spec);
Json ToValue(const ClientAccountSpec& spec);
Json ToValue(const RoleSpec& spec);
Json ToValue(const RequestPolicy& spec);

template <typename T>
requires std::is_class_v<T> Json ToValue(const std::vector<T>& items) {
  Json array = Json::array();
  for (const T& it : items) {
    array.push_back(ToValue(it));
  }
  return array;
}

/// Writes one JSON object field by field.
struct Writer {
  Json object = Json::object();

  void operator()(const std::string& name, const Duration& field) {
    object[name + "_us"] =
        std::chrono::duration_cast<std::chrono::microseconds>(field).count();
  }
  template <typename T>
  void operator()(const std::string& name, const T& field) {
    object[name] = ToValue(field);
  }
};

Json ToValue(const ModelSpec& spec) {
  Writer writer;
  internal::VisitModel(spec, writer);
  return std::move(writer.object);
}
Json ToValue(const ClientAccountSpec& spec) {
  Writer writer;
  internal::VisitClientAccount(spec, writer);
  return std::move(writer.object);
}
Json ToValue(const RoleSpec& spec) {
  Writer writer;
  internal::VisitRoles(spec, writer);
  return std::move(writer.object);
}
Json ToValue(const RequestPolicy& spec) {
  Writer writer;
  internal::VisitRequestPolicy(spec, writer);
  return std::move(writer.object);
}
Json ToValue(const DeploymentSpec& spec) {
  Writer writer;
  internal::VisitDeployment(spec, writer);
  return std::move(writer.object);
}

std::string Dump(const Json& json) {
  // Invalid UTF-8 is replaced, since JSON cannot represent it. The declaration
  // reader rejects it earlier, with file and line.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// --- Reading ---------------------------------------------------------------

/// Reads one JSON object field by field and records the first error.
class Reader {
 public:
  Reader(const Json& object, std::string path, std::string* error)
      : object_(object), path_(std::move(path)), error_(error) {
    if (!object.is_object()) {
      Fail("", "an object", object);
    }
  }

  void operator()(const std::string& name, Duration& field) {
    std::int64_t micros = 0;
    const std::string key = name + "_us";
    if (Find(key) == nullptr) {
      return;
    }
    Read(key, micros);
    if (micros < 0 || micros > kMaxMicros) {
      Fail(key, "microseconds from 0 to " + std::to_string(kMaxMicros),
           *Find(key));
      return;
    }
    field = std::chrono::microseconds(micros);
  }
  template <typename T>
  void operator()(const std::string& name, T& field) {
    Read(name, field);
  }

 private:
  // 100 years. The sum of two longer durations could overflow.
  static constexpr std::int64_t kMaxMicros = 3'155'760'000'000'000;

  const Json* Find(const std::string& key) const {
    if (!object_.is_object()) {
      return nullptr;
    }
    const auto it = object_.find(key);
    return it == object_.end() ? nullptr : &*it;
  }

  void Fail(const std::string& key, const std::string& expected,
            const Json& actual) {
    if (error_->empty()) {
      // The value may be an API key.
      *error_ = path_ + key + ": expected " + expected + ", got a JSON " +
                actual.type_name();
    }
  }

  template <typename T>
  void Read(const std::string& key, T& field) {
    const Json* value = Find(key);
    if (value != nullptr) {
      Convert(key, *value, field);
    }
  }

  void Convert(const std::string& key, const Json& value, std::string& field) {
    if (!value.is_string()) {
      Fail(key, "a string", value);
      return;
    }
    field = value.get<std::string>();
  }
  void Convert(const std::string& key, const Json& value, bool& field) {
    if (!value.is_boolean()) {
      Fail(key, "true or false", value);
      return;
    }
    field = value.get<bool>();
  }
  void Convert(const std::string& key, const Json& value, double& field) {
    if (!value.is_number()) {
      Fail(key, "a number", value);
      return;
    }
    field = value.get<double>();
  }
  template <typename T>
  requires std::is_integral_v<T>
  void Convert(const std::string& key, const Json& value, T& field) {
    if (!FitsInteger<T>(value)) {
      Fail(key,
           "an integer from " + std::to_string(std::numeric_limits<T>::min()) +
               " to " + std::to_string(std::numeric_limits<T>::max()),
           value);
      return;
    }
    field = value.get<T>();
  }
  template <typename T>
  static bool FitsInteger(const Json& value) {
    if (value.is_number_unsigned()) {
      return std::in_range<T>(value.get<std::uint64_t>());
    }
    return value.is_number_integer() &&
           std::in_range<T>(value.get<std::int64_t>());
  }
  void Convert(const std::string& key, const Json& value,
               DeploymentKind& field) {
    const auto kind =
        value.is_string()
            ? DeploymentKindFromName(value.get_ref<const std::string&>())
            : std::nullopt;
    if (!kind) {
      Fail(key, "\"model\" or \"service\"", value);
      return;
    }
    field = *kind;
  }
  template <typename T>
  void Convert(const std::string& key, const Json& value,
               std::vector<T>& field) {
    if (!value.is_array()) {
      Fail(key, "an array", value);
      return;
    }
    field.clear();
    for (std::size_t i = 0; i < value.size(); ++i) {
      T item{};
      Convert(key + "[" + std::to_string(i) + "]", value[i], item);
      field.push_back(std::move(item));
    }
  }
  Reader Nested(const std::string& key, const Json& value) {
    return Reader(value, path_ + key + ".", error_);
  }
  void Convert(const std::string& key, const Json& value, ModelSpec& field) {
    internal::VisitModel(field, Nested(key, value));
  }
  void Convert(const std::string& key, const Json& value,
               ClientAccountSpec& field) {
    internal::VisitClientAccount(field, Nested(key, value));
  }
  void Convert(const std::string& key, const Json& value, RoleSpec& field) {
    internal::VisitRoles(field, Nested(key, value));
  }
  void Convert(const std::string& key, const Json& value,
               RequestPolicy& field) {
    internal::VisitRequestPolicy(field, Nested(key, value));
  }
  void Convert(const std::string& key, const Json& value,
               DeploymentSpec& field) {
    internal::VisitDeployment(field, Nested(key, value));
  }

  const Json& object_;
  std::string path_;
  std::string* error_;
};

constexpr char kReadStep[] = "config.read-revision";

Error ReadError(std::string detail) {
  return Error{ErrorCode::kInvalidInput, kReadStep, "", std::move(detail)};
}

bool ParseDigest(const std::string& text, std::uint64_t* digest) {
  constexpr std::size_t kDigits = 16;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, *digest, 16);
  return text.size() == kDigits && parsed.ec == std::errc() &&
         parsed.ptr == end;
}

}  // namespace

std::string ToJson(const DeploymentSpec& spec) { return Dump(ToValue(spec)); }

std::string ToJson(const Revision& revision) {
  Json json = Json::object();
  json["number"] = revision.number;
  json["spec"] = ToValue(revision.spec);
  json["author"] = revision.author;
  json["accepted_at_us"] = revision.accepted_at;
  json["source_version"] = revision.source_version;
  json["digest"] = DigestText(revision.digest);
  json["note"] = revision.note;
  json["nonce"] = revision.nonce;
  return Dump(json);
}

Result<Revision> RevisionFromJson(std::string_view json) {
  const auto parsed = ParseBoundedJson(json, kReadStep, "");
  if (!IsOk(parsed)) {
    return ReadError("expected a revision as JSON: " + ErrorOf(parsed).detail);
  }
  const Json& object = ValueOf(parsed);
  Revision revision;
  std::string error;
  std::string digest = DigestText(0);
  Reader reader(object, "", &error);
  reader("number", revision.number);
  reader("spec", revision.spec);
  reader("author", revision.author);
  reader("accepted_at_us", revision.accepted_at);
  reader("source_version", revision.source_version);
  reader("digest", digest);
  reader("note", revision.note);
  reader("nonce", revision.nonce);
  if (error.empty() && !ParseDigest(digest, &revision.digest)) {
    error = "digest: expected 16 hexadecimal digits, got " +
            std::to_string(digest.size()) + " other bytes";
  }
  if (!error.empty()) {
    return ReadError(std::move(error));
  }
  return revision;
}

std::uint64_t SpecDigest(const DeploymentSpec& spec) {
  const std::string json = ToJson(spec);
  return XXH64(json.data(), json.size(), 0);
}

std::string DigestText(std::uint64_t digest) {
  constexpr char kHexDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (auto it = text.rbegin(); it != text.rend(); ++it) {
    *it = kHexDigits[digest & 0xF];
    digest >>= 4;
  }
  return text;
}

}  // namespace indigolead
