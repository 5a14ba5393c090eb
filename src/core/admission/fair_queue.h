#ifndef INDIGOLEAD_CORE_ADMISSION_FAIR_QUEUE_H_
#define INDIGOLEAD_CORE_ADMISSION_FAIR_QUEUE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace indigolead {

/// A request that waits to be dispatched.
struct QueuedRequest {
  RequestId id;
  std::uint32_t account = 0;  ///< Index of the client account.
  double work = 0;            ///< Tokens of work.
  TimePoint deadline{};
  Duration service{0};  ///< Time it takes once dispatched, as expected.

  friend bool operator==(const QueuedRequest&, const QueuedRequest&) = default;
};

/// Queues requests per client account and picks the next one.
///
/// Between priorities the higher goes first, but each lower one that waits
/// earns a floor, a share of the work dispatched above it, so that it is slow
/// under a flood from above and never stopped. Within a priority, accounts
/// share by weight in tokens of work (start-time fair queueing): counted in
/// requests, an account with long prompts would take most of the engines.
///
/// Bounded in requests and in work. Allocates only in the constructor.
class FairQueue {
 public:
  struct Options {
    std::uint32_t max_requests = 1024;
    double max_work = 4 << 20;
    std::uint32_t max_accounts = 256;
    double floor_share = 0.05;
  };

  explicit FairQueue(const Options& options);

  /// Sets the rights of the account at `index`, below `max_accounts`.
  void SetAccount(std::uint32_t index, int priority, std::uint32_t weight);

  /// Returns true if a request of `work` fits.
  bool HasRoom(double work) const;

  /// Appends a request, which must fit.
  void Push(const QueuedRequest& request);

  /// Removes the request to dispatch next, or returns nothing.
  std::optional<QueuedRequest> Pop();

  /// Removes the newest request of the account that holds the largest queue
  /// for its weight, among those of the lowest priority, if `account` has the
  /// better claim to that place. Returns nothing if it has not.
  std::optional<QueuedRequest> MakeRoomFor(std::uint32_t account, double work);

  /// Removes the request named `id`, if it waits.
  std::optional<QueuedRequest> Remove(const RequestId& id);

  /// Removes every request that `is_hopeless` and gives it to `removed`.
  void RemoveIf(const std::function<bool(const QueuedRequest&)>& is_hopeless,
                const std::function<void(const QueuedRequest&)>& removed);

  /// Returns the work that will be dispatched before a new request of
  /// `account`, if nothing of a higher priority arrives.
  double WorkAhead(std::uint32_t account) const;

  /// Returns the number of requests that `account` has waiting.
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
    double virtual_time = 0;  ///< Work dispatched over weight.
    std::uint32_t count = 0;
    std::uint32_t head = kNone;
    std::uint32_t tail = kNone;
  };
  struct PriorityClass {
    int priority = 0;
    double virtual_time = 0;
    double floor_credit = 0;
    std::uint32_t count = 0;  ///< Requests waiting.
  };

  PriorityClass& ClassOf(int priority);
  std::uint32_t NextAccountOf(int priority) const;
  std::uint32_t NextAccount();
  void PayFloors(const PriorityClass& served, double work);
  QueuedRequest Unlink(std::uint32_t place);

  Options options_;
  std::vector<Node> nodes_;
  std::vector<Account> accounts_;
  std::vector<std::uint32_t> active_;   ///< Accounts that have requests.
  std::vector<PriorityClass> classes_;  ///< Highest priority first.
  std::uint32_t free_ = kNone;
  std::uint32_t size_ = 0;
  double work_ = 0;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_ADMISSION_FAIR_QUEUE_H_
