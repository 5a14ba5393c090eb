#ifndef INDIGOLEAD_CORE_ADMISSION_FAIR_QUEUE_H_
#define INDIGOLEAD_CORE_ADMISSION_FAIR_QUEUE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace indigolead {

/// Request waiting to be dispatched.
struct QueuedRequest {
  RequestId id;
  std::uint32_t account = 0;  ///< Index of the client account.
  double work = 0;            ///< Tokens of work.
  TimePoint deadline{};
  Duration service{0};  ///< Expected time from dispatch to end.

  friend bool operator==(const QueuedRequest&, const QueuedRequest&) = default;
};

/// Queues requests by client account and selects the next one to dispatch.
///
/// Higher priorities go first. Each lower priority with queued requests
/// receives a minimum share of the work dispatched at higher priorities, so
/// that it is never starved. Within a priority, accounts share by weight
/// (start-time fair queueing). Shares are counted in tokens of work, because
/// counting requests would give most of the engines to an account with long
/// prompts.
///
/// The queue is bounded in requests and in work. It allocates memory only in
/// the constructor.
class FairQueue {
 public:
  struct Options {
    std::uint32_t max_requests = 1024;
    double max_work = 4 << 20;
    std::uint32_t max_accounts = 256;
    double min_share = 0.05;
  };

  explicit FairQueue(const Options& options);

  /// Sets priority and weight of the account at `index`, which must be less
  /// than `max_accounts`.
  void SetAccount(std::uint32_t index, int priority, std::uint32_t weight);

  /// Returns true if a request of `work` fits.
  bool HasRoom(double work) const;

  /// Appends `request`, for which `HasRoom` must be true.
  void Push(const QueuedRequest& request);

  /// Removes and returns the next request to dispatch, if any.
  std::optional<QueuedRequest> Pop();

  /// Evicts one request in favor of a request of `account` with `work`. Among
  /// the accounts of the lowest priority, the one with the most queued work
  /// relative to its weight loses its newest request, provided that `account`
  /// has a higher priority, or the same priority and less queued work relative
  /// to its weight. Returns the evicted request, if any.
  std::optional<QueuedRequest> EvictFor(std::uint32_t account, double work);

  /// Removes and returns the request with `id`, if it is queued.
  std::optional<QueuedRequest> Remove(const RequestId& id);

  /// Removes each request for which `should_remove` returns true and passes it
  /// to `removed`.
  void RemoveIf(const std::function<bool(const QueuedRequest&)>& should_remove,
                const std::function<void(const QueuedRequest&)>& removed);

  /// Returns the expected work dispatched before a new request of `account`, if
  /// no requests of a higher priority arrive.
  double WorkAhead(std::uint32_t account) const;

  /// Returns the number of queued requests of `account`.
  std::uint32_t CountOf(std::uint32_t account) const {
    return accounts_[account].count;
  }

  std::uint32_t size() const { return size_; }
  double work() const { return work_; }

 private:
  static constexpr std::uint32_t kNone = UINT32_MAX;

  struct Node {
    QueuedRequest request;
    std::uint32_t next = kNone;
    std::uint32_t previous = kNone;
  };
  struct Account {
    int priority = 0;
    double weight = 1;
    double work = 0;
    double virtual_time = 0;  ///< Work dispatched divided by weight.
    std::uint32_t count = 0;
    std::uint32_t head = kNone;
    std::uint32_t tail = kNone;
  };
  struct PriorityClass {
    int priority = 0;
    double virtual_time = 0;
    double min_share_credit = 0;
    std::uint32_t count = 0;  ///< Queued requests.
  };

  PriorityClass& ClassOf(int priority);
  std::uint32_t NextAccountOf(int priority) const;
  std::uint32_t NextAccount();
  void CreditLowerPriorities(const PriorityClass& served, double work);
  QueuedRequest Unlink(std::uint32_t node_index);

  Options options_;
  std::vector<Node> nodes_;
  std::vector<Account> accounts_;
  std::vector<std::uint32_t>
      active_accounts_;                 ///< Accounts with queued requests.
  std::vector<PriorityClass> classes_;  ///< Highest priority first.
  std::uint32_t free_head_ = kNone;
  std::uint32_t size_ = 0;
  double work_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_FAIR_QUEUE_H_
