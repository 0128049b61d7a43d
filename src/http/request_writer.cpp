// Writes the request of one attempt to a connection.
#include "http/request_writer.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>

#include "common/memory_account.hpp"
#include "common/socket_io.hpp"
#include "http/message.hpp"

namespace cairnjunction {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kKeptHeadBytes = 4096;  // an idle connection keeps no larger buffer

}  // namespace

void RequestWriter::begin(const Call& call, const asio::ip::tcp::endpoint& address,
                          policy::Duration timeRemaining) {
  head_ = requestText(call, address, timeRemaining, body_);
  written_ = 0;
}

RequestWriter::Result RequestWriter::write(asio::ip::tcp::socket& socket) {
  const std::size_t size = head_.size() + body_.size();
  while (written_ < size) {
    const std::size_t writtenOfHead = std::min(written_, head_.size());
    const std::array<asio::const_buffer, 2> unwritten{
        asio::buffer(std::string_view(head_).substr(writtenOfHead)),
        asio::buffer(body_.substr(written_ - writtenOfHead))};
    boost::system::error_code ec;
    written_ += writeSome(socket, unwritten, ec);
    if (wouldBlock(ec)) return Result::blocked;
    if (ec) return Result::failed;
  }
  body_ = {};
  return Result::written;
}

void RequestWriter::clear() {
  head_.clear();
  if (head_.capacity() > kKeptHeadBytes) freeText(head_);
  body_ = {};
  written_ = 0;
}

}  // namespace cairnjunction
