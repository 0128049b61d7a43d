// Lexer and parser of nginx's files: quotes, escapes, positions, includes, and bounds on all that a file can
// grow.
#include "import/nginx/syntax.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>

#include "import/nginx/units.hpp"
#include "import/sites.hpp"

namespace cairnjunction::testing {
namespace {

using namespace import_nginx;

std::vector<std::string> words(const std::string& text) {
  Lexer lexer(text, 0);
  std::vector<std::string> out;
  for (Token token = lexer.next(); token.kind != Token::Kind::end; token = lexer.next())
    out.push_back(token.kind == Token::Kind::word ? token.text : "<" + token.text + ">");
  return out;
}

// "line:column: what", as parsing ends.
std::string failure(MemoryFiles files, const std::string& path = "f") {
  Source source;
  try {
    parse(path, files, source);
  } catch (const BadSyntax& bad) {
    return source.place(bad.at) + ": " + bad.what();
  }
  return "";
}

std::string failure(const std::string& text) {
  MemoryFiles files;
  files.files["f"] = text;
  return failure(files);
}

TEST(LexerTest, WordsQuotesEscapesAndComments) {
  using V = std::vector<std::string>;
  EXPECT_EQ(words("a b;c{d}"), (V{"a", "b", "<;>", "c", "<{>", "d}"}));
  EXPECT_EQ(words("a{b;}"), (V{"a", "<{>", "b", "<;>", "<}>"}));
  EXPECT_EQ(words("a # b;\nc#d ;"), (V{"a", "c#d", "<;>"}));
  EXPECT_EQ(words("'a b' \"c ; {\" '' ;"), (V{"a b", "c ; {", "", "<;>"}));
  EXPECT_EQ(words(R"("a\"b" 'a\'b' a\ b "\\d \d \n";)"), (V{"a\"b", "a'b", "a\\ b", "\\d \\d \n", "<;>"}));
  EXPECT_EQ(words("~ \\.(png|jpg)$ {"), (V{"~", "\\.(png|jpg)$", "<{>"}));
  EXPECT_EQ(words("${a}b $c{"), (V{"${a}b", "$c", "<{>"}));
  EXPECT_EQ(words("($a ~ \"x y\") {"), (V{"($a", "~", "x y", ")", "<{>"}));
  EXPECT_EQ(words("\xef\xbb\xbfuser ;")[0], "\xef\xbb\xbfuser");
  EXPECT_EQ(words(""), V{});
}

TEST(LexerTest, PositionsAreThoseOfTheFirstByte) {
  const std::string text = "a\n  bc 'd\ne' f;";
  Lexer lexer(text, 3);
  std::vector<std::pair<std::uint32_t, std::uint32_t>> at;
  for (Token token = lexer.next(); token.kind != Token::Kind::end; token = lexer.next()) {
    EXPECT_EQ(token.at.file, 3u);
    at.emplace_back(token.at.line, token.at.column);
  }
  EXPECT_EQ(at,
            (std::vector<std::pair<std::uint32_t, std::uint32_t>>{{1, 1}, {2, 3}, {2, 6}, {3, 4}, {3, 5}}));
}

TEST(ParserTest, WhatCantBeReadIsSaidWithItsPlace) {
  EXPECT_EQ(failure("a b"), "f:1:4: the file ends where ';' is missing behind 'a'");
  EXPECT_EQ(failure("a {\n b;"), "f:1:1: the block of 'a' is not closed");
  EXPECT_EQ(failure("a;\n}"), "f:2:1: '}' without '{'");
  EXPECT_EQ(failure("a { b }"), "f:1:7: '}' where ';' is missing behind 'b'");
  EXPECT_EQ(failure(";"), "f:1:1: ';' with no directive before it");
  EXPECT_EQ(failure("a 'b"), "f:1:3: a quote that is not closed");
  EXPECT_EQ(failure("a 'b'c;"), "f:1:6: 'c' right behind a quoted word");
  EXPECT_EQ(failure("a b\\"), "f:1:4: a backslash at the end of the file");
  EXPECT_EQ(failure(std::string("a b\0c;", 6)), "f:1:4: a NUL byte");
  EXPECT_EQ(failure(MemoryFiles{}, "none"), "none:1:1: cannot read 'none'");
}

TEST(ParserTest, TheExcerptShowsTheLineAndACaret) {
  MemoryFiles files;
  files.files["f"] = "good;\n\tbad 'x\n";
  Source source;
  try {
    parse("f", files, source);
    FAIL();
  } catch (const BadSyntax& bad) {
    EXPECT_EQ(source.excerpt(bad.at), " bad 'x\n     ^");
  }
  // Of a long line only what is near; never what a terminal would obey.
  files.files["f"] = "a " + std::string(5000, 'b') + " \x1b[2J 'x";
  try {
    Source other;
    parse("f", files, other);
    FAIL();
  } catch (const BadSyntax& bad) {
    Source other;
    other.files.push_back(std::make_unique<SourceFile>(SourceFile{"f", files.files["f"]}));
    const std::string shown = other.excerpt(bad.at);
    EXPECT_LT(shown.size(), 300u);
    EXPECT_EQ(shown.find('\x1b'), std::string::npos);
    EXPECT_EQ(shown.substr(shown.find('\n') - 2, 2), "'x");
  }
}

