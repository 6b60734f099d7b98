// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Http/MessageParser.h"
#include "Http/TcpStream.h"

namespace Http
{
/// What a peer may send and how long it may take; shared by all connections and changed at any
/// time.
struct ServerLimits
{
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = 4194304;
  Common::Milliseconds header_timeout{3000};
  Common::Milliseconds idle_timeout{15000};
};

/// A request whose last byte has been read.
struct ReceivedRequest
{
  MessageHead head;
  std::string body;
};

class ServerConnection;

/// Serves the requests of connections.
class RequestHandler
{
public:
  virtual ~RequestHandler() = default;
  virtual void OnRequest(const std::shared_ptr<ServerConnection>& connection,
                         ReceivedRequest request) = 0;
  virtual const ServerLimits& Limits() const = 0;
  /// True while the process is stopping: answers then announce the close.
  virtual bool IsStopping() const = 0;
};

/// One accepted connection: reads a request, gives it to the handler, takes the answer. Pipelined
/// requests wait in the connection.
class ServerConnection : public StreamEvents,
                         public MessageSink,
                         public std::enable_shared_from_this<ServerConnection>
{
public:
  static std::shared_ptr<ServerConnection> Adopt(int fd, RequestHandler& handler);

  /// Answers with a whole body.
  void Respond(int status, std::string_view reason, const std::vector<HeaderField>& headers,
               std::string_view body);
  /// Begins an answer in chunks.
  void BeginChunked(int status, std::string_view reason, const std::vector<HeaderField>& headers);
  void SendChunk(std::string_view bytes);
  void EndChunked();
  /// Ends the connection in the middle of an answer, so that it does not look whole.
  void BreakAnswer();
  /// Closes the connection where no request is open.
  void CloseIfIdle();

  /// Called once if the peer goes while its request is open.
  void OnPeerGone(std::function<void()> callback) { m_on_peer_gone = std::move(callback); }
  std::size_t UnsentBytes() const { return m_stream->Unsent(); }
  /// Called when all written bytes have gone out; for backpressure.
  void OnAllSent(std::function<void()> callback) { m_on_all_sent = std::move(callback); }
  /// Called once when the connection is gone for good.
  void OnFinished(std::function<void(ServerConnection*)> callback)
  {
    m_on_finished = std::move(callback);
  }
  bool IsOpen() const { return m_stream->IsOpen(); }
  bool HasOpenRequest() const { return m_request_open; }

  void OnBytes(std::string_view bytes) override;
  void OnEnd(StreamEnd end) override;
  void OnDrained() override;
  void OnHead(MessageHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;

private:
  explicit ServerConnection(RequestHandler& handler);

  void Consume();
  void Reject(int status, std::string_view reason);
  void WriteHead(int status, std::string_view reason, const std::vector<HeaderField>& headers,
                 std::optional<std::size_t> length);
  void EndAnswer();
  void StartIdleTimer();
  void OnIdle();
  void Finish();

  RequestHandler& m_handler;
  std::shared_ptr<TcpStream> m_stream;
  MessageParser m_parser;
  std::string m_unread; ///< Bytes behind the request that is being answered.
  ReceivedRequest m_request;
  bool m_request_open = false;
  bool m_close_after_answer = false;
  bool m_head_only = false; ///< The request is a HEAD: no body in the answer.
  bool m_consuming = false;
  bool m_body_too_large = false;
  Common::OwnedTimer m_timer;
  Common::TimePoint m_idle_since;
  std::function<void()> m_on_peer_gone;
  std::function<void()> m_on_all_sent;
  std::function<void(ServerConnection*)> m_on_finished;
};

/// The usual reason phrase of a status.
std::string_view ReasonPhrase(int status);
} // namespace Http
