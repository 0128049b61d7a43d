#include "consensus/raft_buffer.hpp"

#include <cstdint>
#include <cstring>
#include <new>

namespace cairnjunction::consensus {
namespace {

constexpr std::size_t kAlignment = 8;  // bytes
using Length = std::uint64_t;          // in bytes, at the start of a buffer

}  // namespace

raft_buffer toRaftBuffer(std::string_view bytes) {
  const Length length = bytes.size();
  const std::size_t padded = (sizeof length + bytes.size() + kAlignment - 1) / kAlignment * kAlignment;
  const raft_buffer buffer{raft_calloc(1, padded), padded};
  if (!buffer.base) throw std::bad_alloc();
  std::memcpy(buffer.base, &length, sizeof length);
  std::memcpy(static_cast<char*>(buffer.base) + sizeof length, bytes.data(), bytes.size());
  return buffer;
}

std::string_view fromRaftBuffer(const raft_buffer& buffer) {
  Length length = 0;
  if (buffer.len < sizeof length) return {};
  std::memcpy(&length, buffer.base, sizeof length);
  if (length > buffer.len - sizeof length) return {};
  return {static_cast<const char*>(buffer.base) + sizeof length, static_cast<std::size_t>(length)};
}

}  // namespace cairnjunction::consensus
