// A stand-in for a worker of a stock service.
#include "standins/worker.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "jsonrpc/frame.hpp"
#include "jsonrpc/parser.hpp"
#include "jsonrpc/reply.hpp"

namespace cairnjunction::standins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using namespace std::string_view_literals;

constexpr std::size_t kFrameMost = 1 << 20;
constexpr std::size_t kHeadMost = 32 << 10;
constexpr std::chrono::milliseconds kUnaskedLateMost{10};
constexpr std::size_t kKeysMost = 100'000;     // then those past their window are dropped
constexpr std::size_t kAnswerMost = 32 << 20;  // bytes that a request may ask for

std::string_view headerOf(std::string_view head, std::string_view name);

// The size of the answer that the request asks for; 0: it does not.
std::size_t answerBytesOf(std::string_view head) {
  std::size_t bytes = 0;
  const std::string_view text = headerOf(head, "X-Answer-Bytes");
  std::from_chars(text.data(), text.data() + text.size(), bytes);
  return std::min(bytes, kAnswerMost);
}

std::string_view headerOf(std::string_view head, std::string_view name) {
  for (std::size_t at = head.find("\r\n"); at != head.npos; at = head.find("\r\n", at + 2)) {
    const std::string_view line = head.substr(at + 2, head.find("\r\n", at + 2) - at - 2);
    if (line.size() <= name.size() || line[name.size()] != ':') continue;
    if (!std::equal(name.begin(), name.end(), line.begin(),
                    [](char a, char b) { return std::tolower(a) == std::tolower(b); }))
      continue;
    std::string_view value = line.substr(name.size() + 1);
    while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    return value;
  }
  return {};
}

}  // namespace

