// Rewrite steps, compiled and run: what one server or location does to a request before a location is chosen
// or used.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "route/regex.hpp"
#include "route/routes.hpp"
#include "route/variables.hpp"

namespace cairnjunction::route {

class Steps {
 public:
  enum class End {
    through,   // all were run; the path is as it was
    changed,   // all were run, or a rewrite asked for it: a location is to be searched for
    stopped,   // no more steps; the path may have changed, and the location stays
    answered,  // `status` and `text` are set
    refused,   // a rewritten path that is none; `status` is 500
    exhausted  // an expression reached its bound on work; `status` is 500
  };
  struct Result {
    End end = End::through;
    int status = 0;
    std::string text;
    bool rewritten = false;  // a rewrite changed the path
  };

  // Declares the variables that the steps set. First for all steps of a file, then compile.
  static void declare(const std::vector<Step>& steps, Texts& texts);
  // Throws BadText or BadRegex.
  void compile(const std::vector<Step>& steps, Texts& texts);
  Result run(Context& context, const Texts& texts, bool mergeSlashes) const;
  bool empty() const { return steps_.empty(); }

 private:
  struct Compiled;
  bool runAll(const std::vector<Compiled>& steps, Context& context, const Texts& texts, bool mergeSlashes,
              Result& result) const;
  bool rewrite(const Compiled& step, Context& context, const Texts& texts, bool mergeSlashes,
               Result& result) const;
  static std::vector<Compiled> compiled(const std::vector<Step>& steps, Texts& texts);

  std::vector<Compiled> steps_;
};

struct Steps::Compiled {
  Step::Kind kind = Step::Kind::stop;
  Step::Flag flag = Step::Flag::none;
  int status = 0;
  std::vector<Regex> regex;  // one, or none
  std::vector<std::pair<std::size_t, std::size_t>> named;
  Text text;       // rewrite: the path part; answer, set; when: the subject
  Text arguments;  // rewrite: of the replacement
  Text operand;    // when
  bool keepArguments = true, hasArguments = false, external = false;
  std::size_t slot = 0;
  Condition::Kind condition = Condition::Kind::truthy;
  std::vector<Compiled> then;
};

}  // namespace cairnjunction::route
