// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Daemons/PeerConnection.h"

#include <cstring>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "Common/Random.h"
#include "Daemons/MessageAuthentication.h"

namespace Daemons
{
namespace
{
using Common::Failure;
using Common::FailureKind;
using Common::Result;
using Common::Task;

constexpr std::size_t NONCE_BYTES = 32;
constexpr std::size_t LENGTH_BYTES = 4;
} // namespace

PeerConnection::PeerConnection(Http::GRef<GSocketConnection> connection, std::string key, Side side)
    : m_connection(std::move(connection)),
      m_cancellable(g_cancellable_new()),
      m_key(std::move(key)),
      m_side(side)
{
  g_tcp_connection_set_graceful_disconnect(G_TCP_CONNECTION(m_connection.Get()), FALSE);
  g_socket_set_option(g_socket_connection_get_socket(m_connection.Get()), IPPROTO_TCP, TCP_NODELAY,
                      1, nullptr);
}

PeerConnection::~PeerConnection()
{
  Close();
}

void PeerConnection::Close()
{
  if (!std::exchange(m_open, false))
    return;
  g_cancellable_cancel(m_cancellable.Get());
  g_socket_shutdown(g_socket_connection_get_socket(m_connection.Get()), TRUE, TRUE, nullptr);
}

Task<bool> PeerConnection::ReadExactly(std::string& buffer, std::size_t size)
{
  const auto self = shared_from_this();
  buffer.resize(size);
  GInputStream* stream = g_io_stream_get_input_stream(G_IO_STREAM(m_connection.Get()));
  Http::GioAwait await;
  g_input_stream_read_all_async(stream, buffer.data(), size, G_PRIORITY_DEFAULT,
                                m_cancellable.Get(), Http::GioAwait::Ready, &await);
  co_await await;
  gsize got = 0;
  const bool whole =
      g_input_stream_read_all_finish(stream, await.Get(), &got, nullptr) && got == size;
  co_return whole&& m_open;
}

Task<bool> PeerConnection::Handshake()
{
  if (m_side == Side::Connecting)
  {
    const bool whole = co_await ReadExactly(m_nonce, NONCE_BYTES);
    co_return whole;
  }
  m_nonce = Common::NewId("");
  m_outgoing += m_nonce;
  Common::Spawn(WriteQueued());
  co_return true;
}

std::string PeerConnection::Context(bool outgoing, std::int64_t number) const
{
  const bool from_connecting = outgoing == (m_side == Side::Connecting);
  return m_nonce + (from_connecting ? ">" : "<") + std::to_string(number);
}

void PeerConnection::Send(std::string payload)
{
  if (!m_open || payload.size() > MAX_FRAME_BYTES)
    return;
  const auto length = static_cast<std::uint32_t>(payload.size());
  m_outgoing.append(reinterpret_cast<const char*>(&length), sizeof(length));
  m_outgoing += ComputeMac(m_key, Context(true, m_sent++), payload);
  m_outgoing += payload;
  if (!m_writing)
    Common::Spawn(WriteQueued());
}

Task<void> PeerConnection::WriteQueued()
{
  const auto self = shared_from_this();
  GOutputStream* stream = g_io_stream_get_output_stream(G_IO_STREAM(m_connection.Get()));
  m_writing = true;
  while (m_open && !m_outgoing.empty())
  {
    const std::string bytes = std::exchange(m_outgoing, {});
    Http::GioAwait await;
    g_output_stream_write_all_async(stream, bytes.data(), bytes.size(), G_PRIORITY_DEFAULT,
                                    m_cancellable.Get(), Http::GioAwait::Ready, &await);
    co_await await;
    if (!g_output_stream_write_all_finish(stream, await.Get(), nullptr, nullptr))
      Close();
  }
  m_writing = false;
}

Task<Result<std::string>> PeerConnection::Receive()
{
  const auto self = shared_from_this();
  std::string head;
  const bool have_head = co_await ReadExactly(head, LENGTH_BYTES + MAC_BYTES);
  if (!have_head)
    co_return Failure{FailureKind::OutcomeUnknown, "the connection was closed"};
  std::uint32_t length = 0;
  std::memcpy(&length, head.data(), sizeof(length));
  if (length > MAX_FRAME_BYTES)
    co_return Failure{FailureKind::Protocol, "a frame exceeds the size limit"};
  std::string payload;
  const bool have_payload = co_await ReadExactly(payload, length);
  if (!have_payload)
    co_return Failure{FailureKind::OutcomeUnknown, "the connection was closed within a frame"};
  const std::string expected = ComputeMac(m_key, Context(false, m_received++), payload);
  if (!MacMatches(std::string_view(head).substr(LENGTH_BYTES), expected))
    co_return Failure{FailureKind::Protocol, "a frame failed authentication"};
  co_return payload;
}
} // namespace Daemons
