// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/Client.h"

#include <list>
#include <string_view>

#include <libsoup/soup.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include "Common/Loop.h"
#include "Http/GioAwait.h"

namespace Http
{
namespace
{
using Common::Failure;
using Common::FailureKind;
using Common::Result;
using Common::Task;

constexpr guint MAX_CONNECTIONS = 20000;
constexpr guint IDLE_SECONDS = 30;
/// Maximum size of one read, and the memory that each open stream holds for its buffer.
constexpr gsize READ_BYTES = 8 * 1024;
constexpr std::size_t MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

Headers CopyHeaders(SoupMessageHeaders* source)
{
  Headers headers;
  SoupMessageHeadersIter iter;
  soup_message_headers_iter_init(&iter, source);
  const char* name = nullptr;
  const char* value = nullptr;
  while (soup_message_headers_iter_next(&iter, &name, &value))
  {
    char* lower = g_ascii_strdown(name, -1);
    headers[lower] = value;
    g_free(lower);
  }
  return headers;
}

/// Cancels an operation after a delay and records that the timer did so. All timers share one
/// periodic tick: with a main-loop source for each read, the loop would check all of them in every
/// iteration, which with a thousand open streams costs more than the reads.
class CancellationTimer
{
public:
  CancellationTimer(GCancellable* cancellable, Common::Milliseconds delay)
      : m_cancellable(cancellable), m_deadline(Common::Now() + delay)
  {
    m_position = s_timers.insert(s_timers.end(), this);
    if (!std::exchange(s_ticking, true))
      Common::CallAfter(TICK, Tick);
  }
  ~CancellationTimer() { s_timers.erase(m_position); }
  CancellationTimer(const CancellationTimer&) = delete;
  CancellationTimer& operator=(const CancellationTimer&) = delete;

  bool Expired() const { return m_expired; }

private:
  static constexpr Common::Milliseconds TICK{20};

  static void Tick()
  {
    s_ticking = !s_timers.empty();
    if (s_ticking)
      Common::CallAfter(TICK, Tick);
    const auto now = Common::Now();
    std::vector<GRef<GCancellable>> due;
    for (CancellationTimer* timer : s_timers)
    {
      if (timer->m_expired || now < timer->m_deadline)
        continue;
      timer->m_expired = true;
      due.push_back(GRef<GCancellable>::Share(timer->m_cancellable));
    }
    // Cancelling resumes coroutines, which destroy timers: it must not happen within the loop
    // above.
    for (const auto& cancellable : due)
      g_cancellable_cancel(cancellable.Get());
  }

  static inline std::list<CancellationTimer*> s_timers;
  static inline bool s_ticking = false;

  GCancellable* m_cancellable;
  Common::TimePoint m_deadline;
  std::list<CancellationTimer*>::iterator m_position;
  bool m_expired = false;
};

/// Records whether any byte of the request can have been sent. libsoup emits "starting" once it has
/// a connection and begins to write.
struct SendState
{
  bool started = false;
};

/// TCP_USER_TIMEOUT for requests with `fresh_connection`: the kernel drops unacknowledged bytes
/// after this time, also if the socket has been closed or the process has exited, so that no part
/// of an order arrives later than that.
constexpr int UNACKNOWLEDGED_LIMIT_MS = 10000;

void OnNetworkEvent(SoupMessage*, GSocketClientEvent event, GIOStream* connection, gpointer)
{
  if (event != G_SOCKET_CLIENT_CONNECTED || !G_IS_SOCKET_CONNECTION(connection))
    return;
  GSocket* socket = g_socket_connection_get_socket(G_SOCKET_CONNECTION(connection));
  g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS, nullptr);
}

GRef<SoupMessage> NewMessage(const Request& request, SendState* state)
{
  GRef<SoupMessage> message(soup_message_new(request.method.c_str(), request.url.c_str()));
  if (!message)
    return message;
  for (const auto& [name, value] : request.headers)
    soup_message_headers_replace(soup_message_get_request_headers(message.Get()), name.c_str(),
                                 value.c_str());
  if (!request.body.empty())
  {
    GBytes* bytes = g_bytes_new(request.body.data(), request.body.size());
    soup_message_set_request_body_from_bytes(message.Get(), request.content_type.c_str(), bytes);
    g_bytes_unref(bytes);
  }
  if (request.fresh_connection)
  {
    soup_message_add_flags(message.Get(), SOUP_MESSAGE_NEW_CONNECTION);
    g_signal_connect(message.Get(), "network-event", G_CALLBACK(OnNetworkEvent), nullptr);
  }
  soup_message_add_flags(message.Get(), SOUP_MESSAGE_NO_REDIRECT);
  g_signal_connect(message.Get(), "starting", G_CALLBACK(+[](SoupMessage*, gpointer data) {
                     static_cast<SendState*>(data)->started = true;
                   }),
                   state);
  return message;
}

Failure SendFailure(const GError* error, bool started, bool expired)
{
  const std::string detail = error ? error->message : "no response";
  if (!started)
    return {FailureKind::NotSent, detail};
  if (expired)
    return {FailureKind::Timeout, "no response in time"};
  return {FailureKind::OutcomeUnknown, detail};
}

/// libsoup takes a head that was cut off for a complete one, without the headers that are missing,
/// so that a body without a length may be that of another response. HEAD, 204 and 304 have none.
bool HasStatedEnd(SoupMessage* message)
{
  constexpr guint NO_CONTENT = 204;
  constexpr guint NOT_MODIFIED = 304;
  const guint status = soup_message_get_status(message);
  if (status == NO_CONTENT || status == NOT_MODIFIED ||
      std::string_view(soup_message_get_method(message)) == "HEAD")
    return true;
  const SoupEncoding encoding =
      soup_message_headers_get_encoding(soup_message_get_response_headers(message));
  return encoding == SOUP_ENCODING_CONTENT_LENGTH || encoding == SOUP_ENCODING_CHUNKED;
}

class SoupStream : public ResponseStream
{
public:
  SoupStream(GRef<SoupMessage> message, GRef<GInputStream> stream)
      : m_message(std::move(message)),
        m_stream(std::move(stream)),
        m_headers(CopyHeaders(soup_message_get_response_headers(m_message.Get())))
  {
  }

