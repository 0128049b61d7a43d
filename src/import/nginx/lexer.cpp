// Tokens of nginx's files.
#include <algorithm>

#include "import/nginx/syntax.hpp"

namespace cairnjunction::import_nginx {
namespace {

constexpr std::size_t kExcerptMost = 120;  // bytes of a line that are shown

bool space(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

}  // namespace

std::string Source::place(Position at) const {
  const std::string path = at.file < files.size() ? files[at.file]->path : "?";
  return path + ":" + std::to_string(at.line) + ":" + std::to_string(at.column);
}

std::string Source::excerpt(Position at) const {
  if (at.file >= files.size()) return {};
  std::string_view text = files[at.file]->text;
  for (std::uint32_t line = 1; line < at.line; ++line) {
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos) return {};
    text.remove_prefix(end + 1);
  }
  std::string_view line = text.substr(0, text.find('\n'));
  std::size_t column = std::min<std::size_t>(at.column - 1, line.size());
  std::string shown;
  if (column > kExcerptMost / 2) {
    const std::size_t cut = column - kExcerptMost / 2;
    line.remove_prefix(cut);
    column -= cut;
    shown = "...";
    column += 3;
  }
  const bool more = line.size() > kExcerptMost;
  shown += line.substr(0, kExcerptMost);
  std::replace_if(
      shown.begin(), shown.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 0x7f; },
      ' ');
  return shown + (more ? "..." : "") + "\n" + std::string(column, ' ') + "^";
}

void Lexer::advance() {
  if (text_[i_++] == '\n') {
    ++at_.line;
    at_.column = 1;
  } else {
    ++at_.column;
  }
}

void Lexer::put(std::string& into, char c, Position begin) {
  if (into.size() >= kTokenMost) throw BadSyntax(begin, "a token longer than 1 MiB");
  into += c;
}

// At a backslash.
void Lexer::escape(std::string& into) {
  const Position begin = at_;
  advance();
  if (i_ >= text_.size()) throw BadSyntax(begin, "a backslash at the end of the file");
  const char c = text_[i_];
  switch (c) {
    case '"':
    case '\'':
    case '\\': put(into, c, begin); break;
    case 't': put(into, '\t', begin); break;
    case 'r': put(into, '\r', begin); break;
    case 'n': put(into, '\n', begin); break;
    default:  // the backslash stays: expressions need it
      put(into, '\\', begin);
      put(into, c, begin);
  }
  advance();
}

Token Lexer::next() {
  for (;;) {
    while (i_ < text_.size() && space(text_[i_])) advance();
    if (i_ >= text_.size()) return {Token::Kind::end, {}, false, at_};
    if (text_[i_] != '#') break;
    while (i_ < text_.size() && text_[i_] != '\n') advance();
  }
  const Position begin = at_;
  switch (text_[i_]) {
    case ';': advance(); return {Token::Kind::semicolon, ";", false, begin};
    case '{': advance(); return {Token::Kind::open, "{", false, begin};
    case '}': advance(); return {Token::Kind::close, "}", false, begin};
    case '"':
    case '\'': return quotedWord(text_[i_]);
    default: return word();
  }
}

Token Lexer::quotedWord(char quote) {
  Token token{Token::Kind::word, {}, true, at_};
  advance();
  for (;;) {
    if (i_ >= text_.size()) throw BadSyntax(token.at, "a quote that is not closed");
    const char c = text_[i_];
    if (c == 0) throw BadSyntax(at_, "a NUL byte");
    if (c == quote) break;
    if (c == '\\') {
      escape(token.text);
      continue;
    }
    put(token.text, c, token.at);
    advance();
  }
  advance();
  if (i_ < text_.size() && !space(text_[i_]) && text_[i_] != ';' && text_[i_] != '{' && text_[i_] != ')')
    throw BadSyntax(at_, std::string("'") + text_[i_] + "' right behind a quoted word");
  return token;
}

Token Lexer::word() {
  Token token{Token::Kind::word, {}, false, at_};
  while (i_ < text_.size()) {
    const char c = text_[i_];
    if (c == 0) throw BadSyntax(at_, "a NUL byte");
    if (c == '\\') {
      escape(token.text);
      continue;
    }
    if (c == '{' && !token.text.empty() && token.text.back() == '$') {  // "${name}"
      while (i_ < text_.size() && text_[i_] != '}' && !space(text_[i_]) && text_[i_] != ';') {
        put(token.text, text_[i_], token.at);
        advance();
      }
      if (i_ < text_.size() && text_[i_] == '}') {
        put(token.text, '}', token.at);
        advance();
      }
      continue;
    }
    if (space(c) || c == ';' || c == '{') break;
    put(token.text, c, token.at);
    advance();
  }
  return token;
}

}  // namespace cairnjunction::import_nginx
