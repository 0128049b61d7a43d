// Sizes and times as nginx's files write them.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cairnjunction::import_nginx {

// "8k", "10m", "1g", "512", letters in any case; bytes. Nothing for what is none, or above 2^62.
std::optional<std::uint64_t> sizeOf(std::string_view text);

// "1d 12h", "30s", "500ms", "90" (seconds): numbers with units of falling size, each once. Nothing for what
// is none, or above 100 years. ("M" are months of 30 days, "y" years of 365, as documented.)
std::optional<std::chrono::milliseconds> timeOf(std::string_view text);

std::optional<std::uint64_t> numberOf(std::string_view text);  // digits only, up to 18

}  // namespace cairnjunction::import_nginx
