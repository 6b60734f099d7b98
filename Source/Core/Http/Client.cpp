// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/Client.h"

#include <algorithm>
#include <coroutine>
#include <string_view>
#include <utility>

#include "Common/Loop.h"
#include "Common/Reactor.h"
#include "Http/Channel.h"
#include "Http/OriginConnection.h"

namespace Http
{
namespace
{
using Common::Failure;
using Common::FailureKind;
using Common::Milliseconds;
using Common::Result;
using Common::Task;

/// Reading pauses while so much of a body has not been read by the caller.
constexpr std::size_t MAX_BUFFERED_BYTES = std::size_t{64} << 10U;
constexpr std::size_t MAX_RESPONSE_BYTES = std::size_t{64} << 20U;
/// The kernel drops unacknowledged bytes after this time, also if the socket has been closed or the
/// process has exited, so that no part of an order arrives later than that.
constexpr SocketOptions SOCKET_OPTIONS{.user_timeout = Milliseconds(10000)};

/// The parts of a URL "http://IP:PORT/PATH".
struct Target
{
  Endpoint peer;
  std::string path; ///< With the query.
};

Result<Target> ParseUrl(std::string_view url)
{
  constexpr std::string_view SCHEME = "http://";
  if (!url.starts_with(SCHEME))
    return {FailureKind::InvalidInput, "not an http URL: " + std::string(url)};
  url.remove_prefix(SCHEME.size());
  const auto path_begin = std::min(url.find('/'), url.size());
  const auto peer = Endpoint::Parse(url.substr(0, path_begin));
  if (!peer)
    return peer.Reason();
  const auto path = url.substr(path_begin);
  return Target{*peer, path.empty() ? "/" : std::string(path)};
}

CompleteRequest ToWire(const Request& request, const std::string& path)
{
  CompleteRequest wire{request.method, path, {}, request.body};
  for (const auto& [name, value] : request.headers)
    wire.headers.push_back({name, value});
  if (!request.body.empty())
    wire.headers.push_back({"Content-Type", request.content_type});
  return wire;
}

Headers ByLowerCaseName(const std::vector<HeaderField>& fields)
{
  Headers headers;
  for (const HeaderField& field : fields)
  {
    std::string name = field.name;
    std::ranges::transform(name, name.begin(), [](char c) {
      return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    headers[name] = field.value;
  }
  return headers;
}
} // namespace

/// One request and its response, for a coroutine that waits for what comes next.
class Client::Exchange : public ResponseHandler, public std::enable_shared_from_this<Exchange>
{
public:
  ~Exchange() override
  {
    if (m_connection)
      m_connection->Abandon();
  }

  void Begin(const Endpoint& peer, const CompleteRequest& request)
  {
    m_connection = OriginConnection::Connect(peer, SOCKET_OPTIONS);
    if (m_connection)
      m_connection->Send(SerializeRequest(request, peer), this, request.method == "HEAD");
    else
      m_failure = Failure{FailureKind::NotSent, "could not open a socket"};
  }

  /// Fails the exchange if nothing ends it, or calls this again, for so long.
  void Limit(Milliseconds timeout)
  {
    m_timer.Start(timeout, [this] {
      Fail(HasSent() ? FailureKind::Timeout : FailureKind::NotSent, "no response in time");
    });
  }
  void RemoveLimit() { m_timer.Stop(); }

  /// Suspends a coroutine until more of the response has come, or the exchange has failed.
  auto Change()
  {
    struct Awaitable
    {
      bool await_ready() const noexcept { return false; }
      void await_suspend(std::coroutine_handle<> handle) { exchange.m_waiter = handle; }
      void await_resume() const noexcept {}

      Exchange& exchange;
    };
    return Awaitable{*this};
  }

  const std::optional<MessageHead>& Head() const { return m_head; }
  const std::optional<Failure>& Failed() const { return m_failure; }
  bool IsComplete() const { return m_is_complete; }

  std::string TakeBody()
  {
    if (m_connection)
      m_connection->SetReading(true);
    return std::exchange(m_body, {});
  }

  void Fail(FailureKind kind, std::string_view why)
  {
    if (m_failure || m_is_complete)
      return;
    m_failure = Failure{kind, std::string(why)};
    if (const auto connection = std::exchange(m_connection, nullptr))
      connection->Abandon();
    Wake();
  }

  HeadAction OnResponseHead(MessageHead& head) override
  {
    m_head = head;
    Wake();
    return HeadAction::Accept;
  }

  void OnResponseBody(std::string_view bytes) override
  {
    m_body.append(bytes);
    if (m_body.size() >= MAX_BUFFERED_BYTES && m_connection)
      m_connection->SetReading(false);
    Wake();
  }

  void OnResponseEnd() override
  {
    m_is_complete = true;
    Wake();
  }

  void OnExchangeFailed(ExchangeError) override
  {
    Fail(HasSent() ? FailureKind::OutcomeUnknown : FailureKind::NotSent,
         "the exchange failed before the response was complete");
  }

private:
  bool HasSent() const { return m_connection && m_connection->HasSent(); }

  /// Resumes the coroutine from the main loop, since it may end the connection that calls this.
  void Wake()
  {
    if (!m_waiter || m_wake_timer.Running())
      return;
    m_wake_timer.Start(Milliseconds(0), [this] {
      const auto guard = shared_from_this();
      std::exchange(m_waiter, nullptr).resume();
    });
  }

  std::shared_ptr<OriginConnection> m_connection;
  std::optional<MessageHead> m_head;
  std::string m_body; ///< Received, but not read yet.
  bool m_is_complete = false;
  std::optional<Failure> m_failure;
  std::coroutine_handle<> m_waiter;
  Common::OwnedTimer m_timer;
  Common::OwnedTimer m_wake_timer;
};

class Client::Stream : public ResponseStream
{
public:
  explicit Stream(std::shared_ptr<Exchange> exchange)
      : m_exchange(std::move(exchange)), m_headers(ByLowerCaseName(m_exchange->Head()->headers))
  {
  }

  int Status() const override { return m_exchange->Head()->status; }
  const Headers& GetHeaders() const override { return m_headers; }

  Task<Result<std::string>> Read(Milliseconds stall_timeout) override
  {
    const auto exchange = m_exchange;
    exchange->Limit(stall_timeout);
    while (true)
    {
      std::string bytes = exchange->TakeBody();
      if (!bytes.empty())
      {
        exchange->RemoveLimit();
        co_return bytes;
      }
      if (exchange->Failed())
        co_return *exchange->Failed();
      if (exchange->IsComplete())
        break;
      auto change = exchange->Change();
      co_await change;
    }
    exchange->RemoveLimit();
    // Such a body may have been cut off where its server crashed.
    if (exchange->Head()->ends_with_connection)
      co_return Failure{FailureKind::OutcomeUnknown, "the response has no stated end"};
    co_return std::string();
  }

  void Cancel() override { m_exchange->Fail(FailureKind::OutcomeUnknown, "cancelled"); }

private:
  std::shared_ptr<Exchange> m_exchange;
  Headers m_headers;
};

Task<Result<std::unique_ptr<ResponseStream>>> Client::Open(Request request)
{
  const auto target = ParseUrl(request.url);
  if (!target)
    co_return target.Reason();
  const CompleteRequest wire = ToWire(request, target->path);
  const auto exchange = std::make_shared<Exchange>();
  exchange->Begin(target->peer, wire);
  exchange->Limit(request.timeout);
  while (!exchange->Head() && !exchange->Failed())
  {
    auto change = exchange->Change();
    co_await change;
  }
  exchange->RemoveLimit();
  if (!exchange->Head())
    co_return *exchange->Failed();
  std::unique_ptr<ResponseStream> stream = std::make_unique<Stream>(exchange);
  co_return stream;
}

Task<Result<Response>> Client::Send(Request request)
{
  const auto stall_timeout = request.timeout;
  auto opened = co_await Open(std::move(request));
  if (!opened)
    co_return opened.Reason();
  ResponseStream& stream = **opened;
  Response response{stream.Status(), stream.GetHeaders(), {}};
  while (true)
  {
    auto chunk = co_await stream.Read(stall_timeout);
    if (!chunk)
      co_return chunk.Reason();
    if (chunk->empty())
      co_return response;
    response.body += *chunk;
    if (response.body.size() > MAX_RESPONSE_BYTES)
      co_return Failure{FailureKind::Protocol, "the response is too large"};
  }
}
} // namespace Http
