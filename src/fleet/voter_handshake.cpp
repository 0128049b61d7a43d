// Before a keeper votes.
#include "fleet/voter_handshake.hpp"

#include <utility>

namespace cairnjunction::fleet {

VoterHandshake::VoterHandshake(boost::asio::io_context& io, const Settings& settings, int number,
                               consensus::VoterIdentity& identity, EventLog& journal,
                               std::function<void(const std::string&)> ended)
    : io_(io),
      settings_(settings),
      number_(number),
      identity_(identity),
      journal_(journal),
      ended_(std::move(ended)) {
  for (const CoordinatorAddress& keeper : settings_.coordinators)
    if (keeper.number != number_) ask(keeper.number);
  settle();
}

VoterHandshake::~VoterHandshake() {
  for (const auto& [number, link] : links_)
    if (link) link->abandon();
}

void VoterHandshake::ask(int number) {
  Link::Limits limits;
  links_[number] = Link::dial(
      io_, settings_.coordinator(number)->address, limits,
      {[this, number] {
         links_[number]->send(VoterHandshakeRequest{kProtocol, settings_.fleet, number_, identity_.own()});
       },
       lifetime_.guard([this, number](const Message& message) {
         if (const auto* answer = std::get_if<VoterHandshakeResponse>(&message)) answered(number, *answer);
         else if (const auto* away = std::get_if<JoinRejected>(&message))
           journal_.line("not-admitted", {{"by", number}, {"why", away->reason}});
       }),
       lifetime_.guard([this, number](LinkEnd, const std::string&) {
         if (!agreed_.count(number)) askAgain(number);
       })});
}

void VoterHandshake::askAgain(int number) {
  auto& timer = timers_[number];
  timer = std::make_unique<boost::asio::steady_timer>(io_, kAgain);
  timer->async_wait(lifetime_.guard([this, number](boost::system::error_code ec) {
    if (!ec) ask(number);
  }));
}

void VoterHandshake::answered(int number, const VoterHandshakeResponse& answer) {
  std::string why = answer.rejection;
  if (why.empty() && answer.number == number)
    why = consensus::rejectionText(identity_.checkPeer(number, answer.mark));
  else if (why.empty())
    why = "at keeper " + std::to_string(number) + "'s address is keeper " + std::to_string(answer.number);
  if (why.empty()) {
    agreed_.insert(number);
    return settle();
  }
  journal_.line("not-admitted", {{"by", number}, {"why", why}});
  if (ended_) std::exchange(ended_, nullptr)(why);
}

// With itself a majority; so one alone needs nobody.
void VoterHandshake::settle() {
  if (agreed_.size() + 1 > settings_.coordinators.size() / 2 && ended_) std::exchange(ended_, nullptr)({});
}

}  // namespace cairnjunction::fleet
