#include "soak/answer_plan.hpp"

#include <algorithm>
#include <charconv>

namespace cairnjunction::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kMark = "plan.";
constexpr milliseconds kStep{20};
constexpr int kLumps = 3;
constexpr int kHeadPieces = 3;

// Reads the number before the next dot of `text` and removes both.
std::optional<std::size_t> takeNumber(std::string_view& text) {
  const std::size_t dot = text.find('.');
  if (dot == std::string_view::npos) return std::nullopt;
  std::size_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + dot, number);
  if (error != std::errc{} || end != text.data() + dot) return std::nullopt;
  text.remove_prefix(dot + 1);
  return number;
}

// Appends pieces of equal size for the bytes from `begin` to `end`, `count` of them from `from` to `until`.
void appendEvenly(std::vector<AnswerPiece>& pieces, std::size_t begin, std::size_t end, milliseconds from,
                  milliseconds until, int count) {
  for (int i = 1; i <= count; ++i)
    pieces.push_back({from + (until - from) * i / count, begin + (end - begin) * i / count});
}

int stepsWithin(milliseconds time) { return std::max(1, static_cast<int>(time / kStep)); }

}  // namespace

std::string AnswerPlan::text() const {
  std::string text(kMark);
  for (const std::size_t number :
       {static_cast<std::size_t>(tag), static_cast<std::size_t>(shape), static_cast<std::size_t>(framing),
        bytes, static_cast<std::size_t>(start.count()), static_cast<std::size_t>(duration.count()),
        requestBytes, static_cast<std::size_t>(readWithin.count())})
    text += std::to_string(number) + ".";
  return text;
}

std::optional<AnswerPlan> findPlan(std::string_view request) {
  const std::size_t at = request.find(kMark);
  if (at == std::string_view::npos) return std::nullopt;
  request.remove_prefix(at + kMark.size());
  std::vector<std::size_t> numbers;
  for (int i = 0; i < 8; ++i) {
    const auto number = takeNumber(request);
    if (!number) return std::nullopt;
    numbers.push_back(*number);
  }
  AnswerPlan plan;
  plan.tag = numbers[0];
  plan.shape = static_cast<AnswerShape>(numbers[1]);
  plan.framing = static_cast<AnswerFraming>(numbers[2]);
  plan.bytes = numbers[3];
  plan.start = milliseconds(numbers[4]);
  plan.duration = milliseconds(numbers[5]);
  plan.requestBytes = numbers[6];
  plan.readWithin = milliseconds(numbers[7]);
  return plan;
}

std::string plannedBody(const AnswerPlan& plan) {
  if (plan.bytes < 2) return std::string(plan.bytes, '7');
  std::string body(1, '"');
  while (body.size() < plan.bytes - 1)
    body += std::to_string(plan.tag) + "-" + std::to_string(body.size()) + ".";
  body.resize(plan.bytes - 1);
  body += '"';
  return body;
}

milliseconds headDuration(const AnswerPlan& plan) {
  return plan.shape == AnswerShape::headInPieces ? plan.duration / 2 : milliseconds(0);
}

std::vector<AnswerPiece> planPieces(const AnswerPlan& plan, std::size_t headBytes, std::size_t textBytes) {
  std::vector<AnswerPiece> pieces;
  const milliseconds none{0};
  switch (plan.shape) {
    case AnswerShape::steady:
    case AnswerShape::interim:
    case AnswerShape::noiseBehind:
      pieces.push_back({none, headBytes});
      appendEvenly(pieces, headBytes, textBytes, none, plan.duration, stepsWithin(plan.duration));
      break;
    case AnswerShape::lumps:
      pieces.push_back({none, std::max(headBytes, textBytes / kLumps)});
      appendEvenly(pieces, pieces.front().end, textBytes, none, plan.duration, kLumps - 1);
      break;
    case AnswerShape::lateBody: {
      const milliseconds late = plan.duration * 3 / 4;
      pieces.push_back({none, headBytes});
      appendEvenly(pieces, headBytes, textBytes, late, plan.duration, stepsWithin(plan.duration - late));
      break;
    }
    case AnswerShape::headInPieces:
      pieces.push_back({none, headBytes / 4});
      appendEvenly(pieces, headBytes / 4, headBytes, none, headDuration(plan), kHeadPieces);
      appendEvenly(pieces, headBytes, textBytes, headDuration(plan), plan.duration,
                   stepsWithin(plan.duration - headDuration(plan)));
      break;
    case AnswerShape::stalled:
      pieces.push_back({none, headBytes});
      pieces.push_back({none, headBytes + (textBytes - headBytes) / 2});
      break;
    case AnswerShape::stalledHead: pieces.push_back({none, headBytes / 2}); break;
  }
  return pieces;
}

}  // namespace cairnjunction::soak
