#ifndef INDIGOLEAD_CORE_PLACEMENT_ROLE_LOAD_H_
#define INDIGOLEAD_CORE_PLACEMENT_ROLE_LOAD_H_

namespace indigolead {

/// Capacity of one engine of a service, as stated by its operator.
struct EngineLimits {
  double decode_slots = 1;          ///< Concurrent decodes.
  double memory_tokens = 0;         ///< KV cache capacity; 0 if unknown.
  double transfer_s_per_token = 0;  ///< KV cache transfer; 0 if unknown.

  friend bool operator==(const EngineLimits&, const EngineLimits&) = default;
};

/// Load of a service's prefill and decode work, averaged over time, in
/// engine-seconds. Only the ratio matters, so an entry process that sees part
/// of the traffic can measure it.
struct RoleLoad {
  double prefill_load = 0;
  double decode_load = 0;

  friend bool operator==(const RoleLoad&, const RoleLoad&) = default;
};

/// Resources used by decodes, one sum for each limit of an engine.
struct DecodeWork {
  double slot_s = 0;          ///< Occupied slots times seconds.
  double memory_token_s = 0;  ///< KV cache tokens held times seconds.
  double transferred_tokens = 0;

  friend bool operator==(const DecodeWork&, const DecodeWork&) = default;
};

/// Returns the engine seconds that `work` takes, by its most constrained limit.
/// An engine with free slots accepts no more decodes if its memory is full or
/// its link is busy.
double EngineSeconds(const DecodeWork& work, const EngineLimits& limits);

/// Returns the load assumed for a service before its traffic is measured.
RoleLoad AssumedRoleLoad(const EngineLimits& limits);

/// Returns the share of engines, from 0 to 1, that should have the decode role
/// so that both roles are equally utilized.
///
/// An engine prefills one prompt at a time but runs as many decodes at once as
/// it has slots. For the same model a fleet needs a twentieth of its engines
/// for decode with 128 slots each, and half of them with 8.
double DecodeShare(const RoleLoad& load);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_PLACEMENT_ROLE_LOAD_H_
