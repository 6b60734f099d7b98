// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <memory>
#include <optional>
#include <string>

#include "Common/Loop.h"
#include "Common/Reactor.h"
#include "Http/MessageParser.h"
#include "Http/TcpStream.h"

namespace Http
{
/// Why an exchange with an origin server gave no whole answer.
enum class Breakage
{
  ConnectFailed,   ///< No byte went out: the request cannot have run.
  ConnectTimedOut, ///< The peer did not take the connection in time; no byte has gone out.
  Closed,          ///< The connection ended before the answer was whole.
  Reset,
  TooLate,   ///< The request had not gone out by its time: no byte of it ever will.
  Malformed, ///< Bytes that are no answer.
};

/// Told of the answer to one request. The call that ends the exchange is the last.
class AnswerEvents
{
public:
  enum class Verdict
  {
    Take,
    Skip, ///< An answer to another request: ours may still follow it.
  };

  virtual ~AnswerEvents() = default;
  virtual Verdict OnAnswerHead(MessageHead& head) = 0;
  /// An interim answer (1xx); the final one follows.
  virtual void OnInterimHead(MessageHead&) {}
  virtual void OnAnswerBody(std::string_view bytes) = 0;
  virtual void OnAnswerEnd() = 0;
  virtual void OnAnswerBroken(Breakage breakage) = 0;
};

/// One connection to an origin server, one request at a time, never repeated by itself.
class OriginConnection : public StreamEvents,
                         public MessageSink,
                         public std::enable_shared_from_this<OriginConnection>
{
public:
  /// Begins to connect; nullptr where the system has no socket left.
  static std::shared_ptr<OriginConnection> Connect(const Endpoint& peer,
                                                   const KernelLimits& limits = {});

  /// Sends a whole request, or nothing of it at `before` and later. `events` must stay until the
  /// exchange has ended or `Abandon`.
  void Send(const std::string& request, AnswerEvents* events, bool no_body_expected = false,
            Common::TimePoint before = ANY_TIME);
  /// Ends the exchange and the connection; no event comes any more. The peer sees a close.
  void Abandon();

  bool IsConnected() const { return m_stream->IsConnected(); }
  /// True where any byte of the request has gone out.
  bool HasSent() const { return m_stream->HasSent(); }
  /// True where the connection may carry another request at `now`.
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
  OriginConnection();

  void Break(Breakage breakage);
  void EndAnswer(bool surplus_follows);
  void NoteKeepAlive(const MessageHead& head);

  std::shared_ptr<TcpStream> m_stream;
  MessageParser m_parser;
  AnswerEvents* m_events = nullptr;
  bool m_skipping = false;
  bool m_keep_alive = true;
  bool m_answered = false; ///< At least one answer has come whole over this connection.
  std::optional<Common::Milliseconds> m_idle_limit; ///< As the origin server announced it.
  Common::TimePoint m_idle_since;
  Common::TimePoint m_connect_by;
  Common::OwnedTimer m_connect_timer;
};
} // namespace Http
