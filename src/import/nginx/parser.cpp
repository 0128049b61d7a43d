// Directives of nginx's files, with includes put in their place.
#include <algorithm>
#include <set>

#include "import/nginx/syntax.hpp"

namespace cairnjunction::import_nginx {
namespace {

class Parser {
 public:
  Parser(Files& files, Source& source) : files_(files), source_(source) {}

  void file(const std::string& path, Position from, std::vector<Directive>& into, bool main) {
    if (std::find(open_.begin(), open_.end(), path) != open_.end())
      throw BadSyntax(from, "'" + path + "' includes itself");
    if (open_.size() >= kIncludesMost) throw BadSyntax(from, "includes nested deeper than 16");
    if (source_.files.size() >= kFilesMost) throw BadSyntax(from, "more than 4,096 files");
    auto text = files_.read(path);
    if (!text) {
      if (main) source_.files.push_back(std::make_unique<SourceFile>(SourceFile{path, {}}));
      throw BadSyntax(from, "cannot read '" + path + "'");
    }
    read_ += text->size();
    const auto index = static_cast<std::uint32_t>(source_.files.size());
    const bool tooLarge = text->size() > kFileMost || read_ > kAllMost;
    source_.files.push_back(std::make_unique<SourceFile>(SourceFile{path, std::move(*text)}));
    if (tooLarge) throw BadSyntax(from, "'" + path + "' is too large");
    open_.push_back(path);
    Lexer lexer(source_.files[index]->text, index);
    block(lexer, into, nullptr);
    open_.pop_back();
  }

 private:
  // Up to the end of the block that `opened` began, or of the file.
  void block(Lexer& lexer, std::vector<Directive>& into, const Directive* opened) {
    if (++depth_ > kBlocksMost) throw BadSyntax(opened->at, "blocks nested deeper than 64");
    for (;;) {
      Token token = lexer.next();
      switch (token.kind) {
        case Token::Kind::end:
          if (opened) throw BadSyntax(opened->at, "the block of '" + opened->name + "' is not closed");
          --depth_;
          return;
        case Token::Kind::close:
          if (!opened) throw BadSyntax(token.at, "'}' without '{'");
          --depth_;
          return;
        case Token::Kind::semicolon: throw BadSyntax(token.at, "';' with no directive before it");
        case Token::Kind::open: throw BadSyntax(token.at, "'{' with no directive before it");
        case Token::Kind::word: directive(lexer, std::move(token), into); break;
      }
    }
  }

  void directive(Lexer& lexer, Token name, std::vector<Directive>& into) {
    if (++directives_ > kDirectivesMost) throw BadSyntax(name.at, "more than 2,000,000 directives");
    Directive directive;
    directive.name = std::move(name.text);
    directive.at = name.at;
    for (;;) {
      Token token = lexer.next();
      if (token.kind == Token::Kind::word) {
        if (directive.arguments.size() >= kArgumentsMost)
          throw BadSyntax(token.at, "more than 4,096 words in one directive");
        directive.arguments.push_back({std::move(token.text), token.at, token.quoted});
        continue;
      }
      if (token.kind == Token::Kind::semicolon) break;
      if (token.kind == Token::Kind::open) {
        directive.block = true;
        block(lexer, directive.inner, &directive);
        break;
      }
      throw BadSyntax(token.at, token.kind == Token::Kind::close
                                    ? "'}' where ';' is missing behind '" + directive.name + "'"
                                    : "the file ends where ';' is missing behind '" + directive.name + "'");
    }
    if (directive.name != "include" || directive.block) return into.push_back(std::move(directive));
    into.push_back(directive);
    include(directive, into);
  }

  void include(const Directive& directive, std::vector<Directive>& into) {
    if (directive.arguments.size() != 1) throw BadSyntax(directive.at, "'include' wants one file");
    const std::string& pattern = directive.arguments[0].text;
    const bool many = pattern.find_first_of("*?[") != std::string::npos;
    const std::vector<std::string> paths = files_.glob(pattern);
    // A pattern may name no file; a name has to be one.
    if (paths.empty() && !many) throw BadSyntax(directive.arguments[0].at, "cannot read '" + pattern + "'");
    for (const std::string& path : paths) file(path, directive.arguments[0].at, into, false);
  }

  Files& files_;
  Source& source_;
  std::vector<std::string> open_;
  std::size_t depth_ = 0, directives_ = 0, read_ = 0;
};

}  // namespace

std::vector<Directive> parse(const std::string& path, Files& files, Source& source) {
  std::vector<Directive> all;
  Parser(files, source).file(path, {}, all, true);
  return all;
}

}  // namespace cairnjunction::import_nginx
