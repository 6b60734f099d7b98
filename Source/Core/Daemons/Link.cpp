// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Daemons/Link.h"

#include <algorithm>

#include <gio/gio.h>

#include "Daemons/Codec.h"
#include "Daemons/MessageAuthentication.h"
#include "Daemons/PeerConnection.h"
#include "Http/GioAwait.h"

namespace Daemons
{
namespace
{
using Common::Completion;
using Common::Done;
using Common::Failure;
using Common::FailureKind;
using Common::Milliseconds;
using Common::Result;
using Common::Task;
using Common::VmId;
using Http::GRef;

constexpr std::size_t MAX_DATAGRAM_BYTES = 1400;
/// Approximate size of a heartbeat on the wire, including the IP and UDP headers.
constexpr std::int64_t HEARTBEAT_WIRE_BYTES = 200;

/// Roles are assigned among the daemons of the same data centre, so peers in other data centres get
/// a smaller share of the heartbeat traffic.
enum class Scope
{
  Local,
  Remote,
};
constexpr Milliseconds CONNECT_TIMEOUT{1000};
constexpr int LISTEN_BACKLOG = 1024;

using Pending = std::map<std::int64_t, Completion<Result<Reply>>>;

/// The connection that this daemon opened to a peer, and the calls awaiting a reply on it.
struct Outbound
{
  std::shared_ptr<PeerConnection> connection;
  Pending pending;
};

GRef<GSocketAddress> ParseAddress(const std::string& address)
{
  const auto colon = address.rfind(':');
  if (colon == std::string::npos)
    return {};
  const std::string host = address.substr(0, colon);
  const int port = std::atoi(address.c_str() + colon + 1);
  return GRef<GSocketAddress>(
      g_inet_socket_address_new_from_string(host.c_str(), static_cast<guint>(port)));
}
} // namespace

struct Link::Impl
{
  Impl(LinkSettings link_settings, Membership& link_membership)
      : settings(std::move(link_settings)), membership(link_membership)
  {
  }

  LinkSettings settings;
  Membership& membership;
  LinkCounters counters;
  CallHandler on_call;
  HeartbeatHandler on_heartbeat;
  GRef<GSocket> udp;
  GRef<GSocketService> service;
  std::map<VmId, Outbound> outbound;
  std::map<VmId, std::shared_ptr<Completion<bool>>> connecting;
  std::int64_t next_call = 1;
  bool heartbeats_scheduled = false;

  Result<Done> OpenUdp()
  {
    GError* error = nullptr;
    udp = GRef<GSocket>(
        g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, &error));
    const auto address = ParseAddress(settings.address + ":" + std::to_string(settings.port));
    if (!address)
      return {FailureKind::InvalidInput, "not an IP address: " + settings.address};
    if (!udp || !g_socket_bind(udp.Get(), address.Get(), FALSE, &error))
      return TakeError(error);
    g_socket_set_blocking(udp.Get(), FALSE);
    GSource* source = g_socket_create_source(udp.Get(), G_IO_IN, nullptr);
    g_source_set_callback(source,
                          G_SOURCE_FUNC(+[](GSocket*, GIOCondition, gpointer data) -> gboolean {
                            static_cast<Impl*>(data)->ReceiveDatagrams();
                            return G_SOURCE_CONTINUE;
                          }),
                          this, nullptr);
    g_source_attach(source, nullptr);
    g_source_unref(source);
    return Done{};
  }

