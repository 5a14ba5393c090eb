#ifndef INDIGOLEAD_CORE_REQUEST_RETRY_BUDGET_H_
#define INDIGOLEAD_CORE_REQUEST_RETRY_BUDGET_H_

#include <algorithm>
#include <string>
#include <unordered_map>

namespace indigolead {

/// Bounds retries to a share of the traffic, for each deployment.
///
/// When many targets fail at once, every request retried up to its limit would
/// multiply the load on the ones left and take them down too. Each first
/// attempt earns a part of a retry and each retry spends a whole one, so that
/// the extra load stays below the share whatever happens.
class RetryBudget {
 public:
  /// Earns for a first attempt of `deployment`, with `share` in [0, 1].
  void Earn(const std::string& deployment, double share) {
    double& tokens = TokensOf(deployment);
    tokens = std::min(tokens + share, kMostTokens);
  }

  /// Spends one retry. Returns false if none is left.
  bool Spend(const std::string& deployment) {
    double& tokens = TokensOf(deployment);
    if (tokens < 1.0) {
      return false;
    }
    tokens -= 1.0;
    return true;
  }

 private:
  static constexpr double kFirstTokens = 20.0;  ///< For a quiet start.
  static constexpr double kMostTokens = 100.0;

  double& TokensOf(const std::string& deployment) {
    return tokens_.try_emplace(deployment, kFirstTokens).first->second;
  }

  /// One element for each deployment, which the catalogue bounds.
  std::unordered_map<std::string, double> tokens_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_REQUEST_RETRY_BUDGET_H_
