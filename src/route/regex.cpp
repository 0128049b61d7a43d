// A compiled expression with bounded work.
#include "route/regex.hpp"

#define PCRE2_CODE_UNIT_WIDTH 8
#include <pcre2.h>

#include <array>

namespace cairnjunction::route {

struct Regex::Code {
  struct Free {
    void operator()(pcre2_code* code) const { pcre2_code_free(code); }
    void operator()(pcre2_match_data* data) const { pcre2_match_data_free(data); }
    void operator()(pcre2_match_context* context) const { pcre2_match_context_free(context); }
  };
  std::unique_ptr<pcre2_code, Free> code;
  std::unique_ptr<pcre2_match_data, Free> data;
  std::unique_ptr<pcre2_match_context, Free> context;
};

Regex::~Regex() = default;
Regex::Regex(Regex&&) noexcept = default;
Regex& Regex::operator=(Regex&&) noexcept = default;

Regex::Regex(std::string_view pattern, bool caseless) : code_(std::make_unique<Code>()) {
  if (pattern.size() > kPatternMost) throw BadRegex("the expression is longer than 64 KiB");
  int error = 0;
  PCRE2_SIZE offset = 0;
  const auto* text = reinterpret_cast<PCRE2_SPTR>(pattern.data());
  code_->code.reset(
      pcre2_compile(text, pattern.size(), caseless ? PCRE2_CASELESS : 0, &error, &offset, nullptr));
  if (!code_->code) {
    std::array<PCRE2_UCHAR, 256> message{};
    pcre2_get_error_message(error, message.data(), message.size());
    throw BadRegex(std::string(reinterpret_cast<const char*>(message.data())) + " at character " +
                   std::to_string(offset + 1));
  }
  pcre2_code* code = code_->code.get();
  std::uint32_t groups = 0, named = 0, width = 0;
  PCRE2_SPTR table = nullptr;
  pcre2_pattern_info(code, PCRE2_INFO_CAPTURECOUNT, &groups);
  if (groups > kCapturesMost) throw BadRegex("more than 99 groups");
  groups_ = groups;
  pcre2_pattern_info(code, PCRE2_INFO_NAMECOUNT, &named);
  pcre2_pattern_info(code, PCRE2_INFO_NAMEENTRYSIZE, &width);
  pcre2_pattern_info(code, PCRE2_INFO_NAMETABLE, &table);
  for (std::uint32_t i = 0; i < named; ++i, table += width)
    names_.emplace_back(reinterpret_cast<const char*>(table + 2),
                        static_cast<std::size_t>(table[0] << 8 | table[1]));
  // Fails where the system forbids JIT code; matching is then interpreted.
  pcre2_jit_compile(code, PCRE2_JIT_COMPLETE);
  code_->data.reset(pcre2_match_data_create_from_pattern(code, nullptr));
  code_->context.reset(pcre2_match_context_create(nullptr));
  if (!code_->data || !code_->context) throw std::bad_alloc();
  pcre2_set_match_limit(code_->context.get(), kMatchLimit);
  pcre2_set_depth_limit(code_->context.get(), kDepthLimit);
  pcre2_set_heap_limit(code_->context.get(), kHeapLimit);
}

Regex::Result Regex::match(std::string_view subject, Captures* captures) const {
  const int found = pcre2_match(code_->code.get(), reinterpret_cast<PCRE2_SPTR>(subject.data()),
                                subject.size(), 0, 0, code_->data.get(), code_->context.get());
  if (found == PCRE2_ERROR_NOMATCH) return Result::none;
  if (found < 0) return Result::exhausted;  // a limit was reached or memory is short: no result
  if (!captures) return Result::matched;
  const PCRE2_SIZE* at = pcre2_get_ovector_pointer(code_->data.get());
  captures->assign(groups_ + 1, {});
  for (std::size_t i = 0; i < static_cast<std::size_t>(found); ++i)
    if (at[2 * i] != PCRE2_UNSET && at[2 * i + 1] >= at[2 * i])
      (*captures)[i] = subject.substr(at[2 * i], at[2 * i + 1] - at[2 * i]);
  return Result::matched;
}

}  // namespace cairnjunction::route
