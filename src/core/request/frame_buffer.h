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

/// Numbers the frames of one answer and holds them until the caller has
/// consumed them.
///
/// Credit bounds the body bytes sent: the initial credit plus every byte that
/// the caller consumed. A chunk is dropped once the consumed bytes cover it,
/// and the head once any body byte was consumed, which proves that the frame
/// arrived. The end frame is dropped only with the whole buffer.
class FrameBuffer {
 public:
  /// Also adds its size to `total_held_bytes`, which must outlive the buffer.
  FrameBuffer(std::uint64_t initial_credit, std::uint64_t* total_held_bytes);
  ~FrameBuffer() { Clear(); }
  FrameBuffer(const FrameBuffer&) = delete;
  FrameBuffer& operator=(const FrameBuffer&) = delete;

  void AppendHead(int status, HeaderList headers);
  void AppendChunk(std::string&& data);
  void AppendEnd(RunOutcome outcome, std::string detail);

  /// Records that the caller consumed `bytes` more.
  void OnConsumed(std::uint64_t bytes);

  /// Resumes sending at `sequence`. Returns false if that frame is no longer
  /// held, or if `sequence` is beyond the next one. `granted` is the total
  /// credit; 0 grants the initial credit from `sequence` on.
  bool Rewind(std::uint64_t sequence, std::uint64_t granted);

  /// Passes frames to `send` in order while credit remains and `send` returns
  /// true. Returns false if `send` rejected a frame.
  bool Send(const std::function<bool(const AttemptFrame&)>& send);

  /// Drops all frames; the answer cannot be resumed afterwards.
  void Clear();

  std::uint64_t held_bytes() const { return held_bytes_; }
  std::uint64_t next_sequence() const {
    return first_sequence_ + frames_.size();
  }
  bool end_sent() const { return end_sent_; }

 private:
  struct HeldFrame {
    AttemptFrame frame;
    std::uint64_t body_end = 0;  ///< Body bytes up to the frame's end.
  };

  void Append(AttemptFrame frame);
  void DropDelivered();
  void DropFirst();

  std::uint64_t initial_credit_;
  std::uint64_t consumed_ = 0;
  std::uint64_t body_bytes_ = 0;
  std::uint64_t sent_bytes_ = 0;  ///< Highest `body_end` sent.
  std::uint64_t held_bytes_ = 0;
  std::uint64_t* total_held_bytes_;
  std::uint64_t first_sequence_ = 0;  ///< Sequence of the oldest held frame.
  std::uint64_t next_to_send_ = 0;
  bool end_sent_ = false;
  std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> checksum_;
  std::deque<HeldFrame> frames_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_FRAME_BUFFER_H_
