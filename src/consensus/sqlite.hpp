// RAII wrappers of an SQLite database and its statements, which report errors as exceptions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

struct sqlite3;
struct sqlite3_stmt;

namespace cairnjunction::consensus {

struct SqliteError : std::runtime_error {
  SqliteError(int resultCode, const std::string& text) : std::runtime_error(text), code(resultCode) {}
  int code;  // SQLite's primary result code
};

// A prepared statement; must not outlive its database. As in SQLite, parameters are numbered from 1 and
// columns from 0. All functions except integer() and blob() throw SqliteError.
class SqliteStatement {
 public:
  SqliteStatement(sqlite3* database, const char* sql);

  void bind(int parameter, std::uint64_t value);
  // Binds a blob without copying it: the bytes must stay valid until the statement has run.
  void bind(int parameter, std::string_view bytes);
  // Runs the statement to its next row; returns false if there is none.
  bool step();
  // Runs the statement to its end and resets it, so that it can be bound and run again.
  void run();
  // The value of a column in the current row.
  std::uint64_t integer(int column);
  std::string blob(int column);

 private:
  struct Finalizer {
    void operator()(sqlite3_stmt* statement) const;
  };
  void require(int code);

  sqlite3* database_;
  std::unique_ptr<sqlite3_stmt, Finalizer> statement_;
};

// A database file that is locked for this process only, with a write-ahead log. A committed transaction is on
// the disk. Not thread-safe: calls must not overlap. Functions that access the file throw SqliteError.
class SqliteDatabase {
 public:
  // Opens the file, or creates it. Throws SqliteError, also if another process has it open.
  explicit SqliteDatabase(const std::string& path);

  void execute(const char* sql);
  SqliteStatement prepare(const char* sql) { return {database_.get(), sql}; }
  // Returns the first column of the query's first row as text; empty if there is no row.
  std::string queryText(const char* sql);
  // Calls `write` within a transaction. If it or the commit throws, rolls back and rethrows.
  template <typename Write>
  void transact(const Write& write) {
    execute("BEGIN IMMEDIATE");
    try {
      write();
      execute("COMMIT");
    } catch (...) {
      rollBack();
      throw;
    }
  }
  // Size of the write-ahead log in bytes after the last transaction.
  std::size_t writeAheadBytes() const { return *writeAheadPages_ * kPageBytes; }
  // Writes the content of the write-ahead log to the database file, so that the log restarts from its
  // beginning.
  void checkpoint();

 private:
  static constexpr std::size_t kPageBytes = 4096;
  struct Closer {
    void operator()(sqlite3* database) const;
  };
  void rollBack();

  std::unique_ptr<std::size_t> writeAheadPages_;  // on the heap, since SQLite's callback keeps its address
  std::unique_ptr<sqlite3, Closer> database_;
};

}  // namespace cairnjunction::consensus
