#include "consensus/raft_records.hpp"

#include <algorithm>
#include <cstring>
#include <new>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

namespace cairnjunction::consensus {
namespace {

using nlohmann::json;

// Allocates at least one byte, since the library's allocator may return null for zero bytes.
void* allocate(std::size_t size) {
  void* const memory = raft_malloc(std::max<std::size_t>(size, 1));
  if (!memory) throw std::bad_alloc();
  return memory;
}

raft_buffer copyOf(std::string_view bytes) {
  const raft_buffer copy{allocate(bytes.size()), bytes.size()};
  std::memcpy(copy.base, bytes.data(), bytes.size());
  return copy;
}

std::string_view bytesOf(const raft_buffer& buffer) {
  return {static_cast<const char*>(buffer.base), buffer.len};
}

std::string encodeConfiguration(const raft_configuration& configuration) {
  json voters = json::array();
  for (unsigned i = 0; i < configuration.n; ++i) {
    const raft_server& server = configuration.servers[i];
    voters.push_back({{"id", server.id}, {"address", server.address}, {"role", server.role}});
  }
  return voters.dump();
}

void decodeConfiguration(const std::string& encoded, raft_configuration& configuration) {
  try {
    for (const json& voter : json::parse(encoded)) {
      const std::string address = voter.at("address");
      if (raft_configuration_add(&configuration, voter.at("id"), address.c_str(), voter.at("role")) != 0)
        throw std::invalid_argument("voter " + address + " is not valid");
    }
  } catch (const json::exception& error) {
    throw std::invalid_argument(error.what());
  }
}

}  // namespace

std::vector<StoredEntry> toStoredEntries(raft_index first, const raft_entry* entries, std::size_t count) {
  std::vector<StoredEntry> stored;
  stored.reserve(count);
  for (std::size_t i = 0; i < count; ++i)
    stored.push_back({first + i, entries[i].term, entries[i].type, std::string(bytesOf(entries[i].buf))});
  return stored;
}

StoredSnapshot toStoredSnapshot(const raft_snapshot& snapshot) {
  StoredSnapshot stored;
  stored.index = snapshot.index;
  stored.term = snapshot.term;
  stored.configurationIndex = snapshot.configuration_index;
  stored.configuration = encodeConfiguration(snapshot.configuration);
  for (unsigned i = 0; i < snapshot.n_bufs; ++i) stored.data += bytesOf(snapshot.bufs[i]);
  return stored;
}

raft_entry* toRaftEntries(const std::vector<StoredEntry>& entries) {
  if (entries.empty()) return nullptr;
  auto* const loaded = static_cast<raft_entry*>(allocate(entries.size() * sizeof(raft_entry)));
  for (std::size_t i = 0; i < entries.size(); ++i) {
    loaded[i].term = entries[i].term;
    loaded[i].type = static_cast<unsigned short>(entries[i].type);
    loaded[i].buf = copyOf(entries[i].data);
    loaded[i].batch = loaded[i].buf.base;  // each entry is its own batch, and so is freed on its own
  }
  return loaded;
}

// Entries of one batch are consecutive and share one allocation.
void freeRaftEntries(raft_entry* entries, std::size_t count) {
  const void* freed = nullptr;
  for (std::size_t i = 0; i < count; ++i) {
    if (entries[i].batch == freed) continue;
    freed = entries[i].batch;
    raft_free(entries[i].batch);
  }
  raft_free(entries);
}

void RaftSnapshotDeleter::operator()(raft_snapshot* snapshot) const {
  raft_configuration_close(&snapshot->configuration);
  for (unsigned i = 0; i < snapshot->n_bufs; ++i) raft_free(snapshot->bufs[i].base);
  raft_free(snapshot->bufs);
  raft_free(snapshot);
}

RaftSnapshotPtr toRaftSnapshot(const StoredSnapshot& snapshot) {
  auto* const memory = static_cast<raft_snapshot*>(allocate(sizeof(raft_snapshot)));
  *memory = {};
  RaftSnapshotPtr loaded(memory);
  raft_configuration_init(&loaded->configuration);
  loaded->index = snapshot.index;
  loaded->term = snapshot.term;
  loaded->configuration_index = snapshot.configurationIndex;
  decodeConfiguration(snapshot.configuration, loaded->configuration);
  loaded->bufs = static_cast<raft_buffer*>(allocate(sizeof(raft_buffer)));
  *loaded->bufs = copyOf(snapshot.data);
  loaded->n_bufs = 1;
  return loaded;
}

}  // namespace cairnjunction::consensus
