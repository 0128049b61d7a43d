// SQLite behind types that release what they hold, with errors as exceptions.
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
  SqliteError(int failedWith, const std::string& text) : std::runtime_error(text), code(failedWith) {}
  int code;  // SQLite's primary result code
};

// A prepared statement; must not outlive its database. Parameters and columns are counted as SQLite does:
// those from 1, these from 0.
class SqliteStatement {
 public:
  SqliteStatement(sqlite3* database, const char* sql);

  void bind(int parameter, std::uint64_t value);
  // The bytes must live until the statement has run.
  void bind(int parameter, std::string_view bytes);
  // Runs up to the next row; false: there is none.
  bool step();
  // Runs to its end, and makes it ready to be bound and run again.
  void run();
  std::uint64_t number(int column);
  std::string bytes(int column);

 private:
  struct Finalizer {
    void operator()(sqlite3_stmt* statement) const;
  };
  void require(int code);

  sqlite3* database_;
  std::unique_ptr<sqlite3_stmt, Finalizer> statement_;
};

// A database file that this process has for itself, with a write-ahead log: a transaction that has ended is
// on the disk. Used by one thread at a time.
class SqliteDatabase {
 public:
  // Opens the file, or makes it. Throws SqliteError, also where another process has it.
  explicit SqliteDatabase(const std::string& path);

  void execute(const char* sql);
  SqliteStatement prepare(const char* sql) { return {database_.get(), sql}; }
  // The text of the one value that the query yields.
  std::string queryText(const char* sql);
  // Calls `write` within a transaction. Where it or the commit throws, nothing of it stays.
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
  // Bytes of the write-ahead log, as of the last transaction.
  std::size_t writeAheadBytes() const { return *writeAheadPages_ * kPageBytes; }
  // Writes what is in the write-ahead log to the database file, so that the log begins anew.
  void checkpoint();

 private:
  static constexpr std::size_t kPageBytes = 4096;
  struct Closer {
    void operator()(sqlite3* database) const;
  };
  void rollBack();

  std::unique_ptr<std::size_t> writeAheadPages_;  // at an address that SQLite's callback keeps
  std::unique_ptr<sqlite3, Closer> database_;
};

}  // namespace cairnjunction::consensus
