// The rewrite module's directives as steps: rewrite, return, set, break, and `if` where its meaning is safe.
#include <algorithm>

#include "import/nginx/lowering.hpp"
#include "import/nginx/units.hpp"

namespace cairnjunction::import_nginx {
namespace {

bool redirects(int status) {
  return status == 301 || status == 302 || status == 303 || status == 307 || status == 308;
}

bool begins(const std::string& text, std::string_view with) { return text.rfind(with, 0) == 0; }

}  // namespace

bool Lowering::rewriting(const Directive& d) {
  return d.name == "rewrite" || d.name == "return" || d.name == "set" || d.name == "break" || d.name == "if";
}

void Lowering::step(const Directive& d, std::vector<route::Step>& into, std::string& poison) {
  using route::Step;
  if (d.name == "if") return condition(d, into, poison);
  if (d.block) throw BadSyntax(d.at, "'" + d.name + "' has no block");
  Step step;
  std::string why;
  if (d.name == "break") {
    wants(d, 0, 0);
    step.kind = Step::Kind::stop;
  } else if (d.name == "set") {
    wants(d, 2, 2);
    const std::string& variable = d.arguments[0].text;
    if (variable.size() < 2 || variable[0] != '$')
      throw BadSyntax(d.arguments[0].at, "'" + variable + "' is no variable");
    step.kind = Step::Kind::set;
    step.variable = variable.substr(1);
    step.text = d.arguments[1].text;
    why = unknownIn(step.text, d.arguments[1].at);
    if (step.variable == "args" || step.variable == "limit_rate")
      why = "setting $" + step.variable + " is not understood";
  } else if (d.name == "return") {
    wants(d, 1, 2);
    step.kind = Step::Kind::answer;
    const std::string& first = d.arguments[0].text;
    if (const auto status = numberOf(first)) {
      if (*status < 100 || *status > 599)
        throw BadSyntax(d.arguments[0].at, "a status from 100 to 599 is wanted");
      step.status = static_cast<int>(*status);
      if (d.arguments.size() > 1) step.text = d.arguments[1].text;
    } else {
      if (d.arguments.size() > 1) throw BadSyntax(d.arguments[0].at, "'" + first + "' is no status");
      if (!begins(first, "http://") && !begins(first, "https://") && !begins(first, "$scheme"))
        throw BadSyntax(d.arguments[0].at, "'" + first + "' is neither a status nor a URL");
      step.status = 302;
      step.text = first;
    }
    why = unknownIn(step.text, d.at);
  } else {
    wants(d, 2, 3);
    step.kind = Step::Kind::rewrite;
    step.pattern = d.arguments[0].text;
    regex(step.pattern, false, d.arguments[0].at);
    step.text = d.arguments[1].text;
    why = unknownIn(step.text, d.arguments[1].at);
    if (d.arguments.size() > 2) {
      const std::string& flag = d.arguments[2].text;
      if (flag == "last") step.flag = Step::Flag::last;
      else if (flag == "break") step.flag = Step::Flag::stop;
      else if (flag == "redirect") step.flag = Step::Flag::redirect;
      else if (flag == "permanent") step.flag = Step::Flag::permanent;
      else throw BadSyntax(d.arguments[2].at, "'" + flag + "' is no flag of rewrite");
    }
    // Text that is neither a path nor a URL makes no valid request line.
    if (step.text.empty() || (step.text[0] != '/' && step.text[0] != '$' && !begins(step.text, "http://") &&
                              !begins(step.text, "https://")))
      why = "the replacement is no path";
  }
  if (!why.empty()) {
    if (poison.empty()) poison = why;
    return leftOut(d, why + "; what it decides for answers 501");
  }
  if (d.name == "return" && redirects(step.status) && !step.text.empty() && step.text[0] == '/')
    difference(d, "the redirect names a path only, which clients resolve to the same");
  else carried(d);
  into.push_back(std::move(step));
}

// An `if` can be converted if it holds only steps, which run in order as documented. Any other directive
// makes nginx treat it as a location of its own, by rules that are barely documented.
void Lowering::condition(const Directive& d, std::vector<route::Step>& into, std::string& poison) {
  if (!d.block) throw BadSyntax(d.at, "'if' wants a block");
  route::Step step;
  step.kind = route::Step::Kind::when;
  std::string why;
  const bool readable = parseCondition(d, step.condition, why);
  bool handler = false;
  for (const Directive& inner : d.inner) {
    if (rewriting(inner)) {
      this->step(inner, step.then, poison);
      continue;
    }
    if (inner.name == "include") continue;
    const DirectiveRow* row = findRow(inner.name);
    if (row && (row->treatment == Treatment::harmless)) {
      rest(inner, Level::location);
      continue;
    }
    handler = true;
    leaveOut(inner,
             "within 'if' only rewrite, return, set and break are safe; what it decides for answers 501");
  }
  if (handler) {
    // A guess in either direction could let a request pass an access check. Only requests that the condition
    // applies to are rejected.
    route::Step answer;
    answer.kind = route::Step::Kind::answer;
    answer.status = 501;
    step.then = {answer};
    difference(d, "what it holds for answers 501: not all in it are steps");
  }
  if (!readable) {
    if (poison.empty()) poison = why;
    return leftOut(d, why + "; what it decides for answers 501");
  }
  if (!why.empty()) difference(d, why);
  else if (!handler) carried(d);
  into.push_back(std::move(step));
}

// "($variable)", "($variable = text)", "!=", "~", "~*", "!~", "!~*", "-f", "!-f" and the like. True if it can
// be said here; `why` is then a difference, if any.
bool Lowering::parseCondition(const Directive& d, route::Condition& condition, std::string& why) {
  using Kind = route::Condition::Kind;
  std::vector<Argument> words = d.arguments;
  const auto bad = [&](const std::string& what) {
    throw BadSyntax(words.empty() ? d.at : words[0].at, what);
  };
  if (words.empty() || words.front().text.empty() || words.front().text.front() != '(' ||
      words.front().quoted)
    bad("'if' wants a condition in brackets");
  words.front().text.erase(0, 1);
  if (words.front().text.empty()) words.erase(words.begin());
  if (words.empty() || words.back().text.empty() || words.back().text.back() != ')')
    bad("the condition is not closed by ')'");
  words.back().text.pop_back();
  if (words.back().text.empty() && !words.back().quoted) words.pop_back();
  if (words.empty()) bad("the condition is empty");
  const std::string& first = words[0].text;
  const std::string test = !first.empty() && first[0] == '!' ? first.substr(1) : first;
  if (test == "-f" || test == "-d" || test == "-e" || test == "-x") {
    if (words.size() != 2) bad("'" + first + "' wants one path");
    condition.kind = Kind::equal;
    condition.subject = first[0] == '!' ? "1" : "0";
    condition.operand = "1";
    why = "there are no files: '" + test + "' never holds";
    return true;
  }
  if (first.size() < 2 || first[0] != '$') bad("'" + first + "' is no variable");
  condition.subject = first;
  why = unknownIn(first, words[0].at);
  if (words.size() == 1) return why.empty();
  if (words.size() != 3) bad("the condition can't be read");
  const std::string& sign = words[1].text;
  condition.operand = words[2].text;
  if (sign == "=" || sign == "!=") {
    condition.kind = sign == "=" ? Kind::equal : Kind::notEqual;
    if (why.empty()) why = unknownIn(condition.operand, words[2].at);
  } else if (sign == "~" || sign == "~*" || sign == "!~" || sign == "!~*") {
    condition.kind = sign[0] == '!' ? Kind::notMatches : Kind::matches;
    condition.caseless = sign.back() == '*';
    regex(condition.operand, condition.caseless, words[2].at);
  } else {
    throw BadSyntax(words[1].at, "'" + sign + "' is no comparison");
  }
  return why.empty();
}

}  // namespace cairnjunction::import_nginx
