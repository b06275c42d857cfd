#include "snapshotexchange.h"

#include "messageauth.h"

#include "base/hashing.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace geraniumlift::membership {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t NonceBytes = 16;

/// The nonce is sent as hexadecimal digits.
constexpr std::size_t NonceDigits = 2 * NonceBytes;
constexpr std::size_t MaxRequestBytes = MacBytes + NonceDigits;
constexpr std::size_t MaxResponseBytes = MacBytes + NonceDigits + MaxSnapshotBytes;

/// Limit on requests that are served at the same time. Without it, connections that send nothing
/// would use up the file descriptors.
constexpr auto MaxActiveRequests = 32;

/// Delay before accepting again after a failed accept. Without it, a process that has no free file
/// descriptors would retry in a busy loop.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds{100};

/// Time after which the connection of a peer is closed that has not sent its whole request or not
/// received its whole response.
constexpr auto ServeTimeout = std::chrono::seconds{10};

auto frame(const std::string &SignedMessage) -> std::string {
  auto Framed = std::string();
  Framed.reserve(LengthBytes + SignedMessage.size());
  for (auto Index = std::size_t{0}; Index < LengthBytes; ++Index) {
    Framed.push_back(static_cast<char>(SignedMessage.size() >> (8 * Index)));
  }
  return Framed.append(SignedMessage);
}

} // namespace

/// A TCP connection that carries frames and closes at its deadline.
class SnapshotExchange::Connection : public std::enable_shared_from_this<Connection> {
public:
  using Received = std::function<void(absl::StatusOr<std::string>)>;
  using Sent = std::function<void(bool)>;

  Connection(tcp::socket Socket, TrafficCounter &Traffic)
      : m_Traffic(Traffic), m_Socket(std::move(Socket)), m_Deadline(m_Socket.get_executor()) {}

  auto socket() -> tcp::socket & { return m_Socket; }

  /// Closes the connection after the given time unless close() comes first.
  auto closeAfter(std::chrono::milliseconds Time) -> void {
    m_Deadline.expires_after(Time);
    m_Deadline.async_wait([Self = shared_from_this()](const error_code &Error) {
      if (!Error) {
        Self->m_TimedOut = true;
        Self->close();
      }
    });
  }

  auto close() -> void {
    auto Ignored = error_code();
    m_Socket.close(Ignored);
    m_Deadline.cancel();
  }

  auto send(const std::string &SignedMessage, Sent Done) -> void {
    m_Output = frame(SignedMessage);
    boost::asio::async_write(m_Socket, boost::asio::buffer(m_Output),
                             [Self = shared_from_this(),
                              Done = std::move(Done)](const error_code &Error, std::size_t N) {
                               Self->m_Traffic.sentBytes(N);
                               Done(!Error);
                             });
  }

  /// Reads one frame of at most the given size.
  auto receive(std::size_t Limit, Received Done) -> void {
    boost::asio::async_read(m_Socket, boost::asio::buffer(m_Length),
                            [Self = shared_from_this(), Limit,
                             Done = std::move(Done)](const error_code &Error, std::size_t) mutable {
                              const auto Size = Self->length();
                              if (Error) {
                                return Done(Self->failure(Error));
                              }
                              if (Size > Limit) {
                                return Done(
                                    absl::ResourceExhaustedError("a frame exceeds its limit"));
                              }
                              Self->receiveBody(Size, std::move(Done));
                            });
  }

  [[nodiscard]] auto failure(const error_code &Error) const -> absl::Status {
    return m_TimedOut ? absl::DeadlineExceededError("the peer did not answer in time")
                      : absl::UnavailableError(Error.message());
  }

private:
  /// Bytes by which the input buffer grows as data arrives, so that a frame that only claims a
  /// large length does not allocate much memory.
  static constexpr std::size_t ChunkBytes = std::size_t{256} << 10;

  [[nodiscard]] auto length() const -> std::size_t {
    auto Size = std::size_t{0};
    for (auto Index = LengthBytes; Index > 0; --Index) {
      Size = (Size << 8) | m_Length[Index - 1];
    }
    return Size;
  }

  auto receiveBody(std::size_t Left, Received Done) -> void {
    if (Left == 0) {
      return Done(std::move(m_Input));
    }
    const auto Start = m_Input.size();
    const auto Chunk = std::min(Left, ChunkBytes);
    m_Input.resize(Start + Chunk);
    boost::asio::async_read(m_Socket, boost::asio::buffer(m_Input.data() + Start, Chunk),
                            [Self = shared_from_this(), Left, Chunk, Done = std::move(Done)](
                                const error_code &Error, std::size_t Bytes) mutable {
                              Self->m_Traffic.receivedBytes(Bytes);
                              if (Error) {
                                return Done(Self->failure(Error));
                              }
                              Self->receiveBody(Left - Chunk, std::move(Done));
                            });
  }

  TrafficCounter &m_Traffic;
  tcp::socket m_Socket;
  boost::asio::steady_timer m_Deadline;
  std::array<unsigned char, LengthBytes> m_Length{};
  std::string m_Input;
  std::string m_Output;
  bool m_TimedOut = false;
};

