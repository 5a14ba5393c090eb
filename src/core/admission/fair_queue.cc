#include "core/admission/fair_queue.h"

#include <algorithm>

namespace indigolead {

FairQueue::FairQueue(const Options& options)
    : options_(options),
      nodes_(options.max_requests),
      accounts_(options.max_accounts) {
  active_accounts_.reserve(options.max_accounts);
  classes_.reserve(options.max_accounts + 1);
  for (std::uint32_t it = options.max_requests; it > 0; --it) {
    nodes_[it - 1].next = free_head_;
    free_head_ = it - 1;
  }
}

FairQueue::PriorityClass& FairQueue::ClassOf(int priority) {
  auto it = classes_.begin();
  while (it != classes_.end() && it->priority > priority) {
    ++it;
  }
  if (it == classes_.end() || it->priority != priority) {
    it = classes_.insert(it, PriorityClass{priority, 0, 0, 0});
  }
  return *it;
}

void FairQueue::SetAccount(std::uint32_t index, int priority,
                           std::uint32_t weight) {
  Account& account = accounts_[index];
  if (account.priority != priority && account.count > 0) {
    ClassOf(account.priority).count -= account.count;
    ClassOf(priority).count += account.count;
  }
  account.priority = priority;
  account.weight = std::max<std::uint32_t>(weight, 1);
  // Removes classes without accounts, so that repeated reconfiguration does not
  // make their number exceed that of the accounts.
  std::erase_if(classes_, [this](const PriorityClass& it) {
    return it.count == 0 && std::none_of(accounts_.begin(), accounts_.end(),
                                         [&it](const Account& other) {
                                           return other.priority == it.priority;
                                         });
  });
}

bool FairQueue::HasRoom(double work) const {
  // A request larger than `max_work` is accepted into an empty queue; otherwise
  // it could never run.
  return size_ < options_.max_requests &&
         (size_ == 0 || work_ + work <= options_.max_work);
}

void FairQueue::Push(const QueuedRequest& request) {
  Account& account = accounts_[request.account];
  PriorityClass& priority = ClassOf(account.priority);
  if (account.count == 0) {
    active_accounts_.push_back(request.account);
    // An account that was idle starts at the virtual time of its class. Idle
    // time earns no credit with which it could starve the others.
    account.virtual_time =
        std::max(account.virtual_time, priority.virtual_time);
  }
  const std::uint32_t node_index = free_head_;
  Node& node = nodes_[node_index];
  free_head_ = node.next;
  node = Node{request, kNone, account.tail};
  if (account.tail == kNone) {
    account.head = node_index;
  } else {
    nodes_[account.tail].next = node_index;
  }
  account.tail = node_index;
  account.work += request.work;
  ++account.count;
  ++priority.count;
  ++size_;
  work_ += request.work;
}

QueuedRequest FairQueue::Unlink(std::uint32_t node_index) {
  Node& node = nodes_[node_index];
  const QueuedRequest request = node.request;
  Account& account = accounts_[request.account];
  (node.previous == kNone ? account.head : nodes_[node.previous].next) =
      node.next;
  (node.next == kNone ? account.tail : nodes_[node.next].previous) =
      node.previous;
  node.next = free_head_;
  free_head_ = node_index;
  --account.count;
  --size_;
  --ClassOf(account.priority).count;
  account.work = account.count == 0 ? 0 : account.work - request.work;
  work_ = size_ == 0 ? 0 : work_ - request.work;
  if (account.count == 0) {
    const auto it = std::find(active_accounts_.begin(), active_accounts_.end(),
                              request.account);
    *it = active_accounts_.back();
    active_accounts_.pop_back();
  }
  return request;
}

std::uint32_t FairQueue::NextAccountOf(int priority) const {
  std::uint32_t best = kNone;
  for (const std::uint32_t it : active_accounts_) {
    const Account& account = accounts_[it];
    const bool before =
        best == kNone || account.virtual_time < accounts_[best].virtual_time ||
        (account.virtual_time == accounts_[best].virtual_time && it < best);
    if (account.priority == priority && before) {
      best = it;
    }
  }
  return best;
}

std::uint32_t FairQueue::NextAccount() {
  std::uint32_t first = kNone;
  for (PriorityClass& it : classes_) {
    if (it.count == 0) {
      it.min_share_credit = 0;
      continue;
    }
    const std::uint32_t account = NextAccountOf(it.priority);
    if (first == kNone) {
      first = account;
      continue;
    }
    const double work = nodes_[accounts_[account].head].request.work;
    if (it.min_share_credit >= work) {
      it.min_share_credit -= work;
      return account;
    }
  }
  return first;
}

void FairQueue::CreditLowerPriorities(const PriorityClass& served,
                                      double work) {
  for (PriorityClass& it : classes_) {
    if (it.priority < served.priority && it.count > 0) {
      it.min_share_credit += options_.min_share * work;
    }
  }
}

std::optional<QueuedRequest> FairQueue::Pop() {
  if (size_ == 0) {
    return std::nullopt;
  }
  const std::uint32_t next = NextAccount();
  Account& account = accounts_[next];
  PriorityClass& priority = ClassOf(account.priority);
  const QueuedRequest request = Unlink(account.head);
  priority.virtual_time = account.virtual_time;
  account.virtual_time += request.work / account.weight;
  CreditLowerPriorities(priority, request.work);
  return request;
}

std::optional<QueuedRequest> FairQueue::EvictFor(std::uint32_t account,
                                                 double work) {
  const Account& requester = accounts_[account];
  std::uint32_t worst = kNone;
  for (const std::uint32_t it : active_accounts_) {
    const Account& other = accounts_[it];
    if (worst == kNone || other.priority < accounts_[worst].priority ||
        (other.priority == accounts_[worst].priority &&
         other.work / other.weight >
             accounts_[worst].work / accounts_[worst].weight)) {
      worst = it;
    }
  }
  if (worst == kNone || worst == account) {
    return std::nullopt;
  }
  const Account& holder = accounts_[worst];
  const bool outranks = holder.priority < requester.priority;
  const bool has_less =
      holder.priority == requester.priority &&
      (requester.work + work) / requester.weight < holder.work / holder.weight;
  if (!outranks && !has_less) {
    return std::nullopt;
  }
  return Unlink(holder.tail);
}

std::optional<QueuedRequest> FairQueue::Remove(const RequestId& id) {
  for (const std::uint32_t account : active_accounts_) {
    for (std::uint32_t it = accounts_[account].head; it != kNone;
         it = nodes_[it].next) {
      if (nodes_[it].request.id == id) {
        return Unlink(it);
      }
    }
  }
  return std::nullopt;
}

void FairQueue::RemoveIf(
    const std::function<bool(const QueuedRequest&)>& should_remove,
    const std::function<void(const QueuedRequest&)>& removed) {
  for (const Account& account : accounts_) {
    std::uint32_t it = account.head;
    while (it != kNone) {
      const std::uint32_t next = nodes_[it].next;
      if (should_remove(nodes_[it].request)) {
        removed(Unlink(it));
      }
      it = next;
    }
  }
}

double FairQueue::WorkAhead(std::uint32_t account) const {
  const Account& requester = accounts_[account];
  double higher_work = 0;
  double same_work = 0;
  double weights = requester.weight;
  for (const std::uint32_t it : active_accounts_) {
    const Account& other = accounts_[it];
    if (other.priority > requester.priority) {
      higher_work += other.work;
    } else if (other.priority == requester.priority) {
      same_work += other.work;
      weights += it == account ? 0 : other.weight;
    }
  }
  // The account's own queue is processed at its share of the total weight, but
  // a new request never waits for more than all the queued work of its
  // priority.
  return higher_work +
         std::min(same_work, requester.work * weights / requester.weight);
}

}  // namespace indigolead
