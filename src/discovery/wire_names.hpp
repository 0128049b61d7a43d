// The names of discovery's protocol: path and query of a call, fields and states of the lists. They are
// defined by discovery and are written only here in the package.
#pragma once

namespace cairnjunction::discovery_wire {

// A call: GET kPath[?kSince=VERSION&kTimeoutMs=MILLISECONDS]. Without a query it requests the full list.
inline constexpr const char* kPath = "/discovery/hosts";
inline constexpr const char* kSince = "since";
inline constexpr const char* kTimeoutMs = "timeout_ms";

// Fields of a list.
inline constexpr const char* kVersion = "rev";
inline constexpr const char* kFull = "all";
inline constexpr const char* kEndpoints = "targets";

// Fields of an endpoint in a list.
inline constexpr const char* kUid = "uid";
inline constexpr const char* kAddress = "endpoint";
inline constexpr const char* kZone = "az";
inline constexpr const char* kMachineKind = "model";
inline constexpr const char* kCell = "pod_group";
inline constexpr const char* kState = "state";
inline constexpr const char* kWeight = "capacity_hint";
inline constexpr const char* kBootMs = "boot_ms";

// Values of kState.
inline constexpr const char* kServing = "SERVING";
inline constexpr const char* kDraining = "DRAINING";
inline constexpr const char* kDeleted = "DELETED";

}  // namespace cairnjunction::discovery_wire