  Result<Done> OpenTcp()
  {
    GError* error = nullptr;
    service = GRef<GSocketService>(g_socket_service_new());
    g_socket_listener_set_backlog(G_SOCKET_LISTENER(service.Get()), LISTEN_BACKLOG);
    const auto address = ParseAddress(settings.address + ":" + std::to_string(settings.port));
    if (!g_socket_listener_add_address(G_SOCKET_LISTENER(service.Get()), address.Get(),
                                       G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr,
                                       nullptr, &error))
      return TakeError(error);
    g_signal_connect(service.Get(), "incoming",
                     G_CALLBACK(+[](GSocketService*, GSocketConnection* connection, GObject*,
                                    gpointer data) -> gboolean {
                       auto* self = static_cast<Impl*>(data);
                       Common::Spawn(
                           self->ServeConnection(GRef<GSocketConnection>::Share(connection)));
                       return TRUE;
                     }),
                     this);
    return Done{};
  }

  static Failure TakeError(GError* error)
  {
    Failure failure{FailureKind::Unavailable, error ? error->message : "unknown socket error"};
    g_clear_error(&error);
    return failure;
  }

  void ReceiveDatagrams()
  {
    std::array<char, MAX_DATAGRAM_BYTES> buffer;
    while (true)
    {
      const gssize size =
          g_socket_receive(udp.Get(), buffer.data(), buffer.size(), nullptr, nullptr);
      if (size < 0)
        return;
      counters.bytes_received += size;
      HandleDatagram(std::string_view(buffer.data(), static_cast<std::size_t>(size)));
    }
  }

  void HandleDatagram(std::string_view datagram)
  {
    const auto payload = VerifyDatagram(settings.key, datagram);
    if (!payload)
    {
      ++counters.rejected;
      return;
    }
    const auto heartbeat = Decode<Heartbeat>(*payload);
    if (!heartbeat || !membership.Accept(*heartbeat, Common::Now()))
    {
      ++counters.rejected;
      return;
    }
    ++counters.heartbeats_received;
    if (on_heartbeat)
      on_heartbeat(*heartbeat);
  }

  /// A peer may be in this data centre until its first heartbeat shows where it is, so it is
  /// treated as local until then.
  Scope ScopeOf(const Membership::Peer& peer) const
  {
    const bool is_remote =
        peer.has_heartbeat && peer.last_heartbeat.data_centre != membership.Self().data_centre;
    return is_remote ? Scope::Remote : Scope::Local;
  }

  Milliseconds Interval(Scope scope) const
  {
    const auto peers = std::ranges::count_if(membership.Peers(), [&](const auto& item) {
      return ScopeOf(item.second) == scope;
    });
    const std::int64_t budget =
        scope == Scope::Local ? settings.local_bytes_per_second : settings.remote_bytes_per_second;
    const Milliseconds budgeted(peers * HEARTBEAT_WIRE_BYTES * 1000 /
                                std::max<std::int64_t>(1, budget));
    return std::max(settings.heartbeat_interval, budgeted);
  }

  void SendHeartbeats(Scope scope)
  {
    ++membership.Self().sequence;
    membership.Self().interval_ms = Interval(scope).count();
    const std::string datagram = SignDatagram(settings.key, Encode(membership.Self()));
    for (const auto& [vm, peer] : membership.Peers())
    {
      if (peer.retired || peer.address.empty() || ScopeOf(peer) != scope)
        continue;
      const auto address = ParseAddress(peer.address);
      if (!address)
        continue;
      g_socket_send_to(udp.Get(), address.Get(), datagram.data(), datagram.size(), nullptr,
                       nullptr);
      ++counters.heartbeats_sent;
      counters.bytes_sent += static_cast<std::int64_t>(datagram.size());
    }
  }

  /// A peer that is suspended or cut off by a network partition does not close its connections.
  /// Closes them here once its heartbeats stop, so that pending calls fail and can go to the daemon
  /// that takes over its roles.
  void CloseConnectionsToDeadPeers()
  {
    const auto now = Common::Now();
    for (auto& [vm, out] : outbound)
      if (!out.pending.empty() && out.connection && !membership.IsAlive(vm, now))
        out.connection->Close();
  }

  void Tick(Scope scope)
  {
    CloseConnectionsToDeadPeers();
    SendHeartbeats(scope);
    Common::CallAfter(Interval(scope), [this, scope] {
      Tick(scope);
    });
  }

