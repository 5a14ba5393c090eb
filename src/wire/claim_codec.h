#ifndef INDIGOLEAD_WIRE_CLAIM_CODEC_H_
#define INDIGOLEAD_WIRE_CLAIM_CODEC_H_

#include <optional>
#include <string>

#include "claims.pb.h"
#include "core/claims/claim_client.h"
#include "core/claims/claim_home.h"
#include "core/claims/slot_map.h"

namespace indigolead {

/// @name Conversion of claims to and from messages and store objects.
/// The `Read` and `Decode` functions return nullopt for a malformed message.
/// @{
void FillClaimRequest(const SendClaimQuery& query, wire::ClaimRequest* out);
std::optional<ClaimQuery> ReadClaimRequest(const wire::ClaimRequest& message,
                                           const Incarnation& entry);

void FillClaimReply(const SendDecision& decision, std::uint64_t epoch,
                    wire::ClaimReply* out);
std::optional<ClaimDecided> ReadClaimReply(const wire::ClaimReply& message);

void FillClaimOutcome(const SendEndReport& report, wire::ClaimOutcome* out);
std::optional<ClaimEndReport> ReadClaimOutcome(
    const wire::ClaimOutcome& message, const Incarnation& entry);

void FillJournalRef(const JournalRef& ref, wire::JournalRef* out);
std::optional<JournalRef> ReadJournalRef(const wire::JournalRef& message);

wire::WitnessMark ToWire(WitnessMark mark);
WitnessMark FromWire(wire::WitnessMark mark);

void FillSlotMap(const std::string& deployment, const SlotMap& map,
                 wire::SlotMap* out);
std::optional<SlotMap> ReadSlotMap(const wire::SlotMap& message);

std::string EncodeSegment(const JournalSegment& segment);
std::optional<JournalSegment> DecodeSegment(const std::string& value);
/// @}

/// Returns the key prefix that all segments of a journal share.
std::string JournalPrefix(const JournalRef& ref);

/// Returns the key of one segment. Keys sort in the order of their numbers.
std::string SegmentKey(const JournalRef& ref, std::uint64_t number);

}  // namespace indigolead

#endif  // INDIGOLEAD_WIRE_CLAIM_CODEC_H_
