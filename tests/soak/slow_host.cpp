#include "soak/slow_host.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace cairnjunction::soak {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int kReceiveBufferBytes = 64 << 10;  // a small window, so that the gateway sees a slow reader
constexpr milliseconds kReadStep{20};
constexpr std::uint64_t kRequestBodyMost = 64 << 20;
constexpr std::size_t kChunkBytes = 3000;
constexpr milliseconds kNoiseAfter{30};
constexpr const char* kNoise = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nnoise";
constexpr const char* kInterim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

std::string chunked(const std::string& body) {
  std::string text;
  for (std::size_t at = 0; at < body.size(); at += kChunkBytes) {
    const std::string piece = body.substr(at, kChunkBytes);
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
    text.append(size.data()).append(piece).append("\r\n");
  }
  return text + "0\r\n\r\n";
}

// The text of an answer, and how much of it is the head.
struct AnswerText {
  std::string text;
  std::size_t headBytes = 0;
};

AnswerText httpAnswer(const AnswerPlan& plan, const std::string& body) {
  std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
  std::string framed = body;
  switch (plan.framing) {
    case AnswerFraming::length: head += "Content-Length: " + std::to_string(body.size()) + "\r\n"; break;
    case AnswerFraming::chunked:
      head += "Transfer-Encoding: chunked\r\n";
      framed = chunked(body);
      break;
    case AnswerFraming::untilClose: head += "Connection: close\r\n"; break;
  }
  head += "\r\n";
  return {head + framed, head.size()};
}

}  // namespace

// A connection that writes the pieces of one answer after the other, at their times.
class SlowHost::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket socket, HostLedger& ledger)
      : socket_(std::move(socket)), writeTimer_(socket_.get_executor()), ledger_(ledger) {}
  virtual ~Connection() = default;
  virtual void start() = 0;
  void close() {
    error_code ignored;
    socket_.close(ignored);
    writeTimer_.cancel();
  }

 protected:
  HostRun& run() { return ledger_.runs[plan_.tag][run_]; }

  void beginRun(const AnswerPlan& plan, const std::string& deadlineMs, Clock::time_point received) {
    plan_ = plan;
    auto& runs = ledger_.runs[plan.tag];
    run_ = runs.size();
    HostRun begun;
    begun.received = received;
    begun.deadlineMs = deadlineMs;
    runs.push_back(begun);
  }

  void beginAnswer(AnswerText answer) {
    answer_ = std::move(answer);
    pieces_ = planPieces(plan_, answer_.headBytes, answer_.text.size());
    nextPiece_ = sent_ = 0;
    answering_ = true;
    firstAt_ = Clock::now() + plan_.start;
    writeNextPiece();
  }

  // The gateway has closed or reset the connection.
  void onClosed() {
    if (answering_ && !run().lastByte && !run().cut) run().cut = Clock::now();
    answering_ = false;
    close();
  }
  virtual void onAnswered() = 0;

  tcp::socket socket_;
  asio::steady_timer writeTimer_;
  HostLedger& ledger_;
  AnswerPlan plan_;
  bool answering_ = false;

 private:
  void writeNextPiece() {
    if (nextPiece_ == pieces_.size()) return;  // a stalled one
    writeTimer_.expires_at(firstAt_ + pieces_[nextPiece_].at);
    writeTimer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec && self->answering_) self->writePiece();
    });
  }
  void writePiece() {
    const std::size_t end = pieces_[nextPiece_++].end;
    if (!run().firstByte) run().firstByte = Clock::now();
    asio::async_write(socket_, asio::buffer(answer_.text.data() + sent_, end - sent_),
                      [self = shared_from_this()](error_code ec, std::size_t bytes) {
                        if (!self->answering_) return;
                        self->run().written += bytes;
                        self->run().lastWrite = Clock::now();
                        if (ec) return self->onClosed();
                        self->onPieceWritten();
                      });
    sent_ = end;
  }
  void onPieceWritten() {
    if (sent_ < answer_.text.size()) return writeNextPiece();
    run().lastByte = Clock::now();
    answering_ = false;
    onAnswered();
  }

  std::size_t run_ = 0;  // of this request
  AnswerText answer_;
  std::vector<AnswerPiece> pieces_;
  std::size_t nextPiece_ = 0, sent_ = 0;
  Clock::time_point firstAt_;
};

class SlowHost::HttpConnection final : public Connection {
 public:
  HttpConnection(tcp::socket socket, HostLedger& ledger)
      : Connection(std::move(socket), ledger), readTimer_(socket_.get_executor()) {}

  void start() override {
    request_.emplace();
    request_->body_limit(kRequestBodyMost);
    read();
  }

 private:
  std::shared_ptr<HttpConnection> self() {
    return std::static_pointer_cast<HttpConnection>(shared_from_this());
  }

