#ifndef INDIGOLEAD_WIRE_RELAY_LINKS_H_
#define INDIGOLEAD_WIRE_RELAY_LINKS_H_

#include <utility>
// Boost 1.74 uses std::exchange without including <utility>.
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <zmq.hpp>

#include "core/base/result.h"
#include "envelope.pb.h"
#include "observe/event_log.h"
#include "store/polled_watch.h"

namespace indigolead {

namespace internal {
class ZmqSocket;
}  // namespace internal

/// A question to an entry that relays the store's changes.
struct RelayQuestion {
  std::string asker;  ///< Names the connection to answer on; opaque.
  std::uint64_t number = 0;
  std::string prefix;
  std::uint64_t from = 0;

  friend bool operator==(const RelayQuestion&, const RelayQuestion&) = default;
};

/// Carries questions to the entry that relays, and answers back, over ZeroMQ.
///
/// Nothing is promised of either: whoever asks has a time limit of its own. The
/// connections are plain, as are those to the store that all of this stems
/// from; the network of the entries is the operator's.
///
/// Runs on the thread of its io_context.
class RelayLinks {
 public:
  struct Options {
    std::string bind_address;  ///< "IP:port"; port 0 picks one.
    /// A whole list of some thousand targets.
    std::size_t max_message_bytes = 8U << 20;
    /// Messages that wait for one peer.
    int high_water_mark = 64;
  };
  struct Hooks {
    std::function<void(const RelayQuestion&)> on_question;
    std::function<void(std::uint64_t number, const Result<WatchBatch>&)>
        on_answer;
  };

  /// `io` must outlive this object.
  RelayLinks(boost::asio::io_context* io, Options options, Hooks hooks,
             EventLog log);
  ~RelayLinks();
  RelayLinks(const RelayLinks&) = delete;
  RelayLinks& operator=(const RelayLinks&) = delete;

  /// Takes questions from now on. Fails if the address cannot be bound.
  Status Listen();

  /// Returns the address at which questions are taken, "IP:port".
  const std::string& bound_address() const { return bound_address_; }

  /// Sends a question to the entry at `address`. Keeps one connection, to the
  /// entry asked last. Returns false if it cannot be sent.
  bool Ask(const std::string& address, std::uint64_t number,
           const std::string& prefix, std::uint64_t from);

  /// Answers a question.
  void Answer(const std::string& asker, std::uint64_t number,
              const Result<WatchBatch>& answer);

 private:
  zmq::context_t* Context();
  std::shared_ptr<internal::ZmqSocket> MakeSocket(zmq::socket_type type);
  bool DrainQuestions();
  bool DrainAnswers();
  void Open(const std::string& address);
  bool Send(internal::ZmqSocket* socket, const std::string& asker,
            const wire::Envelope& message);

  boost::asio::io_context* io_;
  Options options_;
  Hooks hooks_;
  EventLog log_;
  /// Made when first needed: it brings threads, and small fleets need none.
  std::unique_ptr<zmq::context_t> context_;
  std::shared_ptr<internal::ZmqSocket> questions_;
  std::shared_ptr<internal::ZmqSocket> answers_;
  std::string asked_address_;
  std::string bound_address_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_WIRE_RELAY_LINKS_H_
