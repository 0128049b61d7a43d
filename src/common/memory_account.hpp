// Accounts for the memory that clients and endpoints can make the process hold, by what holds it. Charged is
// what a thing costs (capacities, nodes of header fields, copies), not its length on the wire.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace cairnjunction {

enum class MemoryOwner : std::uint8_t {
  clientRequests,     // HTTP: what clients have sent, until its call has ended
  clientResponses,    // HTTP: what clients have not read yet
  endpointResponses,  // HTTP: what endpoints have sent and is not passed on yet
  jsonRpcClients      // JSON-RPC: texts, calls and responses
};
inline constexpr std::size_t kMemoryOwners = 4;

class MemoryAccount {
 public:
  std::size_t held(MemoryOwner owner) const { return held_[index(owner)]; }
  std::size_t total() const { return total_; }
  // The largest total since the last call, or since construction.
  std::size_t takePeak() { return std::exchange(peak_, total_); }

  void add(MemoryOwner owner, std::size_t bytes) {
    held_[index(owner)] += bytes;
    total_ += bytes;
    peak_ = std::max(peak_, total_);
  }
  void remove(MemoryOwner owner, std::size_t bytes) {
    held_[index(owner)] -= bytes;
    total_ -= bytes;
  }

 private:
  static std::size_t index(MemoryOwner owner) { return static_cast<std::size_t>(owner); }

  std::array<std::size_t, kMemoryOwners> held_{};
  std::size_t total_ = 0, peak_ = 0;
};

// Memory of the text beside the string object itself, in bytes.
inline std::size_t heapBytes(const std::string& text) {
  const std::size_t inObject = std::string().capacity();
  return text.capacity() > inObject ? text.capacity() : 0;
}

// Empties the text and frees its memory, which assigning an empty one would keep.
inline void freeText(std::string& text) { std::string().swap(text); }

// Bytes that are charged to one owner of an account for as long as this object lives.
class MemoryCharge {
 public:
  MemoryCharge() = default;  // charges nothing
  MemoryCharge(std::shared_ptr<MemoryAccount> account, MemoryOwner owner)
      : account_(std::move(account)), owner_(owner) {}
  // A copy charges as much again.
  MemoryCharge(const MemoryCharge& other) : account_(other.account_), owner_(other.owner_) {
    set(other.bytes_);
  }
  MemoryCharge& operator=(const MemoryCharge& other) { return *this = MemoryCharge(other); }
  // The other one has no account any more.
  MemoryCharge(MemoryCharge&& other) noexcept
      : account_(std::move(other.account_)), owner_(other.owner_), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&& other) noexcept {
    if (this == &other) return *this;
    set(0);
    account_ = std::move(other.account_);
    owner_ = other.owner_;
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
  }
  ~MemoryCharge() { set(0); }

  void set(std::size_t bytes) {
    const std::size_t before = std::exchange(bytes_, bytes);
    if (!account_) return;
    if (bytes > before) account_->add(owner_, bytes - before);
    else account_->remove(owner_, before - bytes);
  }
  void add(std::size_t bytes) { set(bytes_ + bytes); }
  void remove(std::size_t bytes) { set(bytes_ - bytes); }
  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryAccount> account_;  // null: nothing is charged
  MemoryOwner owner_ = MemoryOwner::clientRequests;
  std::size_t bytes_ = 0;
};

}  // namespace cairnjunction