  ~SoupStream() override
  {
    // Cancelled, so that closing does not wait for the unread rest of the body: the connection is
    // dropped with the stream.
    g_cancellable_cancel(m_cancellable.Get());
    g_input_stream_close_async(m_stream.Get(), G_PRIORITY_DEFAULT, m_cancellable.Get(), nullptr,
                               nullptr);
  }

  int Status() const override { return static_cast<int>(soup_message_get_status(m_message.Get())); }
  const Headers& GetHeaders() const override { return m_headers; }

  Task<Result<std::string>> Read(Common::Milliseconds stall_timeout) override
  {
    // The owner must not destroy the stream while a read is pending.
    const CancellationTimer timer(m_cancellable.Get(), stall_timeout);
    if (m_buffer.empty())
      m_buffer.resize(READ_BYTES);
    GioAwait await;
    g_input_stream_read_async(m_stream.Get(), m_buffer.data(), m_buffer.size(), G_PRIORITY_DEFAULT,
                              m_cancellable.Get(), GioAwait::Ready, &await);
    co_await await;
    GError* error = nullptr;
    const gssize size = g_input_stream_read_finish(m_stream.Get(), await.Get(), &error);
    if (size < 0)
    {
      Failure failure = SendFailure(error, true, timer.Expired());
      g_clear_error(&error);
      co_return failure;
    }
    if (size == 0 && !HasStatedEnd(m_message.Get()))
      co_return Failure{FailureKind::OutcomeUnknown, "the response has no stated end"};
    co_return std::string(m_buffer.data(), static_cast<std::size_t>(size));
  }

  void Cancel() override { g_cancellable_cancel(m_cancellable.Get()); }

private:
  GRef<SoupMessage> m_message;
  GRef<GInputStream> m_stream;
  GRef<GCancellable> m_cancellable{g_cancellable_new()};
  Headers m_headers;
  std::vector<char> m_buffer;
};
} // namespace

struct Client::Impl
{
  GRef<SoupSession> session{soup_session_new_with_options(
      "max-conns", MAX_CONNECTIONS, "max-conns-per-host", MAX_CONNECTIONS, "idle-timeout",
      IDLE_SECONDS, "timeout", 0U, nullptr)};
};

Client::Client() : m_impl(std::make_shared<Impl>())
{
  // Backend servers and the platform are connected to directly, never through a proxy.
  soup_session_set_proxy_resolver(m_impl->session.Get(), nullptr);
}

Client::~Client() = default;

Task<Result<std::unique_ptr<ResponseStream>>> Client::Open(Request request)
{
  const auto impl = m_impl;
  SendState state;
  GRef<SoupMessage> message = NewMessage(request, &state);
  if (!message)
    co_return Failure{FailureKind::InvalidInput, "invalid URL: " + request.url};
  const GRef<GCancellable> cancellable(g_cancellable_new());
  const CancellationTimer timer(cancellable.Get(), request.timeout);
  GioAwait await;
  soup_session_send_async(impl->session.Get(), message.Get(), G_PRIORITY_DEFAULT, cancellable.Get(),
                          GioAwait::Ready, &await);
  co_await await;
  g_signal_handlers_disconnect_by_data(message.Get(), &state);
  GError* error = nullptr;
  GRef<GInputStream> stream(soup_session_send_finish(impl->session.Get(), await.Get(), &error));
  if (!stream)
  {
    Failure failure = SendFailure(error, state.started, timer.Expired());
    g_clear_error(&error);
    co_return failure;
  }
  std::unique_ptr<ResponseStream> opened =
      std::make_unique<SoupStream>(std::move(message), std::move(stream));
  co_return opened;
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
