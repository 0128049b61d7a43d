// How a stand-in host reads one request and writes its answer. A client puts the plan's text into its
// request, and the host finds it there, whichever protocols are between the two.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace cairnjunction::soak {

enum class AnswerShape {
  steady,        // in small pieces all the time
  lumps,         // in three pieces, the first at once
  lateBody,      // the head at once, the body towards the end
  headInPieces,  // the head takes half of the time
  interim,       // a 103 at once, then steady
  noiseBehind,   // steady, and bytes that answer nothing 30 ms behind it
  stalled,       // a part of it, and then nothing more
  stalledHead    // a part of the head, and then nothing more
};
inline constexpr int kSoundAnswerShapes = 6;  // the first ones: these answers end

enum class AnswerFraming { length, chunked, untilClose };

struct AnswerPlan {
  std::uint64_t tag = 0;  // of the request: a gateway may name it anew
  AnswerShape shape = AnswerShape::steady;
  AnswerFraming framing = AnswerFraming::length;
  std::size_t bytes = 0;                    // of the body
  std::chrono::milliseconds start{0};       // from the whole request to the first byte
  std::chrono::milliseconds duration{0};    // from the first byte to the last
  std::size_t requestBytes = 0;             // of the request's body
  std::chrono::milliseconds readWithin{0};  // the request is read slowly, over this time; 0: at once

  std::string text() const;  // has unreserved characters of URLs only
};

// The plan in a request; empty if it is not (yet) there.
std::optional<AnswerPlan> findPlan(std::string_view request);

// The body of the answer: valid JSON, and different for each request.
std::string plannedBody(const AnswerPlan& plan);

// A part of an answer, up to the byte `end` of its text, written `at` this time from the first byte on.
struct AnswerPiece {
  std::chrono::milliseconds at{0};
  std::size_t end = 0;
};
inline bool isUnfinished(AnswerShape shape) {
  return shape == AnswerShape::stalled || shape == AnswerShape::stalledHead;
}
// From the first byte on, until the head is whole.
std::chrono::milliseconds headDuration(const AnswerPlan& plan);

// `headBytes`: of the text's beginning.
std::vector<AnswerPiece> planPieces(const AnswerPlan& plan, std::size_t headBytes, std::size_t textBytes);

}  // namespace cairnjunction::soak
