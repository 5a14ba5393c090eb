#ifndef INDIGOLEAD_RUNTIME_TEXT_BODY_H_
#define INDIGOLEAD_RUNTIME_TEXT_BODY_H_

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <string>

namespace indigolead {

/// Body type of the library that reads into a string.
///
/// Unlike the library's string body it does not allocate whatever length the
/// sender states, which may be more than the process can have.
struct TextBody {
  using value_type = std::string;

  /// Most bytes that are allocated before they arrive.
  static constexpr std::uint64_t kMaxReservedBytes = 16U << 20;

  class Reader {
   public:
    template <bool kIsRequest, typename Fields>
    Reader(boost::beast::http::header<kIsRequest, Fields>& /*head*/,
           value_type& body)
        : body_(&body) {}

    void init(const boost::optional<std::uint64_t>& length,
              boost::system::error_code& ec) {
      if (length) {
        body_->reserve(std::min(*length, kMaxReservedBytes));
      }
      ec = {};
    }

    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& ec) {
      std::size_t n = 0;
      for (const boost::asio::const_buffer it :
           boost::beast::buffers_range_ref(buffers)) {
        body_->append(static_cast<const char*>(it.data()), it.size());
        n += it.size();
      }
      ec = {};
      return n;
    }

    void finish(boost::system::error_code& ec) { ec = {}; }

   private:
    value_type* body_;
  };
  using reader = Reader;  ///< Name that the library looks for.
};

}  // namespace indigolead

#endif  // INDIGOLEAD_RUNTIME_TEXT_BODY_H_