TEST(ParserTest, IncludesStandInTheirPlace) {
  MemoryFiles files;
  files.files["f"] = "a; include b; c;";
  files.files["b"] = "b1;\nb2 { include d/*.x; }";
  files.files["d/1.x"] = "one;";
  files.files["d/2.x"] = "two;";
  Source source;
  const auto all = parse("f", files, source);
  std::vector<std::string> names;
  for (const Directive& d : all) names.push_back(d.name);
  EXPECT_EQ(names, (std::vector<std::string>{"a", "include", "b1", "b2", "c"}));
  ASSERT_EQ(all[3].inner.size(), 3u);
  EXPECT_EQ(source.place(all[3].inner[2].at), "d/2.x:1:1");
  files.files["f"] = "include none/*;";
  EXPECT_EQ(failure(files), "");  // a pattern may name nothing
  files.files["f"] = "include none;";
  EXPECT_EQ(failure(files), "f:1:9: cannot read 'none'");
}

TEST(ParserTest, WhatIncludesItselfEnds) {
  MemoryFiles files;
  files.files["f"] = "include f;";
  EXPECT_EQ(failure(files), "f:1:9: 'f' includes itself");
  files.files["f"] = "include g;";
  files.files["g"] = "x;\ninclude f;";
  EXPECT_EQ(failure(files), "g:2:9: 'f' includes itself");
  // Not itself, but ever deeper; and not deep, but ever more.
  for (int i = 0; i < 40; ++i)
    files.files["n" + std::to_string(i)] = "include n" + std::to_string(i + 1) + ";";
  EXPECT_NE(failure(files, "n0").find("includes nested deeper than 16"), std::string::npos);
  MemoryFiles many;
  many.files["a"] = "include b; include b;";
  std::string doubling;
  for (char c = 'b'; c < 'p'; ++c) {
    const std::string next(1, static_cast<char>(c + 1));
    many.files[std::string(1, c)] = "include " + next + "; include " + next + ";";
  }
  many.files["p"] = "x;";
  EXPECT_NE(failure(many, "a").find("more than 4,096 files"), std::string::npos);
}

TEST(ParserTest, AllThatAFileCanGrowIsBounded) {
  EXPECT_EQ(failure("a " + std::string(10 << 20, 'x') + ";"), "f:1:3: a token longer than 1 MiB");
  EXPECT_EQ(failure("a '" + std::string(10 << 20, 'x') + "';"), "f:1:3: a token longer than 1 MiB");
  std::string deep;
  for (int i = 0; i < 100000; ++i) deep += "a{";
  EXPECT_NE(failure(deep).find("blocks nested deeper than 64"), std::string::npos);
  std::string wide = "a";
  for (int i = 0; i < 5000; ++i) wide += " b";
  EXPECT_NE(failure(wide + ";").find("more than 4,096 words"), std::string::npos);
  MemoryFiles large;
  large.files["f"] = std::string(kFileMost + 1, ' ');
  EXPECT_NE(failure(large).find("is too large"), std::string::npos);
}

TEST(ParserTest, AFileOfAHundredThousandLinesIsRead) {
  std::string text = "upstream p { server 10.0.0.1:80; }\nserver {\nlisten 80;\n";
  for (int i = 0; i < 33333; ++i)
    text += "location /l" + std::to_string(i) + "/ {\nproxy_pass http://p;\n}\n";
  const ImportedText imported(text + "}\n");
  EXPECT_EQ(imported.result.routes.servers.at(0).locations.size(), 33333u);
  EXPECT_EQ(imported.result.report.entries().size(), 2 * 33333u + 4);
  EXPECT_EQ(imported.result.report.exitCode(), 0);
}

TEST(UnitsTest, SizesAndTimesAsDocumented) {
  EXPECT_EQ(sizeOf("512"), 512u);
  EXPECT_EQ(sizeOf("8k"), 8192u);
  EXPECT_EQ(sizeOf("10M"), 10u << 20);
  EXPECT_EQ(sizeOf("1g"), 1u << 30);
  for (const char* bad : {"", "k", "1t", "-1", "1.5m", "9999999999999999999", "99999999999999g", "1 k"})
    EXPECT_FALSE(sizeOf(bad)) << bad;
  using std::chrono::milliseconds;
  EXPECT_EQ(timeOf("90"), milliseconds(90000));
  EXPECT_EQ(timeOf("500ms"), milliseconds(500));
  EXPECT_EQ(timeOf("1h30m"), milliseconds(5400000));
  EXPECT_EQ(timeOf("1d 12h"), milliseconds(129600000));
  EXPECT_EQ(timeOf("1M"), milliseconds(30LL * 86400000));
  EXPECT_EQ(timeOf("0"), milliseconds(0));
  for (const char* bad :
       {"", " ", "s", "1x", "30m1h", "1m1m", "5 5", "1.5s", "-1s", "200y", "999999999999999999999"})
    EXPECT_FALSE(timeOf(bad)) << bad;
}

}  // namespace
}  // namespace cairnjunction::testing
