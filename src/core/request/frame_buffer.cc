#include "core/request/frame_buffer.h"

#include <algorithm>
#include <utility>

namespace indigolead {
namespace {

/// Memory cost of a frame in addition to its data and headers.
constexpr std::uint64_t kFrameOverheadBytes = sizeof(AttemptFrame);

std::uint64_t CostOf(const AttemptFrame& frame) {
  std::uint64_t cost = kFrameOverheadBytes + frame.data.size();
  for (const auto& [name, value] : frame.headers) {
    cost += name.size() + value.size();
  }
  return cost;
}

}  // namespace

FrameBuffer::FrameBuffer(std::uint64_t initial_credit,
                         std::uint64_t* total_held_bytes)
    : initial_credit_(initial_credit),
      total_held_bytes_(total_held_bytes),
      checksum_(XXH64_createState(), &XXH64_freeState) {
  XXH64_reset(checksum_.get(), 0);
}

void FrameBuffer::AppendHead(int status, HeaderList headers) {
  AttemptFrame frame;
  frame.kind = AttemptFrame::Kind::kHead;
  frame.status = status;
  frame.headers = std::move(headers);
  Append(std::move(frame));
}

void FrameBuffer::AppendChunk(std::string&& data) {
  XXH64_update(checksum_.get(), data.data(), data.size());
  body_bytes_ += data.size();
  AttemptFrame frame;
  frame.kind = AttemptFrame::Kind::kChunk;
  frame.data = std::move(data);
  Append(std::move(frame));
}

void FrameBuffer::AppendEnd(RunOutcome outcome, std::string detail) {
  AttemptFrame frame;
  frame.kind = AttemptFrame::Kind::kEnd;
  frame.outcome = outcome;
  frame.data = std::move(detail);
  frame.body_bytes = body_bytes_;
  frame.body_checksum = XXH64_digest(checksum_.get());
  Append(std::move(frame));
}

void FrameBuffer::Append(AttemptFrame frame) {
  frame.sequence = next_sequence();
  const auto cost = CostOf(frame);
  held_bytes_ += cost;
  *total_held_bytes_ += cost;
  frames_.push_back({std::move(frame), body_bytes_});
}

void FrameBuffer::OnConsumed(std::uint64_t bytes) {
  // The caller cannot consume more than was sent, so a surplus comes from a
  // repeated credit message.
  consumed_ = std::min(consumed_ + bytes, sent_bytes_);
  DropDelivered();
}

void FrameBuffer::DropDelivered() {
  while (!frames_.empty() && first_sequence_ < next_to_send_) {
    const HeldFrame& it = frames_.front();
    const bool arrived = it.frame.kind == AttemptFrame::Kind::kHead
                             ? consumed_ > 0
                             : it.frame.kind == AttemptFrame::Kind::kChunk &&
                                   consumed_ >= it.body_end;
    if (!arrived) {
      return;
    }
    DropFirst();
  }
}

void FrameBuffer::DropFirst() {
  const auto cost = CostOf(frames_.front().frame);
  held_bytes_ -= cost;
  *total_held_bytes_ -= cost;
  frames_.pop_front();
  ++first_sequence_;
}

bool FrameBuffer::Rewind(std::uint64_t sequence, std::uint64_t granted) {
  if (sequence < first_sequence_ || sequence > next_sequence()) {
    return false;
  }
  std::uint64_t arrived = body_bytes_;
  if (sequence < next_sequence()) {
    const HeldFrame& next = frames_[sequence - first_sequence_];
    arrived = next.frame.kind == AttemptFrame::Kind::kChunk
                  ? next.body_end - next.frame.data.size()
                  : next.body_end;
  }
  const std::uint64_t consumed =
      granted > initial_credit_ ? granted - initial_credit_ : 0;
  consumed_ =
      std::min(std::max(consumed_, granted > 0 ? consumed : arrived), arrived);
  next_to_send_ = sequence;
  const bool ended =
      !frames_.empty() && frames_.back().frame.kind == AttemptFrame::Kind::kEnd;
  end_sent_ = ended && sequence == next_sequence();
  DropDelivered();
  return true;
}

bool FrameBuffer::Send(const std::function<bool(const AttemptFrame&)>& send) {
  const std::uint64_t limit = initial_credit_ + consumed_;
  while (next_to_send_ < next_sequence()) {
    const HeldFrame& it = frames_[next_to_send_ - first_sequence_];
    // A chunk may exceed the remaining credit; otherwise a window smaller than
    // one chunk would stall the stream forever.
    const bool is_chunk = it.frame.kind == AttemptFrame::Kind::kChunk;
    if (is_chunk && it.body_end - it.frame.data.size() >= limit) {
      return true;
    }
    if (!send(it.frame)) {
      return false;
    }
    ++next_to_send_;
    sent_bytes_ = std::max(sent_bytes_, it.body_end);
    end_sent_ = end_sent_ || it.frame.kind == AttemptFrame::Kind::kEnd;
  }
  return true;
}

void FrameBuffer::Clear() {
  next_to_send_ = next_sequence();
  while (!frames_.empty()) {
    DropFirst();
  }
}

}  // namespace indigolead
