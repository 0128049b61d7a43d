// Compiles and runs rewrite steps.
#include "route/steps.hpp"

#include <algorithm>

#include "route/path.hpp"

namespace cairnjunction::route {
namespace {

bool begins(std::string_view text, std::string_view with) { return text.substr(0, with.size()) == with; }

}  // namespace

void Steps::declare(const std::vector<Step>& steps, Texts& texts) {
  for (const Step& step : steps) {
    if (step.kind == Step::Kind::set) texts.slot(step.variable);
    if (step.kind == Step::Kind::rewrite) texts.namedSlots(Regex(step.pattern, false));
    if (step.kind != Step::Kind::when) continue;
    const Condition& c = step.condition;
    if (c.kind == Condition::Kind::matches || c.kind == Condition::Kind::notMatches)
      texts.namedSlots(Regex(c.operand, c.caseless));
    declare(step.then, texts);
  }
}

void Steps::compile(const std::vector<Step>& steps, Texts& texts) { steps_ = compiled(steps, texts); }

std::vector<Steps::Compiled> Steps::compiled(const std::vector<Step>& steps, Texts& texts) {
  std::vector<Compiled> out;
  out.reserve(steps.size());
  for (const Step& step : steps) {
    Compiled& c = out.emplace_back();
    c.kind = step.kind;
    c.flag = step.flag;
    c.status = step.status;
    switch (step.kind) {
      case Step::Kind::rewrite: {
        c.regex.emplace_back(step.pattern, false);
        c.named = texts.namedSlots(c.regex[0]);
        c.external = step.flag == Step::Flag::redirect || step.flag == Step::Flag::permanent ||
                     begins(step.text, "http://") || begins(step.text, "https://") ||
                     begins(step.text, "$scheme");
        std::string_view to = step.text;
        if (!to.empty() && to.back() == '?') {
          c.keepArguments = false;
          to.remove_suffix(1);
        }
        const std::size_t question = to.find('?');
        c.hasArguments = question != std::string_view::npos;
        if (c.hasArguments) c.arguments = texts.compile(to.substr(question + 1));
        c.text = texts.compile(to.substr(0, question));
        break;
      }
      case Step::Kind::set: c.slot = texts.slot(step.variable); [[fallthrough]];
      case Step::Kind::answer: c.text = texts.compile(step.text); break;
      case Step::Kind::stop: break;
      case Step::Kind::when:
        c.condition = step.condition.kind;
        c.text = texts.compile(step.condition.subject);
        if (c.condition == Condition::Kind::matches || c.condition == Condition::Kind::notMatches) {
          c.regex.emplace_back(step.condition.operand, step.condition.caseless);
          c.named = texts.namedSlots(c.regex[0]);
        } else {
          c.operand = texts.compile(step.condition.operand);
        }
        c.then = compiled(step.then, texts);
        break;
    }
  }
  return out;
}

Steps::Result Steps::run(Context& context, const Texts& texts, bool mergeSlashes) const {
  Result result;
  const bool all = runAll(steps_, context, texts, mergeSlashes, result);
  if (context.exhausted) result = {End::exhausted, 500, {}, result.rewritten};
  else if (all && result.rewritten) result.end = End::changed;
  return result;
}

// True if all steps ran and none ended them.
bool Steps::runAll(const std::vector<Compiled>& steps, Context& context, const Texts& texts,
                   bool mergeSlashes, Result& result) const {
  for (const Compiled& step : steps) {
    if (context.exhausted) return false;
    switch (step.kind) {
      case Step::Kind::rewrite:
        if (!rewrite(step, context, texts, mergeSlashes, result)) return false;
        break;
      case Step::Kind::answer:
        result.end = End::answered;
        result.status = step.status;
        result.text = texts.evaluate(step.text, context);
        return false;
      case Step::Kind::set: context.variables[step.slot] = texts.evaluate(step.text, context); break;
      case Step::Kind::stop: result.end = End::stopped; return false;
      case Step::Kind::when: {
        const std::string subject = texts.evaluate(step.text, context);
        bool holds = false;
        switch (step.condition) {
          case Condition::Kind::truthy: holds = !subject.empty() && subject != "0"; break;
          case Condition::Kind::equal: holds = subject == texts.evaluate(step.operand, context); break;
          case Condition::Kind::notEqual: holds = subject != texts.evaluate(step.operand, context); break;
          case Condition::Kind::matches:
          case Condition::Kind::notMatches: {
            Captures captures;
            const Regex::Result found = step.regex[0].match(subject, &captures);
            if (found == Regex::Result::exhausted) {
              context.exhausted = true;
              return false;
            }
            const bool matched = found == Regex::Result::matched;
            if (matched) Texts::take(captures, step.named, context);
            holds = matched == (step.condition == Condition::Kind::matches);
            break;
          }
        }
        if (holds && !runAll(step.then, context, texts, mergeSlashes, result)) return false;
        break;
      }
    }
  }
  return true;
}

bool Steps::rewrite(const Compiled& step, Context& context, const Texts& texts, bool mergeSlashes,
                    Result& result) const {
  Captures captures;
  const Regex::Result found = step.regex[0].match(context.path, &captures);
  if (found == Regex::Result::exhausted) {
    context.exhausted = true;
    return false;
  }
  if (found == Regex::Result::none) return true;
  Texts::take(captures, step.named, context);
  std::string to = texts.evaluate(step.text, context);
  std::string arguments = step.hasArguments ? texts.evaluate(step.arguments, context) : std::string();
  if (step.keepArguments && !context.args.empty())
    arguments.append(arguments.empty() ? "" : "&").append(context.args);
  if (step.external) {
    result.end = End::answered;
    result.status = step.flag == Step::Flag::permanent ? 301 : 302;
    // Only a path is encoded again; a whole URL stays as in the file, except for characters that no URL may
    // contain.
    result.text = to.empty() || to.front() != '/' ? safeUrl(to) : encoded(to);
    if (!arguments.empty()) result.text.append("?").append(safeUrl(arguments));
    return false;
  }
  const PathFault fault = normalise(to, mergeSlashes);
  if (fault != PathFault::none) {
    result.end = End::refused;
    result.status = 500;
    return false;
  }
  context.path = std::move(to);
  if (step.hasArguments || !step.keepArguments) context.args = std::move(arguments);
  result.rewritten = true;
  if (step.flag == Step::Flag::last) {
    result.end = End::changed;
    return false;
  }
  if (step.flag == Step::Flag::stop) {
    result.end = End::stopped;
    return false;
  }
  return true;
}

}  // namespace cairnjunction::route
