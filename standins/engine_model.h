#ifndef INDIGOLEAD_STANDINS_ENGINE_MODEL_H_
#define INDIGOLEAD_STANDINS_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace indigolead::standins {

/// Completion request, as far as the engine stand-in reads it.
struct CompletionRequest {
  bool chat = false;
  bool stream = false;
  std::string model;
  std::string prompt;  ///< Contents of all messages of a chat, by lines.
  std::uint32_t max_tokens = 16;
};

/// Returns the request written as `body`, or nothing if it is not one.
std::optional<CompletionRequest> ParseCompletion(bool chat,
                                                 const std::string& body);

/// Returns the number of tokens of `prompt`: its words.
std::uint32_t CountTokens(const std::string& prompt);

/// Makes the answer to one request: a function of its prompt alone, so that an
/// answer given to the wrong caller shows.
class Answer {
 public:
  Answer(const CompletionRequest& request, std::string id,
         std::uint32_t cached_tokens);

  /// Returns token `index`: "w<index>-<8 hex digits of the prompt's hash>".
  std::string Token(std::uint32_t index) const;

  /// Returns the JSON of the event that carries token `index`.
  std::string TokenEvent(std::uint32_t index) const;

  /// Returns the JSON of the event after the last token, with the usage.
  std::string FinalEvent() const;

  /// Returns the JSON of the whole answer.
  std::string Whole() const;

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

/// Change of the prompt cache.
struct CacheEvent {
  std::uint64_t sequence = 0;
  std::vector<std::string> added;
  std::vector<std::string> removed;
};

/// Blocks of prompt prefixes kept in limited memory, oldest use out first.
///
/// A block is named by its XXH64, seeded with the name of the block before it
/// and, for the first, with the XXH64 of the model's name. So two prompts share
/// the blocks of their common prefix and no others.
class PrefixCache {
 public:
  static constexpr std::size_t kBlockBytes = 256;

  explicit PrefixCache(std::size_t max_blocks) : max_blocks_(max_blocks) {}

  /// Returns how many leading bytes of `prompt` are cached.
  std::size_t CachedBytes(const std::string& model,
                          const std::string& prompt) const;

  /// Keeps the blocks of `prompt`, and returns what changed.
  CacheEvent Keep(const std::string& model, const std::string& prompt);

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
