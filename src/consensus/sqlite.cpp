#include "consensus/sqlite.hpp"

#include <sqlite3.h>

namespace cairnjunction::consensus {
namespace {

constexpr int kPrimaryCodeMask = 0xff;  // the lowest byte of an extended result code is the primary one

[[noreturn]] void fail(sqlite3* database, int code) {
  throw SqliteError(code & kPrimaryCodeMask, database ? sqlite3_errmsg(database) : sqlite3_errstr(code));
}

}  // namespace

// --- Statements -------------------------------------------------------------------------------------------

SqliteStatement::SqliteStatement(sqlite3* database, const char* sql) : database_(database) {
  sqlite3_stmt* prepared = nullptr;
  require(sqlite3_prepare_v2(database, sql, -1, &prepared, nullptr));
  statement_.reset(prepared);
}

void SqliteStatement::Finalizer::operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }

void SqliteStatement::require(int code) {
  if (code != SQLITE_OK) fail(database_, code);
}

void SqliteStatement::bind(int parameter, std::uint64_t value) {
  require(sqlite3_bind_int64(statement_.get(), parameter, static_cast<sqlite3_int64>(value)));
}

void SqliteStatement::bind(int parameter, std::string_view bytes) {
  require(sqlite3_bind_blob64(statement_.get(), parameter, bytes.data(), bytes.size(), SQLITE_STATIC));
}

bool SqliteStatement::step() {
  const int code = sqlite3_step(statement_.get());
  if (code == SQLITE_ROW) return true;
  if (code != SQLITE_DONE) fail(database_, code);
  return false;
}

void SqliteStatement::run() {
  while (step()) {
  }
  require(sqlite3_reset(statement_.get()));
}

std::uint64_t SqliteStatement::integer(int column) {
  return static_cast<std::uint64_t>(sqlite3_column_int64(statement_.get(), column));
}

std::string SqliteStatement::blob(int column) {
  const void* data = sqlite3_column_blob(statement_.get(), column);
  const int size = sqlite3_column_bytes(statement_.get(), column);
  return data ? std::string(static_cast<const char*>(data), static_cast<std::size_t>(size)) : std::string();
}

// --- The database -----------------------------------------------------------------------------------------

SqliteDatabase::SqliteDatabase(const std::string& path) : writeAheadPages_(std::make_unique<std::size_t>(0)) {
  sqlite3* opened = nullptr;
  const int code =
      sqlite3_open_v2(path.c_str(), &opened, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
  database_.reset(opened);
  if (code != SQLITE_OK) fail(opened, code);
  // Set the exclusive mode before WAL: SQLite then keeps the WAL index in memory instead of a mapped file.
  execute("PRAGMA page_size=4096");
  execute("PRAGMA locking_mode=EXCLUSIVE");
  if (const std::string mode = queryText("PRAGMA journal_mode=WAL"); mode != "wal")
    throw SqliteError(SQLITE_CANTOPEN, "journal mode " + mode + ", expected wal");
  execute("PRAGMA synchronous=FULL");
  const auto storePageCount = [](void* pages, sqlite3*, const char*, int count) {
    *static_cast<std::size_t*>(pages) = static_cast<std::size_t>(count);
    return SQLITE_OK;
  };
  sqlite3_wal_hook(database_.get(), storePageCount, writeAheadPages_.get());
}

void SqliteDatabase::Closer::operator()(sqlite3* database) const { sqlite3_close_v2(database); }

void SqliteDatabase::execute(const char* sql) {
  const int code = sqlite3_exec(database_.get(), sql, nullptr, nullptr, nullptr);
  if (code != SQLITE_OK) fail(database_.get(), code);
}

std::string SqliteDatabase::queryText(const char* sql) {
  SqliteStatement statement = prepare(sql);
  return statement.step() ? statement.blob(0) : std::string();
}

void SqliteDatabase::checkpoint() {
  const int code =
      sqlite3_wal_checkpoint_v2(database_.get(), nullptr, SQLITE_CHECKPOINT_RESTART, nullptr, nullptr);
  if (code != SQLITE_OK) fail(database_.get(), code);
  *writeAheadPages_ = 0;
}

// Ignores the result: after some failures SQLite has rolled back already, and reports that no transaction is
// active.
void SqliteDatabase::rollBack() { sqlite3_exec(database_.get(), "ROLLBACK", nullptr, nullptr, nullptr); }

}  // namespace cairnjunction::consensus
