// The rest of a body on its way from a producer that reads it to a consumer that writes it, both on one event
// loop. It holds a bounded part: a producer that finds no room stops reading until onRoom is called.
// Knows no protocol and no socket.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace cairnjunction {

class BodyStream {
 public:
  enum class State {
    flowing,  // more may come
    whole,    // the producer has put all of it
    broken    // the rest will never come
  };

  // `capacity`: bytes that it holds before the producer is to pause.
  explicit BodyStream(std::size_t capacity) : capacity_(capacity) {}
  BodyStream(const BodyStream&) = delete;
  BodyStream& operator=(const BodyStream&) = delete;

  // --- The producer's side.
  std::size_t room() const { return data_.size() >= capacity_ ? 0 : capacity_ - data_.size(); }
  // Dropped once the consumer has left. May go past the capacity by what one read brought.
  void put(std::string_view bytes) {
    if (left_ || bytes.empty()) return;
    data_.append(bytes);
    notify(onChange);
  }
  void finish() { end(State::whole); }
  void fail() { end(State::broken); }
  bool left() const { return left_; }  // the consumer has left
  std::function<void()> onRoom;        // called when the consumer has taken bytes
  std::function<void()> onLeft;        // called once, when the consumer has left

  // --- The consumer's side.
  // All bytes that are here.
  std::string take() {
    std::string bytes = std::exchange(data_, {});
    if (!bytes.empty()) notify(onRoom);
    return bytes;
  }
  State state() const { return state_; }
  // Nothing more is wanted: what comes is dropped.
  void leave() {
    if (std::exchange(left_, true)) return;
    onChange = nullptr;
    data_ = {};
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
  // By a copy, since what is called may replace or drop the function.
  static void notify(const std::function<void()>& function) {
    if (const auto copy = function; copy) copy();
  }

  std::string data_;              // put and not taken
  const std::size_t capacity_;    // bytes
  State state_ = State::flowing;  // changes once at most
  bool left_ = false;             // never reset; nothing is held then
};

}  // namespace cairnjunction
