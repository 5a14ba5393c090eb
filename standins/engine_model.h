#ifndef INDIGOLEAD_STANDINS_ENGINE_MODEL_H_
#define INDIGOLEAD_STANDINS_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace indigolead::standins {

/// Fields of a completion request that the engine stand-in reads.
struct CompletionRequest {
  bool chat = false;
  bool stream = false;
  std::string model;
  std::string prompt;  ///< For a chat, all message contents, one per line.
  std::uint32_t max_tokens = 16;
};

/// Parses `body`. Returns `std::nullopt` if it is not a completion request.
std::optional<CompletionRequest> ParseCompletion(bool chat,
                                                 const std::string& body);

/// Returns the number of tokens in `prompt`; each word counts as one token.
std::uint32_t CountTokens(const std::string& prompt);

/// Generates the response to one request. The text depends on the prompt alone,
/// so a test can detect a response delivered to the wrong caller.
class CompletionResponse {
 public:
  CompletionResponse(const CompletionRequest& request, std::string id,
                     std::uint32_t cached_tokens);

  /// Returns token `index`: "w<index>-<8 hex digits of the prompt's hash>".
  std::string Token(std::uint32_t index) const;

  /// Returns the JSON of the stream event for token `index`.
  std::string TokenEvent(std::uint32_t index) const;

  /// Returns the JSON of the final stream event, which carries the usage.
  std::string FinalEvent() const;

  /// Returns the JSON of the complete, non-streamed response.
  std::string FullJson() const;

  std::uint32_t prompt_tokens() const { return prompt_tokens_; }

 private:
  std::string Usage() const;
  std::string Head(const char* object) const;

  CompletionRequest request_;
  std::string id_;
  std::string hash_;
  std::uint32_t prompt_tokens_ = 0;
  std::uint32_t cached_tokens_ = 0;
};

/// Blocks added to and evicted from the prefix cache by one prompt.
struct CacheEvent {
  std::uint64_t sequence = 0;
  std::vector<std::string> added;
  std::vector<std::string> removed;
};

/// Prefix cache of fixed-size prompt blocks with LRU eviction.
///
/// A block's name is its XXH64, seeded with the name of the preceding block;
/// the first block is seeded with the XXH64 of the model name. Two prompts
/// therefore share exactly the blocks of their common prefix.
class PrefixCache {
 public:
  static constexpr std::size_t kBlockBytes = 256;

  explicit PrefixCache(std::size_t max_blocks) : max_blocks_(max_blocks) {}

  /// Returns the number of leading bytes of `prompt` that are cached.
  std::size_t CachedBytes(const std::string& model,
                          const std::string& prompt) const;

  /// Caches the blocks of `prompt` and returns the blocks added and evicted.
  CacheEvent Insert(const std::string& model, const std::string& prompt);

  std::size_t blocks() const { return last_use_.size(); }

 private:
  std::size_t max_blocks_;
  std::uint64_t uses_ = 0;
  std::uint64_t sequence_ = 0;
  std::unordered_map<std::string, std::uint64_t> last_use_;
  std::deque<std::pair<std::uint64_t, std::string>> order_;
};

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_ENGINE_MODEL_H_
