#include "core/request/completion_body.h"

#include <nlohmann/json.hpp>

namespace indigolead {
namespace {

using Json = nlohmann::json;

/// Reads the fields of the outermost object and skips nested values.
class FieldReader : public nlohmann::json_sax<Json> {
 public:
  explicit FieldReader(CompletionBody* body) : body_(body) {}

  bool is_object() const { return is_object_; }

  bool null() override { return true; }
  bool boolean(bool value) override {
    if (depth_ == 1 && key_ == "stream") {
      body_->streamed = value;
    }
    return depth_ > 0;
  }
  bool number_integer(number_integer_t) override { return depth_ > 0; }
  bool number_unsigned(number_unsigned_t value) override {
    const bool is_token_limit =
        key_ == "max_tokens" || key_ == "max_completion_tokens";
    if (depth_ == 1 && is_token_limit) {
      body_->max_tokens = value;
    }
    return depth_ > 0;
  }
  bool number_float(number_float_t, const string_t&) override {
    return depth_ > 0;
  }
  bool string(string_t& value) override {
    if (depth_ == 1 && key_ == "model") {
      body_->model = value;
    }
    return depth_ > 0;
  }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override {
    is_object_ = is_object_ || depth_ == 0;
    return Enter();
  }
  bool key(string_t& value) override {
    if (depth_ == 1) {
      key_ = value;
    }
    return true;
  }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t) override { return depth_ > 0 && Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  /// Deeper nesting is rejected: no model accepts it and it costs memory.
  static constexpr int kMaxDepth = 64;

  bool Enter() { return ++depth_ <= kMaxDepth; }
  bool Leave() {
    --depth_;
    return true;
  }

  CompletionBody* body_;
  std::string key_;
  int depth_ = 0;
  bool is_object_ = false;
};

}  // namespace

std::optional<CompletionBody> ReadCompletionBody(std::string_view body) {
  CompletionBody result;
  FieldReader reader(&result);
  if (!Json::sax_parse(body.begin(), body.end(), &reader) ||
      !reader.is_object()) {
    return std::nullopt;
  }
  return result;
}

}  // namespace indigolead