  void read() {
    socket_.async_read_some(asio::buffer(input_.data(), readBytes()),
                            [self = self()](error_code ec, std::size_t bytes) {
                              if (ec) return self->onClosed();
                              self->take(bytes);
                            });
  }
  // A request that is read slowly is read in steps of equal size.
  std::size_t readBytes() const {
    if (slowRead_.count() == 0) return input_.size();
    const auto steps = static_cast<std::size_t>(std::max<std::int64_t>(1, slowRead_ / kReadStep));
    return std::clamp<std::size_t>(slowBytes_ / steps, 1, input_.size());
  }
  void take(std::size_t bytes) {
    if (answering_) return;  // bytes behind a request that is not answered: none are sent
    buffer_.append(input_.data(), bytes);
    error_code ec;
    while (!buffer_.empty() && !request_->is_done()) {
      const std::size_t parsed = request_->put(asio::buffer(buffer_), ec);
      buffer_.erase(0, parsed);
      if (ec || parsed == 0) break;
    }
    if (ec && ec != http::error::need_more) return onClosed();
    if (request_->is_header_done() && slowRead_.count() == 0) {
      const auto target = request_->get().target();
      if (const auto plan = findPlan({target.data(), target.size()})) {
        slowRead_ = plan->readWithin;
        slowBytes_ = plan->requestBytes;
        if (slowRead_.count() > 0) ledger_.slowReads[plan->tag] = Clock::now();
      }
    }
    if (request_->is_done()) return onRequest();
    if (slowRead_.count() == 0) return read();
    readTimer_.expires_after(kReadStep);
    readTimer_.async_wait([self = self()](error_code failed) {
      if (!failed) self->read();
    });
  }
  void onRequest() {
    const auto& message = request_->get();
    const std::string all = std::string(message.target()) + " " + message.body();
    beginRun(findPlan(all).value_or(AnswerPlan{}), std::string(message["X-Deadline-Ms"]), Clock::now());
    AnswerText answer = httpAnswer(plan_, plannedBody(plan_));
    slowRead_ = milliseconds(0);
    if (plan_.shape == AnswerShape::interim)
      asio::write(socket_, asio::buffer(std::string(kInterim)), ignored_);
    beginAnswer(std::move(answer));
    watch();
  }
  // Sees the close of a connection on which no bytes are due.
  void watch() {
    socket_.async_read_some(asio::buffer(input_), [self = self()](error_code ec, std::size_t bytes) {
      if (ec) return self->onClosed();
      if (self->mayContinue_) self->next(bytes);
      else self->watch();
    });
  }
  void onAnswered() override {
    if (plan_.framing == AnswerFraming::untilClose) {
      socket_.shutdown(tcp::socket::shutdown_send, ignored_);
      return;
    }
    mayContinue_ = true;
    if (plan_.shape == AnswerShape::noiseBehind) sendNoise();
  }
  void sendNoise() {
    readTimer_.expires_after(kNoiseAfter);
    readTimer_.async_wait([self = self()](error_code failed) {
      if (!failed) asio::write(self->socket_, asio::buffer(std::string(kNoise)), self->ignored_);
    });
  }
  // The next request's first bytes have been read by watch().
  void next(std::size_t bytes) {
    mayContinue_ = false;
    request_.emplace();
    request_->body_limit(kRequestBodyMost);
    take(bytes);
  }

  asio::steady_timer readTimer_;
  std::array<char, 64 << 10> input_{};
  std::string buffer_;
  std::optional<http::request_parser<http::string_body>> request_;
  milliseconds slowRead_{0};
  std::size_t slowBytes_ = 0;
  bool mayContinue_ = false;
  error_code ignored_;
};

// Answers its calls one after the other, each slowly.
class SlowHost::JsonRpcConnection final : public Connection {
 public:
  using Connection::Connection;

  void start() override { read(); }

 private:
  std::shared_ptr<JsonRpcConnection> self() {
    return std::static_pointer_cast<JsonRpcConnection>(shared_from_this());
  }

  void read() {
    socket_.async_read_some(asio::buffer(input_), [self = self()](error_code ec, std::size_t bytes) {
      if (ec) return self->onClosed();
      self->received_.append(self->input_.data(), bytes);
      self->takeTexts();
      self->read();
    });
  }
  void takeTexts() {
    for (std::size_t end = received_.find('\n'); end != std::string::npos; end = received_.find('\n')) {
      const std::string line = received_.substr(0, end);
      received_.erase(0, end + 1);
      onText(json::parse(line), line);
    }
  }
  void onText(const json& text, const std::string& line) {
    if (text.value("method", "") == "rpc.cancel") {
      const json id = text["params"]["id"];
      std::erase_if(waiting_, [&](const Waiting& each) { return each.id == id; });
      return;  // one that is being written goes on, and crosses the cancel
    }
    waiting_.push_back({text["id"], findPlan(line).value_or(AnswerPlan{}),
                        std::to_string(text["call"].value("deadline_ms", 0)), Clock::now()});
    if (!answering_) answerNext();
  }
  void answerNext() {
    if (waiting_.empty()) return;
    const Waiting next = waiting_.front();
    waiting_.pop_front();
    beginRun(next.plan, next.deadlineMs, next.received);
    const std::string head = R"({"jsonrpc":"2.0","result":)";
    std::string body = plannedBody(plan_);
    if (body.empty()) body = "null";
    beginAnswer({head + body + ",\"id\":" + next.id.dump() + "}\n", head.size()});
  }
  void onAnswered() override { answerNext(); }

  struct Waiting {
    json id;
    AnswerPlan plan;
    std::string deadlineMs;
    Clock::time_point received;
  };
  std::array<char, 64 << 10> input_{};
  std::string received_;
  std::deque<Waiting> waiting_;
};

SlowHost::SlowHost(asio::io_context& io, HostProtocol protocol, HostLedger& ledger)
    : io_(io), protocol_(protocol), ledger_(ledger), acceptor_(io) {
  acceptor_.open(tcp::v4());
  acceptor_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
  acceptor_.listen();
  accept();
}

SlowHost::~SlowHost() {
  for (const auto& each : connections_)
    if (const auto connection = each.lock()) connection->close();
}

void SlowHost::accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (!ec) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::shared_ptr<Connection> connection;
      if (protocol_ == HostProtocol::http)
        connection = std::make_shared<HttpConnection>(std::move(socket), ledger_);
      else connection = std::make_shared<JsonRpcConnection>(std::move(socket), ledger_);
      connections_.push_back(connection);
      connection->start();
    }
    accept();
  });
}

}  // namespace cairnjunction::soak
