// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "Common/Loop.h"
#include "Common/Reactor.h"
#include "Http/CarriedRequests.h"
#include "Http/MessageParser.h"
#include "Http/TcpStream.h"
#include "Http/Tunnel.h"

namespace Http
{
/// Why an exchange with an origin server produced no complete response.
enum class ExchangeError
{
  ConnectFailed,   ///< No byte was sent: the request cannot have run.
  ConnectTimedOut, ///< The connection was not established in time, or this VM has no route to the
                   ///< server; no byte was sent.
  Closed,          ///< The peer closed before the response was complete.
  Reset,
  SendDeadlinePassed, ///< The send deadline passed before the request was sent; no more of it will
                      ///< be.
  Malformed,          ///< The received bytes are not a valid response.
  TunnelFailed,       ///< The helper opened no tunnel, for a reason of its own; no byte was sent.
};

/// Receives the response to one request. No call follows the one that ends the exchange.
class ResponseHandler
{
public:
  enum class HeadAction
  {
    Accept,
    /// A response to another request; the expected one may follow. The connection is not reused,
    /// since further such responses may follow too.
    Skip,
  };

  virtual ~ResponseHandler() = default;
  virtual HeadAction OnResponseHead(MessageHead& head) = 0;
  /// Called for an interim response (1xx); the final one follows.
  virtual void OnInterimHead(MessageHead&) {}
  virtual void OnResponseBody(std::string_view bytes) = 0;
  virtual void OnResponseEnd() = 0;
  virtual void OnExchangeFailed(ExchangeError error) = 0;
};

/// A connection to an origin server. Carries one request at a time and never retries it.
class OriginConnection : public StreamEvents,
                         public MessageSink,
                         public std::enable_shared_from_this<OriginConnection>
{
public:
  /// Starts to connect; returns nullptr where no socket can be opened.
  static std::shared_ptr<OriginConnection> Connect(const Endpoint& peer,
                                                   const SocketOptions& options = {});

  /// Starts to connect through `helper`, which gets `open_message` first and replies with a
  /// `TunnelStatus`; returns nullptr where no socket can be opened.
  static std::shared_ptr<OriginConnection> ConnectThrough(const Endpoint& helper,
                                                          const std::string& open_message);

  /// Sends a serialized request; no byte of it is sent at `send_deadline` or later. `handler` must
  /// live until the exchange has ended or `Abandon` has been called.
  void Send(const std::string& request, ResponseHandler* handler, bool no_body_expected = false,
            Common::TimePoint send_deadline = NO_SEND_DEADLINE);
  /// Sends the request `identity`, whose id the response repeats. `MayCarry(identity)` must be
  /// true.
  void SendIdentified(const RequestIdentity& identity, const std::string& request,
                      ResponseHandler* handler);
  /// True if a response on this connection with the request's id can only be that to this request.
  /// A server may send a response twice, the second time where the response to a later request is
  /// due: the connection must not have carried a request with the same id, and where a copy ends
  /// can be told only if all responses on the connection may have bodies.
  bool MayCarry(const RequestIdentity& identity) const;
  /// Ends the exchange and the connection without further events. During an exchange, or with
  /// unsent output, the connection is reset; otherwise it is closed.
  void Abandon();

  bool IsConnected() const { return m_stream->IsConnected() && m_tunnel != TunnelState::Opening; }
  /// True until the first response has been received completely.
  bool IsFirstExchange() const { return !m_response_received; }
  /// True if the connection goes through another daemon.
  bool IsTunnel() const { return m_tunnel != TunnelState::None; }
  /// Distinguishes the connections of this process in the log.
  std::uint64_t Number() const { return m_number; }
  /// Requests sent on this connection, including the current one.
  int Requests() const { return m_requests; }
  /// True if at least one byte of a request has been sent over this connection.
  bool HasSent() const { return m_stream->HasSent() && m_tunnel != TunnelState::Opening; }
  /// Bytes of the request that the kernel has not accepted, also after the end of the exchange.
  std::size_t UnsentBytes() const { return m_stream->Unsent(); }
  /// True if the connection may carry another request at `now`.
  bool IsReusable(Common::TimePoint now) const;
  void SetReading(bool reading) { m_stream->SetReading(reading); }

  void OnConnected() override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(StreamEnd end) override;
  void OnHead(MessageHead& head) override;
  void OnInterimHead(MessageHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;

private:
  enum class TunnelState
  {
    None, ///< The connection is direct.
    Opening,
    Open,
  };

  OriginConnection();

  /// Handles the helper's reply; returns the number of bytes that belong to it.
  std::size_t ReadTunnelStatus(std::string_view bytes);
  void Break(ExchangeError error);
  void BreakMalformed(std::string_view part, bool is_too_large);
  void EndResponse(bool extra_bytes_follow);
  void UpdateKeepAlive(const MessageHead& head);

  std::shared_ptr<TcpStream> m_stream;
  std::uint64_t m_number;
  int m_requests = 0;
  CarriedRequests m_carried;
  MessageParser m_parser;
  ResponseHandler* m_handler = nullptr;
  bool m_skipping = false;
  bool m_is_accepted = false; ///< The response that is received is that to the current request.
  /// Bytes received in the current exchange before that response.
  std::size_t m_unaccepted_bytes = 0;
  bool m_keep_alive = true;
  /// The connection is closed after this exchange: what the server sends next on it may not be the
  /// response to the next request.
  bool m_is_last_exchange = false;
  bool m_response_received = false; ///< At least one complete response has been received.
  std::optional<Common::Milliseconds> m_idle_limit; ///< Announced by the origin server.
  Common::TimePoint m_idle_since;
  Common::TimePoint m_connect_deadline;
  Common::OwnedTimer m_connect_timer;
  TunnelState m_tunnel = TunnelState::None;
  std::string m_pending_request; ///< Sent once the tunnel is open.
  Common::TimePoint m_pending_deadline = NO_SEND_DEADLINE;
};
} // namespace Http