  /// Serves the calls on a connection that a peer opened.
  Task<void> ServeConnection(GRef<GSocketConnection> raw)
  {
    auto connection = std::make_shared<PeerConnection>(std::move(raw), settings.key,
                                                       PeerConnection::Side::Accepting);
    const bool ready = co_await connection->Handshake();
    while (ready)
    {
      auto payload = co_await connection->Receive();
      if (!payload)
      {
        if (payload.Reason().kind == FailureKind::Protocol)
          ++counters.rejected;
        break;
      }
      counters.bytes_received += static_cast<std::int64_t>(payload->size());
      auto envelope = Decode<Envelope>(*payload);
      if (!envelope || !std::holds_alternative<Call>(envelope->body))
      {
        ++counters.rejected;
        break;
      }
      ++counters.calls_received;
      Common::Spawn(
          AnswerCall(connection, envelope->call_id, std::move(std::get<Call>(envelope->body))));
    }
    connection->Close();
  }

  Task<void> AnswerCall(std::shared_ptr<PeerConnection> connection, std::int64_t id, Call call)
  {
    Reply reply = co_await on_call(std::move(call));
    Envelope envelope;
    envelope.call_id = id;
    envelope.body = std::move(reply);
    SendEnvelope(*connection, envelope);
  }

  void SendEnvelope(PeerConnection& connection, const Envelope& envelope)
  {
    std::string bytes = Encode(envelope);
    counters.bytes_sent += static_cast<std::int64_t>(bytes.size());
    connection.Send(std::move(bytes));
  }

  /// Opens a connection to a peer unless there is one. Concurrent callers wait for the same
  /// connection attempt. Returns whether the peer is connected.
  Task<bool> EnsureConnected(VmId vm, std::string address)
  {
    if (outbound[vm].connection && outbound[vm].connection->IsOpen())
      co_return true;
    if (const auto waiting = connecting.find(vm); waiting != connecting.end())
    {
      const auto opening = waiting->second;
      const auto result = co_await opening->WaitUntil(Common::Now() + CONNECT_TIMEOUT);
      co_return result.value_or(false);
    }
    const auto opening = std::make_shared<Completion<bool>>();
    connecting[vm] = opening;
    const bool connected = co_await Connect(vm, std::move(address));
    connecting.erase(vm);
    opening->Set(connected);
    co_return connected;
  }

  Task<bool> Connect(VmId vm, std::string address)
  {
    const auto socket_address = ParseAddress(address);
    if (!socket_address)
      co_return false;
    const GRef<GSocketClient> client(g_socket_client_new());
    const GRef<GCancellable> cancellable(g_cancellable_new());
    const Common::CallId connect_timer = Common::CallAfter(CONNECT_TIMEOUT, [cancellable] {
      g_cancellable_cancel(cancellable.Get());
    });
    Http::GioAwait await;
    g_socket_client_connect_async(client.Get(), G_SOCKET_CONNECTABLE(socket_address.Get()),
                                  cancellable.Get(), Http::GioAwait::Ready, &await);
    co_await await;
    if (!g_cancellable_is_cancelled(cancellable.Get()))
      Common::CancelCall(connect_timer);
    GRef<GSocketConnection> raw(g_socket_client_connect_finish(client.Get(), await.Get(), nullptr));
    if (!raw)
      co_return false;
    auto connection = std::make_shared<PeerConnection>(std::move(raw), settings.key,
                                                       PeerConnection::Side::Connecting);
    const Common::CallId handshake_timer = Common::CallAfter(CONNECT_TIMEOUT, [connection] {
      connection->Close();
    });
    const bool ready = co_await connection->Handshake();
    if (!connection->IsOpen())
      co_return false;
    Common::CancelCall(handshake_timer);
    if (!ready)
      co_return false;
    outbound[vm].connection = connection;
    Common::Spawn(ReadReplies(vm, connection));
    co_return true;
  }

