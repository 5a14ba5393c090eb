#ifndef INDIGOLEAD_CORE_REQUEST_FRAME_BUFFER_H_
#define INDIGOLEAD_CORE_REQUEST_FRAME_BUFFER_H_

#include <xxhash.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "core/request/attempt_types.h"

namespace indigolead {

/// Numbers the frames of one answer and holds them until the caller took them.
///
/// Credit bounds what may be on its way: the initial credit plus every byte
/// that the caller took. A frame is dropped once the bytes taken cover it and
/// something after its place was taken, which proves that it arrived; the end
/// frame is dropped only with the whole buffer.
class FrameBuffer {
 public:
  /// Adds what it holds to `total_held_bytes` too, which must outlive it.
  FrameBuffer(std::uint64_t initial_credit, std::uint64_t* total_held_bytes);
  ~FrameBuffer() { Clear(); }
  FrameBuffer(const FrameBuffer&) = delete;
  FrameBuffer& operator=(const FrameBuffer&) = delete;

  void AppendHead(int status, HeaderList headers);
  void AppendChunk(std::string&& data);
  void AppendEnd(RunOutcome outcome, std::string detail);

  /// Adds bytes that the caller took.
  void Take(std::uint64_t bytes);

  /// Sends again from `sequence` on. Returns false if a frame from there on is
  /// no longer held, or `sequence` was never reached. `granted` is the sum of
  /// all credit, or 0 to let the receiver have one window from `sequence` on.
  bool Rewind(std::uint64_t sequence, std::uint64_t granted);

  /// Hands frames to `send` in order while credit lasts and it returns true.
  /// Returns false if `send` refused one.
  bool Send(const std::function<bool(const AttemptFrame&)>& send);

  /// Drops everything held; it cannot be resumed any more.
  void Clear();

  std::uint64_t held_bytes() const { return held_bytes_; }
  std::uint64_t next_sequence() const { return first_ + frames_.size(); }
  bool end_sent() const { return end_sent_; }

 private:
  struct Held {
    AttemptFrame frame;
    std::uint64_t body_end = 0;  ///< Bytes of the body up to its end.
  };

  void Append(AttemptFrame frame);
  void DropTaken();
  void DropFirst();

  std::uint64_t initial_credit_;
  std::uint64_t taken_ = 0;
  std::uint64_t body_bytes_ = 0;
  std::uint64_t sent_bytes_ = 0;  ///< Most of them that were ever sent.
  std::uint64_t held_bytes_ = 0;
  std::uint64_t* total_held_bytes_;
  std::uint64_t first_ = 0;  ///< Sequence of the oldest frame held.
  std::uint64_t next_to_send_ = 0;
  bool end_sent_ = false;
  std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> checksum_;
  std::deque<Held> frames_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_FRAME_BUFFER_H_
