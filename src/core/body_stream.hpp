// Buffers the rest of a message body between a producer that reads it and a consumer that writes it, both on
// the same event loop. The buffer is bounded: a producer that finds no free capacity stops reading until
// onRoom is called. Independent of protocols and sockets.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "common/memory_account.hpp"

namespace cairnjunction {

class BodyStream {
 public:
  enum class State {
    flowing,  // more bytes may follow
    whole,    // the producer has put the last byte
    broken    // the body is incomplete and no more bytes follow
  };

  // `capacity`: number of buffered bytes at which the producer has to pause.
  explicit BodyStream(std::size_t capacity) : capacity_(capacity) {}
  BodyStream(const BodyStream&) = delete;
  BodyStream& operator=(const BodyStream&) = delete;

  // --- For the producer.

  // Free capacity in bytes.
  std::size_t room() const { return data_.size() >= capacity_ ? 0 : capacity_ - data_.size(); }
  // Appends bytes; drops them if the consumer has left. The bytes of one read may exceed the capacity.
  void put(std::string_view bytes) {
    if (left_ || bytes.empty()) return;
    data_.append(bytes);
    notify(onChange);
  }
  // Both end the stream; the first call counts, later ones are ignored.
  void finish() { end(State::whole); }
  void fail() { end(State::broken); }
  bool left() const { return left_; }  // whether the consumer has left
  std::function<void()> onRoom;        // called when the consumer has taken bytes; not after the end
  std::function<void()> onLeft;        // called once, when the consumer leaves before the end

  // --- For the consumer.

  std::size_t heldBytes() const { return heapBytes(data_); }  // memory of the buffered bytes

  // Removes and returns all buffered bytes.
  std::string take() {
    std::string bytes = std::exchange(data_, {});
    if (!bytes.empty()) notify(onRoom);
    return bytes;
  }
  State state() const { return state_; }
  // The consumer wants no more bytes: drops those that are buffered and all that follow.
  void leave() {
    if (std::exchange(left_, true)) return;
    onChange = nullptr;
    freeText(data_);
    const auto notifyLeft = std::exchange(onLeft, nullptr);
    if (notifyLeft) notifyLeft();
  }
  std::function<void()> onChange;  // called when there are bytes or the state has changed

 private:
  void end(State state) {
    if (state_ != State::flowing) return;
    state_ = state;
    onRoom = nullptr;
    onLeft = nullptr;
    notify(onChange);
  }
  // Calls a copy, since the callback may replace or reset the function.
  static void notify(const std::function<void()>& function) {
    if (const auto copy = function; copy) copy();
  }

  std::string data_;              // bytes that were put and not taken yet
  const std::size_t capacity_;    // bytes
  State state_ = State::flowing;  // changes at most once
  bool left_ = false;             // never reset; data_ is empty then
};

}  // namespace cairnjunction