  Task<void> ReadReplies(VmId vm, std::shared_ptr<PeerConnection> connection)
  {
    while (true)
    {
      auto payload = co_await connection->Receive();
      if (!payload)
        break;
      counters.bytes_received += static_cast<std::int64_t>(payload->size());
      auto envelope = Decode<Envelope>(*payload);
      if (!envelope || !std::holds_alternative<Reply>(envelope->body))
      {
        ++counters.rejected;
        break;
      }
      Pending& pending = outbound[vm].pending;
      const auto found = pending.find(envelope->call_id);
      // The call has timed out: drop its late reply.
      if (found == pending.end())
        continue;
      found->second.Set(std::move(std::get<Reply>(envelope->body)));
      pending.erase(found);
    }
    connection->Close();
    if (outbound[vm].connection != connection)
      co_return;
    for (auto& [id, completion] : std::exchange(outbound[vm].pending, {}))
      completion.Set(Failure{FailureKind::OutcomeUnknown,
                             "the connection to the peer was closed before its reply"});
  }

  Task<Result<Reply>> SendCall(VmId vm, Call call, Milliseconds timeout)
  {
    if (vm == membership.Self().vm)
    {
      Reply reply = co_await on_call(std::move(call));
      co_return reply;
    }
    const Membership::Peer* peer = membership.Find(vm);
    if (!peer || peer->address.empty())
      co_return Failure{FailureKind::NotSent, "no known address for " + vm.Get()};
    const std::string address = peer->address;
    const auto deadline = Common::Now() + timeout;
    const bool connected = co_await EnsureConnected(vm, address);
    if (!connected)
      co_return Failure{FailureKind::NotSent, "could not connect to " + vm.Get()};
    Outbound& out = outbound[vm];
    const std::int64_t id = next_call++;
    Completion<Result<Reply>> completion;
    out.pending.emplace(id, completion);
    ++counters.calls_sent;
    Envelope envelope;
    envelope.call_id = id;
    envelope.body = std::move(call);
    SendEnvelope(*out.connection, envelope);
    auto reply = co_await completion.WaitUntil(deadline);
    outbound[vm].pending.erase(id);
    if (!reply)
      co_return Failure{FailureKind::Timeout, "no reply from " + vm.Get()};
    co_return *reply;
  }
};

Link::Link(LinkSettings settings, Membership& membership)
    : m_impl(std::make_unique<Impl>(std::move(settings), membership))
{
}

Link::~Link() = default;

void Link::OnCall(CallHandler handler)
{
  m_impl->on_call = std::move(handler);
}

void Link::OnHeartbeat(HeartbeatHandler handler)
{
  m_impl->on_heartbeat = std::move(handler);
}

Result<Done> Link::Start()
{
  // TCP first: the bind succeeds only if no earlier daemon process of this VM still runs.
  auto tcp = m_impl->OpenTcp();
  if (!tcp)
    return tcp;
  auto udp = m_impl->OpenUdp();
  if (!udp)
    return udp;
  m_impl->Tick(Scope::Local);
  m_impl->Tick(Scope::Remote);
  return Done{};
}

Task<Result<Reply>> Link::SendCall(VmId vm, Call call, Milliseconds timeout)
{
  return m_impl->SendCall(std::move(vm), std::move(call), timeout);
}

void Link::ScheduleHeartbeats()
{
  if (std::exchange(m_impl->heartbeats_scheduled, true))
    return;
  Common::CallAfter(Milliseconds(1), [impl = m_impl.get()] {
    impl->heartbeats_scheduled = false;
    impl->SendHeartbeats(Scope::Local);
    impl->SendHeartbeats(Scope::Remote);
  });
}

const LinkCounters& Link::Counters() const
{
  return m_impl->counters;
}
} // namespace Daemons