class StandInWorker::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(StandInWorker& worker, tcp::socket socket)
      : worker_(&worker), socket_(std::move(socket)), parser_(kFrameMost), reader_(kFrameMost) {}

  void read() {
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (ec) return self->close();
      self->in_.append(self->chunk_.data(), n);
      self->in_.reserve(self->in_.size() + jsonrpc::kPadding);
      if (!self->consume()) return self->close();
      if (self->open_) self->read();
    });
  }

  // Sends an answer that nobody asked for, unless the connection has ended by then.
  void answerUnasked(const std::string& answer, std::chrono::microseconds delay) {
    const auto timer = std::make_shared<asio::steady_timer>(worker_->io_, delay);
    timer->async_wait([self = shared_from_this(), timer, answer](error_code ec) {
      // On a busy machine it might come later than the options say.
      if (ec || !self->open_ || Clock::now() > timer->expiry() + kUnaskedLateMost) return;
      if (++self->worker_->unsolicited_ == 1) self->worker_->firstUnsolicited_ = Clock::now();
      self->out_ += answer;
      self->flushSoon();
    });
  }

  void close() {
    if (!std::exchange(open_, false)) return;
    error_code ignored;
    socket_.close(ignored);
    for (auto& [id, cancelled] : open_calls_) *cancelled = true;
    worker_->connections_.erase(shared_from_this());
  }

 private:
  bool consume() {
    if (in_.empty()) return true;
    const char first = in_.front();
    if (!http_ && !rpc_) (first == '{' || first == '[' || first == 'C' ? rpc_ : http_) = true;
    return rpc_ ? consumeRpc() : consumeHttp();
  }

  bool consumeRpc() {
    std::string_view rest = in_, text;
    for (;;) {
      const auto state = reader_.next(rest, text);
      rest.remove_prefix(reader_.taken());
      if (state == jsonrpc::FrameReader::State::more) break;
      if (state != jsonrpc::FrameReader::State::frame) return false;
      rpc(text);
      if (!open_) return true;
    }
    in_.erase(0, in_.size() - rest.size());
    return true;
  }

  void rpc(std::string_view text) {
    const jsonrpc::Request& request = parser_.parseRequest(text, 1);
    if (request.error != 0 || request.batch || request.entries.front().kind == jsonrpc::Entry::Kind::invalid)
      return close();
    const jsonrpc::Entry& entry = request.entries.front();
    if (entry.method == "rpc.cancel") {
      const auto known = open_calls_.find(parser_.param(0, "/id").value_or(""));
      if (known != open_calls_.end()) *known->second = true;
      return;
    }
    const std::string id(entry.id);
    const auto cancelled = std::make_shared<bool>(false);
    open_calls_[id] = cancelled;
    Job job;
    job.method = entry.method;
    job.ref = parser_.param(0, "/ref").value_or("");
    // What the gateway tells beside the params stands at the end of the text.
    const std::size_t at = text.rfind("\"call\":{");
    if (at != text.npos) job.key = memberOf(text.substr(at), "key");
    if (job.ref.empty() && at != text.npos) job.ref = memberOf(text.substr(at), "name");
    job.cancelled = cancelled;
    job.done = [self = shared_from_this(), id, echo = std::string(entry.params)](End end) {
      self->open_calls_.erase(id);
      jsonrpc::Result result{end != End::served, echo.empty() ? "null" : echo};
      if (end == End::failed) result.json = jsonrpc::errorText(jsonrpc::kInternalError, "Internal error");
      if (end == End::turnedAway) result.json = jsonrpc::errorText(-32010, "Busy", "{\"not_run\":true}");
      if (end == End::dropped) return self->close();
      if (end == End::silent) return;
      std::string reply;
      jsonrpc::appendReply(2, id, result, reply);
      jsonrpc::appendFrame(self->reader_.form(), reply, self->out_);
      self->flushSoon();
    };
    worker_->submit(std::move(job));
  }

  static std::string memberOf(std::string_view call, std::string_view name) {
    const std::string mark = "\"" + std::string(name) + "\":\"";
    const std::size_t at = call.find(mark);
    if (at == call.npos) return {};
    const std::size_t start = at + mark.size();
    return std::string(call.substr(start, call.find('"', start) - start));
  }

  bool consumeHttp() {
    if (busy_) return true;  // one request at a time
    const std::size_t end = in_.find("\r\n\r\n");
    if (end == std::string::npos) return in_.size() <= kHeadMost;
    const std::string_view head = std::string_view(in_).substr(0, end + 2);
    std::size_t length = 0;
    for (const char c : headerOf(head, "Content-Length")) {
      if (c < '0' || c > '9' || length > kFrameMost) return false;
      length = length * 10 + static_cast<std::size_t>(c - '0');
    }
    if (in_.size() < end + 4 + length) return true;
    std::string_view path = head.substr(head.find(' ') + 1);
    path = path.substr(0, path.find(' '));
    Job job;
    job.method = path.substr(1, path.find_first_of("/?", 1) - 1);
    job.ref = headerOf(head, "X-Request-Id");
    job.key = headerOf(head, "Idempotency-Key");
    const std::string body = in_.substr(end + 4, length);
    const std::size_t answerBytes = answerBytesOf(head);
    if (const auto ref = nlohmann::json::parse(body, nullptr, false);
        ref.is_object() && ref.contains("ref") && ref["ref"].is_string())
      job.ref = ref["ref"].get<std::string>();
    in_.erase(0, end + 4 + length);
    busy_ = true;
    job.cancelled = std::make_shared<bool>(false);
    open_calls_["http"] = job.cancelled;
    std::string served = body.empty() && worker_->options_.answersWithId ? job.ref : body;
    if (answerBytes > 0) served = std::string(answerBytes, 'x');
    job.done = [self = shared_from_this(), served](End result) {
      self->busy_ = false;
      self->open_calls_.clear();
      const char* status = "200 OK";
      if (result == End::dropped) return self->close();
      if (result == End::silent) return;
      if (result == End::failed) status = "500 Error";
      if (result == End::turnedAway) status = "503 Busy\r\nX-Not-Run: 1";
      const std::string content = result == End::served ? served : "";
      const std::string answer = std::string("HTTP/1.1 ") + status +
                                 "\r\nContent-Length: " + std::to_string(content.size()) + "\r\n\r\n" +
                                 content;
      self->out_ += answer;
      self->flushSoon();
      self->mayAnswerTwice(answer, result);
      if (!self->consume()) self->close();
    };
    worker_->submit(std::move(job));
    return true;
  }

  void mayAnswerTwice(const std::string& answer, End result) {
    using Kind = UnsolicitedAnswers::Kind;
    const UnsolicitedAnswers& fault = worker_->options_.unsolicited;
    if (fault.kind == Kind::served && result != End::served) return;
    if (fault.kind == Kind::notRun && result != End::turnedAway) return;
    worker_->lastAnswer_ = answer;
    if (fault.afterAnswer > 0 && worker_->draw() < fault.afterAnswer)
      answerUnasked(answer, worker_->unsolicitedDelay());
  }

  void flushSoon() {
    if (std::exchange(flushing_, true)) return;
    asio::post(worker_->io_, [self = shared_from_this()] { self->flush(); });
  }
  void flush() {
    if (!open_ || out_.empty()) return void(flushing_ = false);
    sending_.swap(out_);
    out_.clear();
    asio::async_write(socket_, asio::buffer(sending_),
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        if (ec) return self->close();
                        self->flush();
                      });
  }

  StandInWorker* worker_;
  tcp::socket socket_;
  jsonrpc::Parser parser_;
  jsonrpc::FrameReader reader_;
  std::array<char, 64 << 10> chunk_;
  std::string in_, out_, sending_;
  std::unordered_map<std::string, std::shared_ptr<bool>> open_calls_;
  bool open_ = true, http_ = false, rpc_ = false, busy_ = false, flushing_ = false;
};

