// The syntax of nginx's files, from its public documentation: tokens and directives with their positions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace cairnjunction::import_nginx {

// Bounds on what is read. An include may name many files, and a file that includes itself never ends.
inline constexpr std::size_t kFileMost = 64 << 20;    // bytes of one file
inline constexpr std::size_t kAllMost = 256 << 20;    // bytes of all files
inline constexpr std::size_t kTokenMost = 1 << 20;    // bytes of one token; nothing that routes is near it
inline constexpr std::size_t kArgumentsMost = 4'096;  // of one directive; lists of names are long
inline constexpr std::size_t kBlocksMost = 64;        // blocks inside each other
inline constexpr std::size_t kIncludesMost = 16;      // files that include each other
inline constexpr std::size_t kFilesMost = 4'096;      // by all includes
inline constexpr std::size_t kDirectivesMost = 2'000'000;

// Where a token begins. Lines and columns count from 1; columns are bytes.
struct Position {
  std::uint32_t file = 0;  // into Source::files
  std::uint32_t line = 1, column = 1;
};

struct SourceFile {
  std::string path, text;
};

// What was read, kept for messages.
struct Source {
  std::vector<std::unique_ptr<SourceFile>> files;
  std::string place(Position at) const;    // "site.conf:12:5"
  std::string excerpt(Position at) const;  // the line, and a caret under the column; long ones are cut
};

// What can't be read. `what()` is one line without the place.
struct BadSyntax : std::runtime_error {
  BadSyntax(Position where, const std::string& what) : std::runtime_error(what), at(where) {}
  Position at;
};

struct Token {
  enum class Kind { word, semicolon, open, close, end };
  Kind kind = Kind::end;
  std::string text;     // word: with quotes and escapes resolved
  bool quoted = false;  // a quoted "{" or "" is a word like others
  Position at;
};

// Words are separated by white space; ';', '{' and '}' stand for themselves at the end of a word; '#' begins
// a comment where a word could begin; "..." and '...' are words, in which and outside of which a backslash
// escapes a quote, itself and t, r, n, and stays with any other character; "${name}" is part of a word.
class Lexer {
 public:
  // `text` must outlive it.
  Lexer(std::string_view text, std::uint32_t file) : text_(text) { at_.file = file; }
  Token next();  // throws BadSyntax

 private:
  void advance();
  Token word();
  Token quotedWord(char quote);
  void escape(std::string& into);
  void put(std::string& into, char c, Position begin);

  std::string_view text_;
  std::size_t i_ = 0;
  Position at_;
};

struct Argument {
  std::string text;
  Position at;
  bool quoted = false;
};

struct Directive {
  std::string name;
  std::vector<Argument> arguments;
  Position at;
  bool block = false;
  std::vector<Directive> inner;
};

// Access to files; the importer itself opens none.
class Files {
 public:
  virtual std::optional<std::string> read(const std::string& path) = 0;  // nothing: there is none
  // Paths that a pattern with '*', '?' or '[' names, in order; a relative one is of the folder of the main
  // file.
  virtual std::vector<std::string> glob(const std::string& pattern) = 0;

 protected:
  ~Files() = default;
};

// Reads a file and all that it includes, with the directives of included files behind each `include`.
// Throws BadSyntax. `source` is filled also then.
std::vector<Directive> parse(const std::string& path, Files& files, Source& source);

}  // namespace cairnjunction::import_nginx