/// Fetches one snapshot. The callback runs exactly once.
class SnapshotExchange::Fetch : public std::enable_shared_from_this<Fetch> {
public:
  Fetch(SnapshotExchange &Owner, IMembership::SnapshotCallback Done)
      : m_Owner(Owner), m_Done(std::move(Done)), m_Nonce(base::randomHex(NonceBytes)),
        m_Connection(std::make_shared<Connection>(tcp::socket(Owner.m_Context), Owner.m_Traffic)) {}

  auto start(const tcp::endpoint &Peer) -> void {
    m_Connection->closeAfter(m_Owner.m_FetchTimeout);
    m_Connection->socket().async_connect(
        Peer, [Self = shared_from_this()](const error_code &Error) {
          if (Error) {
            return Self->finish(Self->m_Connection->failure(Error));
          }
          Self->request();
        });
  }

  auto finish(absl::StatusOr<std::string> Result) -> void {
    if (!m_Done) {
      return;
    }
    m_Connection->close();
    m_Owner.m_Fetches.erase(shared_from_this());
    std::exchange(m_Done, nullptr)(std::move(Result));
  }

private:
  auto request() -> void {
    const auto SignedMessage = signMessage(m_Owner.m_Key, MessageKind::SnapshotRequest, m_Nonce);
    m_Connection->send(SignedMessage, [Self = shared_from_this()](bool) {
      if (Self->m_Done) {
        Self->m_Connection->receive(MaxResponseBytes, [Self](absl::StatusOr<std::string> Frame) {
          Self->finish(Frame.ok() ? Self->verifyResponse(*Frame) : std::move(Frame));
        });
      }
    });
  }

  auto verifyResponse(const std::string &Frame) -> absl::StatusOr<std::string> {
    const auto Payload = verifyMessage(m_Owner.m_Key, MessageKind::SnapshotResponse, Frame);
    if (!Payload || !Payload->starts_with(m_Nonce)) {
      m_Owner.m_Traffic.unauthenticated();
      return absl::UnauthenticatedError("the peer's answer does not authenticate");
    }
    return std::string(Payload->substr(NonceDigits));
  }

  SnapshotExchange &m_Owner;
  IMembership::SnapshotCallback m_Done;
  std::string m_Nonce;
  std::shared_ptr<Connection> m_Connection;
};

SnapshotExchange::SnapshotExchange(boost::asio::io_context &Context, std::string Key,
                                   TrafficCounter &Traffic, std::chrono::milliseconds FetchTimeout)
    : m_Context(Context), m_Key(std::move(Key)), m_Traffic(Traffic), m_FetchTimeout(FetchTimeout),
      m_Acceptor(Context), m_AcceptTimer(Context) {}

SnapshotExchange::~SnapshotExchange() {
  while (!m_Fetches.empty()) {
    const auto Open = *m_Fetches.begin();
    Open->finish(absl::CancelledError("the membership is closed"));
  }
}

auto SnapshotExchange::serve(tcp::acceptor Acceptor, std::function<std::string()> Provider)
    -> void {
  m_Acceptor = std::move(Acceptor);
  m_Provider = std::move(Provider);
  accept();
}

auto SnapshotExchange::accept() -> void {
  m_Acceptor.async_accept([this](const error_code &Error, tcp::socket Socket) {
    if (Error == boost::asio::error::operation_aborted) {
      return;
    }
    if (Error) {
      return scheduleAccept();
    }
    if (m_ActiveRequests < MaxActiveRequests) {
      const auto From = std::make_shared<Connection>(std::move(Socket), m_Traffic);
      ++m_ActiveRequests;
      From->closeAfter(ServeTimeout);
      From->receive(MaxRequestBytes, [this, From](const absl::StatusOr<std::string> &Request) {
        if (Request.ok()) {
          return handleRequest(From, *Request);
        }
        m_Traffic.malformed();
        --m_ActiveRequests;
        From->close();
      });
    }
    accept();
  });
}

auto SnapshotExchange::scheduleAccept() -> void {
  m_AcceptTimer.expires_after(AcceptRetryDelay);
  m_AcceptTimer.async_wait([this](const error_code &Error) {
    if (!Error) {
      accept();
    }
  });
}

auto SnapshotExchange::handleRequest(const std::shared_ptr<Connection> &From,
                                     const std::string &Request) -> void {
  const auto Nonce = verifyMessage(m_Key, MessageKind::SnapshotRequest, Request);
  if (!Nonce || Nonce->size() != NonceDigits) {
    m_Traffic.unauthenticated();
    --m_ActiveRequests;
    return From->close();
  }
  const auto Snapshot = m_Provider();
  if (Snapshot.size() > MaxSnapshotBytes) {
    --m_ActiveRequests;
    return From->close();
  }
  const auto Payload = std::string(*Nonce).append(Snapshot);
  From->send(signMessage(m_Key, MessageKind::SnapshotResponse, Payload), [this, From](bool) {
    --m_ActiveRequests;
    From->close();
  });
}

auto SnapshotExchange::fetch(const tcp::endpoint &Peer, IMembership::SnapshotCallback Done)
    -> void {
  const auto Started = std::make_shared<Fetch>(*this, std::move(Done));
  m_Fetches.insert(Started);
  Started->start(Peer);
}

} // namespace geraniumlift::membership