StandInWorker::StandInWorker(asio::io_context& io, const tcp::endpoint& listen, const WorkerOptions& options,
                             Ledger& ledger)
    : io_(io),
      acceptor_(io, listen, true),
      options_(options),
      ledger_(ledger),
      random_(options.seed),
      lastAnswer_("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n") {
  accept();
}

StandInWorker::~StandInWorker() {
  for (const auto& connection : std::unordered_set<std::shared_ptr<Connection>>(connections_))
    connection->close();
}

void StandInWorker::accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec) return;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->read();
    ++accepted_;
    if (options_.unsolicited.onConnect > 0 && draw() < options_.unsolicited.onConnect)
      connection->answerUnasked(lastAnswer_, unsolicitedDelay());
    accept();
  });
}

std::chrono::microseconds StandInWorker::workTime() {
  const auto span = static_cast<double>((options_.workMost - options_.workLeast).count());
  double work = static_cast<double>(options_.workLeast.count()) + span * draw();
  const auto age = Clock::now() - born_;
  if (age < options_.coldTime) {
    const double warmth =
        std::chrono::duration<double>(age) / std::chrono::duration<double>(options_.coldTime);
    work /= options_.coldShare + (1 - options_.coldShare) * warmth;
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(work));
}

std::chrono::microseconds StandInWorker::unsolicitedDelay() {
  const UnsolicitedAnswers& fault = options_.unsolicited;
  return std::chrono::microseconds(std::uniform_int_distribution<std::int64_t>(
      fault.delayLeast.count(), std::max(fault.delayLeast, fault.delayMost).count())(random_));
}

void StandInWorker::submit(Job job) {
  ledger_.came(listening().port(), job.method, job.ref);
  const double fate = draw();
  if (fate < options_.dropBefore) return job.done(End::dropped);
  if (fate < options_.dropBefore + options_.turnAway || waiting_.size() >= options_.queue)
    return job.done(End::turnedAway);
  if (working_ >= options_.slots) return waiting_.push_back(std::move(job));
  begin(std::move(job));
}

void StandInWorker::begin(Job job) {
  if (*job.cancelled) return job.done(End::turnedAway);
  ++working_;
  const auto now = Clock::now();
  bool repeat = false;
  if (!job.key.empty()) {
    if (keys_.size() > kKeysMost)
      std::erase_if(keys_, [&](const auto& k) { return now - k.second > options_.window; });
    const auto [known, fresh] = keys_.emplace(job.key, now);
    repeat = !fresh && now - known->second <= options_.window;
    if (!fresh && !repeat) known->second = now;
  }
  if (!repeat) ledger_.ran(job.method, job.ref);
  const auto over = [this, job = std::move(job)] {
    --working_;
    const double fate = draw();
    if (fate < options_.dropAfter) job.done(End::dropped);
    else if (fate < options_.dropAfter + options_.silent) job.done(End::silent);
    else if (fate < options_.dropAfter + options_.silent + options_.fail || *job.cancelled)
      job.done(End::failed);
    else job.done(End::served);
    while (working_ < options_.slots && !waiting_.empty()) {
      Job next = std::move(waiting_.front());
      waiting_.pop_front();
      begin(std::move(next));
    }
  };
  const auto work = workTime();
  if (work.count() == 0) return over();
  const auto timer = std::make_shared<asio::steady_timer>(io_, work);
  timer->async_wait([timer, over](error_code ec) {
    if (!ec) over();
  });
}

}  // namespace cairnjunction::standins
