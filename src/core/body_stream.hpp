// The rest of a body on its way from a producer that reads it to a consumer that writes it, both on one event
// loop. It holds a bounded part: a producer that finds no room stops reading until it is told of some.
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
  enum class State { flowing, whole, broken };

  explicit BodyStream(std::size_t most) : most_(most) {}
  BodyStream(const BodyStream&) = delete;
  BodyStream& operator=(const BodyStream&) = delete;

  // --- The producer's side. `onRoom` is called when room() has come to be above 0; `onLeft` once, when the
  // consumer has left, after which nothing is taken any more.
  std::size_t room() const { return data_.size() >= most_ ? 0 : most_ - data_.size(); }
  void put(std::string_view bytes) {  // may go past the bound by what one read brought
    if (left_ || bytes.empty()) return;
    data_.append(bytes);
    tell(onChange);
  }
  void finish() { end(State::whole); }
  void fail() { end(State::broken); }
  bool left() const { return left_; }
  std::function<void()> onRoom, onLeft;

  // --- The consumer's side. `onChange` is called when there are bytes or the state has changed.
  std::string take() {
    std::string taken = std::exchange(data_, {});
    if (!taken.empty()) tell(onRoom);
    return taken;
  }
  State state() const { return state_; }
  void leave() {
    if (std::exchange(left_, true)) return;
    onChange = nullptr;
    data_ = {};
    const auto told = std::exchange(onLeft, nullptr);
    if (told) told();
  }
  std::function<void()> onChange;

 private:
  void end(State state) {
    if (state_ != State::flowing) return;
    state_ = state;
    onRoom = onLeft = nullptr;
    tell(onChange);
  }
  // By a copy: what is called may replace or drop the function.
  static void tell(const std::function<void()>& function) {
    if (const auto copy = function; copy) copy();
  }

  std::string data_;
  const std::size_t most_;
  State state_ = State::flowing;
  bool left_ = false;
};

}  // namespace cairnjunction
