#include "standins/engine_model.h"

#include <xxhash.h>

#include <cctype>
#include <nlohmann/json.hpp>

#include "standins/run_log.h"

namespace indigolead::standins {
namespace {

using Json = nlohmann::json;

constexpr std::uint32_t kMaxTokens = 1000000;

std::string JoinMessages(const Json& json) {
  std::string prompt;
  for (const auto& message : json.value("messages", Json::array())) {
    if (message.is_object() && message.contains("content") &&
        message["content"].is_string()) {
      prompt += message["content"].get<std::string>() + "\n";
    }
  }
  return prompt;
}

/// Returns the names of the full blocks of `prompt`. Each hash is seeded with
/// the preceding block's name, the first with the hash of the model name.
std::vector<std::string> BlockNames(const std::string& model,
                                    const std::string& prompt) {
  std::vector<std::string> names;
  std::uint64_t hash = XXH64(model.data(), model.size(), 0);
  for (std::size_t at = 0; at + PrefixCache::kBlockBytes <= prompt.size();
       at += PrefixCache::kBlockBytes) {
    hash = XXH64(prompt.data() + at, PrefixCache::kBlockBytes, hash);
    names.push_back(ToHexDigits(hash));
  }
  return names;
}

}  // namespace

std::optional<CompletionRequest> ParseCompletion(bool chat,
                                                 const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  CompletionRequest request;
  request.chat = chat;
  request.stream = json.value("stream", false);
  request.model = json.value("model", "");
  if (chat) {
    request.prompt = JoinMessages(json);
  } else if (json.contains("prompt") && json["prompt"].is_string()) {
    request.prompt = json["prompt"].get<std::string>();
  }
  request.max_tokens =
      std::min<std::uint32_t>(json.value("max_tokens", 16U), kMaxTokens);
  return request;
}

std::uint32_t CountTokens(const std::string& prompt) {
  std::uint32_t words = 0;
  bool in_word = false;
  for (const char c : prompt) {
    const bool space = std::isspace(static_cast<unsigned char>(c)) != 0;
    words += !space && !in_word ? 1 : 0;
    in_word = !space;
  }
  return words;
}

CompletionResponse::CompletionResponse(const CompletionRequest& request,
                                       std::string id,
                                       std::uint32_t cached_tokens)
    : request_(request),
      id_(std::move(id)),
      hash_(HashHex(request.prompt).substr(0, 8)),
      prompt_tokens_(CountTokens(request.prompt)),
      cached_tokens_(std::min(cached_tokens, prompt_tokens_)) {}

std::string CompletionResponse::Token(std::uint32_t index) const {
  return "w" + std::to_string(index) + "-" + hash_;
}

std::string CompletionResponse::Head(const char* object) const {
  return "{\"id\":" + Json(id_).dump() + ",\"object\":\"" + object +
         "\",\"model\":" + Json(request_.model).dump() +
         ",\"choices\":[{\"index\":0,";
}

std::string CompletionResponse::TokenEvent(std::uint32_t index) const {
  const std::string text = Token(index) + " ";
  if (request_.chat) {
    return Head("chat.completion.chunk") + "\"delta\":{\"content\":\"" + text +
           "\"},\"finish_reason\":null}]}";
  }
  return Head("text_completion") + "\"text\":\"" + text +
         "\",\"finish_reason\":null}]}";
}

std::string CompletionResponse::Usage() const {
  return Json{{"prompt_tokens", prompt_tokens_},
              {"completion_tokens", request_.max_tokens},
              {"total_tokens", prompt_tokens_ + request_.max_tokens},
              {"prompt_tokens_details", {{"cached_tokens", cached_tokens_}}}}
      .dump();
}

std::string CompletionResponse::FinalEvent() const {
  const std::string tail =
      ",\"finish_reason\":\"length\"}],\"usage\":" + Usage() + "}";
  if (request_.chat) {
    return Head("chat.completion.chunk") + "\"delta\":{}" + tail;
  }
  return Head("text_completion") + "\"text\":\"\"" + tail;
}

std::string CompletionResponse::FullJson() const {
  std::string text;
  for (std::uint32_t i = 0; i < request_.max_tokens; ++i) {
    text += Token(i) + " ";
  }
  const std::string tail =
      ",\"finish_reason\":\"length\"}],\"usage\":" + Usage() + "}";
  if (request_.chat) {
    return Head("chat.completion") +
           "\"message\":{\"role\":\"assistant\",\"content\":\"" + text + "\"}" +
           tail;
  }
  return Head("text_completion") + "\"text\":\"" + text + "\"" + tail;
}

std::size_t PrefixCache::CachedBytes(const std::string& model,
                                     const std::string& prompt) const {
  std::size_t bytes = 0;
  for (const auto& name : BlockNames(model, prompt)) {
    if (!last_use_.contains(name)) {
      break;
    }
    bytes += kBlockBytes;
  }
  return bytes;
}

CacheEvent PrefixCache::Insert(const std::string& model,
                               const std::string& prompt) {
  CacheEvent event;
  for (const auto& name : BlockNames(model, prompt)) {
    if (!last_use_.contains(name)) {
      event.added.push_back(name);
    }
    last_use_[name] = ++uses_;
    order_.emplace_back(uses_, name);
  }
  // `order_` has one entry per use. Entries superseded by a later use of the
  // same block are skipped.
  while (!order_.empty() &&
         (last_use_.size() > max_blocks_ || order_.size() > 4 * max_blocks_)) {
    const auto [use, name] = order_.front();
    order_.pop_front();
    const auto it = last_use_.find(name);
    if (it != last_use_.end() && it->second == use) {
      last_use_.erase(it);
      event.removed.push_back(name);
    }
  }
  if (!event.added.empty() || !event.removed.empty()) {
    event.sequence = ++sequence_;
  }
  return event;
}

}  // namespace indigolead::standins
