#include "jsonrpc/send_buffer.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>

#include "common/socket_io.hpp"

namespace cairnjunction::jsonrpc {
namespace {

constexpr std::size_t kDropSentAbove = 64 << 10;  // bytes that may lie in front of what is to be sent
constexpr std::size_t kKeepCapacity = 64 << 10;   // an empty buffer that is larger is freed

}  // namespace

SendBuffer::Range SendBuffer::appendRequest(std::string_view text) {
  const std::uint64_t begin = base_ + bytes_.size();
  appendFrame(form_, text, bytes_);
  const std::uint64_t end = base_ + bytes_.size();
  unwrittenEnds_.push_back(end);
  return {begin, end};
}

void SendBuffer::appendNotification(std::string_view text) { appendFrame(form_, text, bytes_); }

void SendBuffer::remove(const Range& request) {
  const std::uint64_t size = request.end - request.begin;
  bytes_.erase(request.begin - base_, size);
  std::erase(unwrittenEnds_, request.end);
  for (std::uint64_t& end : unwrittenEnds_)
    if (end > request.end) end -= size;
}

SendBuffer::Range SendBuffer::moved(const Range& request, const Range& removed) {
  if (request.end <= removed.end) return request;
  const std::uint64_t size = removed.end - removed.begin;
  return {request.begin - size, request.end - size};
}

SendBuffer::Written SendBuffer::write(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ec;
  while (sent_ < bytes_.size()) {
    const std::size_t written =
        writeSome(socket, boost::asio::buffer(bytes_.data() + sent_, bytes_.size() - sent_), ec);
    if (ec) break;
    sent_ += written;
  }
  Written result;
  for (; !unwrittenEnds_.empty() && unwrittenEnds_.front() <= position(); unwrittenEnds_.pop_front())
    ++result.requests;
  if (ec && !wouldBlock(ec)) {
    result.status = Status::failed;
    return result;
  }
  dropSent();
  result.status = bytes_.empty() ? Status::empty : Status::blocked;
  return result;
}

void SendBuffer::dropSent() {
  if (sent_ < bytes_.size() && sent_ <= kDropSentAbove) return;
  base_ += sent_;
  bytes_.erase(0, sent_);
  if (bytes_.empty() && bytes_.capacity() > kKeepCapacity) std::string().swap(bytes_);
  sent_ = 0;
}

}  // namespace cairnjunction::jsonrpc
