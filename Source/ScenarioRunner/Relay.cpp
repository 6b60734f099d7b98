// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "ScenarioRunner/Relay.h"

#include <array>

#include "Common/Loop.h"

namespace ScenarioRunner
{
namespace
{
using Common::Done;
using Common::FailureKind;
using Common::Result;
using Common::Task;
using Http::GRef;

constexpr Common::Milliseconds CUT_POLL_INTERVAL{20};

GRef<GSocketAddress> ParseAddress(const std::string& address)
{
  const auto colon = address.rfind(':');
  return GRef<GSocketAddress>(g_inet_socket_address_new_from_string(
      address.substr(0, colon).c_str(),
      static_cast<guint>(std::atoi(address.c_str() + colon + 1))));
}
} // namespace

Relay::Relay(std::string listen, std::string target)
    : m_listen(std::move(listen)), m_target(std::move(target))
{
}

void Relay::SetCut(bool cut)
{
  m_cut = cut;
}

Result<Done> Relay::OpenTcp()
{
  const auto address = ParseAddress(m_listen);
  m_service = GRef<GSocketService>(g_socket_service_new());
  if (!g_socket_listener_add_address(G_SOCKET_LISTENER(m_service.Get()), address.Get(),
                                     G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr, nullptr,
                                     nullptr))
    return {FailureKind::Unavailable, "cannot listen on " + m_listen};
  g_signal_connect(m_service.Get(), "incoming",
                   G_CALLBACK(+[](GSocketService*, GSocketConnection* inbound, GObject*,
                                  gpointer data) -> gboolean {
                     Common::Spawn(static_cast<Relay*>(data)->HandleConnection(
                         GRef<GSocketConnection>::Share(inbound)));
                     return TRUE;
                   }),
                   this);
  return Done{};
}

Result<Done> Relay::Open()
{
  if (auto opened = OpenTcp(); !opened)
    return opened;
  const auto address = ParseAddress(m_listen);
  m_udp = GRef<GSocket>(
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, nullptr));
  if (!g_socket_bind(m_udp.Get(), address.Get(), FALSE, nullptr))
    return {FailureKind::Unavailable, "cannot bind " + m_listen};
  g_socket_set_blocking(m_udp.Get(), FALSE);
  GSource* source = g_socket_create_source(m_udp.Get(), G_IO_IN, nullptr);
  g_source_set_callback(source,
                        G_SOURCE_FUNC(+[](GSocket*, GIOCondition, gpointer data) -> gboolean {
                          static_cast<Relay*>(data)->ForwardDatagrams();
                          return G_SOURCE_CONTINUE;
                        }),
                        this, nullptr);
  g_source_attach(source, nullptr);
  g_source_unref(source);
  return Done{};
}

void Relay::ForwardDatagrams()
{
  std::array<char, 2048> buffer;
  const auto target = ParseAddress(m_target);
  while (true)
  {
    const gssize size =
        g_socket_receive(m_udp.Get(), buffer.data(), buffer.size(), nullptr, nullptr);
    if (size < 0)
      return;
    if (!m_cut)
      g_socket_send_to(m_udp.Get(), target.Get(), buffer.data(), static_cast<gsize>(size), nullptr,
                       nullptr);
  }
}

Task<void> Relay::HandleConnection(GRef<GSocketConnection> inbound)
{
  while (m_cut)
    co_await Common::Sleep{CUT_POLL_INTERVAL};
  const GRef<GSocketClient> client(g_socket_client_new());
  const auto target = ParseAddress(m_target);
  Http::GioAwait await;
  g_socket_client_connect_async(client.Get(), G_SOCKET_CONNECTABLE(target.Get()), nullptr,
                                Http::GioAwait::Ready, &await);
  co_await await;
  GRef<GSocketConnection> outbound(
      g_socket_client_connect_finish(client.Get(), await.Get(), nullptr));
  if (!outbound)
    co_return;
  const auto pair = std::make_shared<ConnectionPair>(ConnectionPair{inbound, outbound});
  Common::Spawn(ForwardData(pair, false));
  co_await ForwardData(pair, true);
}

Task<void> Relay::ForwardData(std::shared_ptr<ConnectionPair> pair, bool to_target)
{
  GSocketConnection* from = to_target ? pair->inbound.Get() : pair->outbound.Get();
  GSocketConnection* to = to_target ? pair->outbound.Get() : pair->inbound.Get();
  std::array<char, 16384> buffer;
  while (true)
  {
    Http::GioAwait reading;
    g_input_stream_read_async(g_io_stream_get_input_stream(G_IO_STREAM(from)), buffer.data(),
                              buffer.size(), G_PRIORITY_DEFAULT, nullptr, Http::GioAwait::Ready,
                              &reading);
    co_await reading;
    const gssize size = g_input_stream_read_finish(g_io_stream_get_input_stream(G_IO_STREAM(from)),
                                                   reading.Get(), nullptr);
    while (m_cut)
      co_await Common::Sleep{CUT_POLL_INTERVAL};
    if (size <= 0)
      break;
    if (m_bytes_per_ms > 0)
      co_await Common::Sleep{Common::Milliseconds(size / m_bytes_per_ms)};
    Http::GioAwait writing;
    g_output_stream_write_all_async(g_io_stream_get_output_stream(G_IO_STREAM(to)), buffer.data(),
                                    static_cast<gsize>(size), G_PRIORITY_DEFAULT, nullptr,
                                    Http::GioAwait::Ready, &writing);
    co_await writing;
    if (!g_output_stream_write_all_finish(g_io_stream_get_output_stream(G_IO_STREAM(to)),
                                          writing.Get(), nullptr, nullptr))
      break;
  }
  g_socket_shutdown(g_socket_connection_get_socket(pair->inbound.Get()), TRUE, TRUE, nullptr);
  g_socket_shutdown(g_socket_connection_get_socket(pair->outbound.Get()), TRUE, TRUE, nullptr);
}
} // namespace ScenarioRunner
