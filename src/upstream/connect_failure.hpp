// Why a new connection did not come up, from the system's error.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

// Our own lack, silence, or else what the machine or the network answered: nobody is there.
inline policy::FailureReason connectFailureReason(const boost::system::error_code& ec) {
  namespace errc = boost::system::errc;
  for (const errc::errc_t own : {errc::too_many_files_open, errc::too_many_files_open_in_system,
                                 errc::no_buffer_space, errc::not_enough_memory, errc::address_not_available})
    if (ec == own) return policy::FailureReason::noDescriptor;
  return ec == errc::timed_out ? policy::FailureReason::connectTimeout
                               : policy::FailureReason::connectionRefused;
}

}  // namespace cairnjunction
