#include "soak/request_drawer.hpp"

#include <algorithm>
#include <chrono>

#include "soak/slow_answer_classes.hpp"

namespace cairnjunction::soak {
namespace {

using std::chrono::milliseconds;

constexpr int kReadBytesPerMs = 2000;  // at most; a host reads up to 64 KiB every 20 ms
constexpr std::size_t kJsonRpcBytesMost = 60'000;
constexpr int kHeadsLateBy = 600;  // ms behind their client's time, at most

int draw(std::mt19937_64& random, int least, int most) {
  return std::uniform_int_distribution<int>(least, most)(random);
}

}  // namespace

PlannedRequest RequestDrawer::operator()(std::mt19937_64& random) const {
  SlowWork work = options_.work;
  if (work == SlowWork::mixed) work = static_cast<SlowWork>(draw(random, 0, 3));
  // A host that falls silent in one answer is sound in others.
  if (work == SlowWork::silentAnswers && draw(random, 0, 1) == 0) work = SlowWork::soundAnswers;
  if (work == SlowWork::slowReads && jsonRpc_) work = SlowWork::soundAnswers;
  PlannedRequest request;
  const ClassTimes& times =
      options_.classes[work == SlowWork::slowReads ? draw(random, 1, 2) : draw(random, 0, 2)];
  request.className = times.name;
  const bool isFirst = draw(random, 0, 1) == 0;
  const int spent = static_cast<int>((times.objective / 2).count());
  request.deadline = times.clientTimeout - milliseconds(isFirst ? 0 : draw(random, 0, spent));
  drawAnswer(work, request, random);
  return request;
}

std::size_t RequestDrawer::drawBytes(std::mt19937_64& random) const {
  constexpr std::size_t sizes[] = {0,      1,      200,     3000,    20'000,  60'000,  65'535,
                                   65'536, 65'537, 100'000, 170'000, 300'000, 1 << 20, 4 << 20};
  const std::size_t most = jsonRpc_ ? kJsonRpcBytesMost : options_.largestBytes;
  // JSON has no empty result.
  const std::size_t least = std::max<std::size_t>(options_.smallestBytes, jsonRpc_ ? 1 : 0);
  return std::clamp<std::size_t>(sizes[random() % std::size(sizes)], std::min(least, most), most);
}

// How far behind the client's time a late answer ends; some end just before it. An answer that is not
// passed on in parts has the time of a late reply.
milliseconds RequestDrawer::drawLateness(std::mt19937_64& random) const {
  constexpr int most[] = {40, 300, 1000, 3000};
  const std::size_t kinds = jsonRpc_ ? 2 : std::size(most);
  return milliseconds(draw(random, -40, most[random() % kinds]));
}

void RequestDrawer::drawHalfHead(AnswerPlan& plan, int left, std::mt19937_64& random) {
  switch (draw(random, 0, 4)) {
    case 0:
    case 1: plan.shape = AnswerShape::stalledHead; return;
    case 2:
    case 3:
      plan.shape = AnswerShape::headInPieces;  // its head takes half of the time
      plan.duration = 2 * milliseconds(draw(random, left / 5, left + kHeadsLateBy));
      return;
    default: plan.duration = milliseconds(draw(random, left / 5, left - 100));
  }
}

void RequestDrawer::drawAnswer(SlowWork work, PlannedRequest& request, std::mt19937_64& random) const {
  AnswerPlan& plan = request.plan;
  plan.shape = static_cast<AnswerShape>(draw(random, 0, kSoundAnswerShapes - 1));
  if (options_.shape) plan.shape = *options_.shape;
  plan.framing = static_cast<AnswerFraming>(draw(random, 0, 2));
  plan.bytes = drawBytes(random);
  plan.start = milliseconds(draw(random, 0, 40));
  const int left = static_cast<int>((request.deadline - plan.start).count());
  switch (work) {
    case SlowWork::slowReads:
      plan.shape = AnswerShape::steady;
      plan.bytes = 200;
      plan.readWithin = milliseconds(draw(random, left / 5, left * 6 / 10));
      plan.requestBytes = static_cast<std::size_t>(
          draw(random, 60'000, kReadBytesPerMs * static_cast<int>(plan.readWithin.count())));
      return;
    case SlowWork::silentAnswers: plan.shape = AnswerShape::stalled; return;
    case SlowWork::halfHeads: return drawHalfHead(plan, left, random);
    case SlowWork::lateAnswers: plan.duration = milliseconds(left) + drawLateness(random); return;
    case SlowWork::soundAnswers:
    case SlowWork::mixed: plan.duration = milliseconds(draw(random, left / 5, left - 100)); return;
  }
}

}  // namespace cairnjunction::soak
