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
/// Size limits and timeouts of requests. Shared by all connections; may change at any time.
struct ServerLimits
{
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = 4194304;
  Common::Milliseconds header_timeout{3000};
  Common::Milliseconds idle_timeout{15000};
};

/// A completely received request.
struct ReceivedRequest
{
  MessageHead head;
  std::string body;
};

/// How a response that is sent piece by piece states where its body ends.
enum class BodyFraming
{
  Chunked,
  /// By the close of the connection. The receiver cannot tell a complete body from one whose sender
  /// was cut off, unless the connection is reset.
  UntilClose,
};

class ServerConnection;

/// Handles the requests that connections receive.
class RequestHandler
{
public:
  virtual ~RequestHandler() = default;
  virtual void OnRequest(const std::shared_ptr<ServerConnection>& connection,
                         ReceivedRequest request) = 0;
  virtual const ServerLimits& Limits() const = 0;
  /// True while the process is stopping; responses then carry `Connection: close`.
  virtual bool IsStopping() const = 0;
};

/// An accepted connection. Reads one request at a time, passes it to the handler and sends the
/// response. Pipelined requests are buffered meanwhile.
class ServerConnection : public StreamEvents,
                         public MessageSink,
                         public std::enable_shared_from_this<ServerConnection>
{
public:
  static std::shared_ptr<ServerConnection> Adopt(int fd, RequestHandler& handler);

  /// Sends a response with a complete body. A request gets one response: if one has begun, the
  /// connection is ended instead, as by `AbortResponse`.
  void Respond(int status, std::string_view reason, const std::vector<HeaderField>& headers,
               std::string_view body);
  /// Starts a response whose body is sent piece by piece; if one has begun, as `Respond`.
  void BeginBody(int status, std::string_view reason, const std::vector<HeaderField>& headers,
                 BodyFraming framing = BodyFraming::Chunked);
  void SendBody(std::string_view bytes);
  void EndBody();
  /// Closes the connection once the current response is complete, and announces that in its head.
  void CloseAfterResponse() { m_close_after_response = true; }
  /// Ends the connection in the middle of a response, so that it is not taken for a complete one.
  void AbortResponse();
  /// Closes the connection if no request is open or partly received and no output is unsent.
  void CloseIfIdle();

  /// Sets a callback that runs once if the connection ends while a request is open.
  void OnPeerDisconnected(std::function<void()> callback)
  {
    m_on_peer_disconnected = std::move(callback);
  }
  std::size_t UnsentBytes() const { return m_stream->Unsent(); }
  /// Sets a callback that runs when the event loop has flushed the output buffer; for backpressure.
  void OnAllSent(std::function<void()> callback) { m_on_all_sent = std::move(callback); }
  /// Sets a callback that runs once when the connection has closed.
  void OnFinished(std::function<void(ServerConnection*)> callback)
  {
    m_on_finished = std::move(callback);
  }
  bool IsOpen() const { return m_stream->IsOpen(); }
  bool HasOpenRequest() const { return m_request_open; }

  void OnBytes(std::string_view bytes) override;
  void OnEnd(StreamEnd end) override;
  void OnOutputFlushed() override;
  void OnHead(MessageHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;

private:
  explicit ServerConnection(RequestHandler& handler);

  void Consume();
  void Reject(int status, std::string_view reason);
  void WriteHead(int status, std::string_view reason, const std::vector<HeaderField>& headers,
                 std::optional<std::size_t> length);
  /// Returns true if the response to the open request may begin. Otherwise ends the connection if
  /// another response has begun.
  bool MayBeginResponse();
  void CloseConnection();
  void EndResponse();
  void StartIdleTimer();
  void OnIdle();
  void Finish();

  RequestHandler& m_handler;
  std::shared_ptr<TcpStream> m_stream;
  MessageParser m_parser;
  std::string m_unread; ///< Bytes that follow the open request.
  ReceivedRequest m_request;
  bool m_request_open = false;
  bool m_response_begun = false; ///< To the open request, piece by piece.
  bool m_close_after_response = false;
  bool m_head_only = false; ///< The request is a HEAD: the response has no body.
  BodyFraming m_framing = BodyFraming::Chunked; ///< Of the response that is being sent.
  bool m_consuming = false;
  bool m_body_too_large = false;
  Common::OwnedTimer m_timer;
  Common::TimePoint m_idle_since;
  std::function<void()> m_on_peer_disconnected;
  std::function<void()> m_on_all_sent;
  std::function<void(ServerConnection*)> m_on_finished;
};

/// Returns the reason phrase of a status code.
std::string_view ReasonPhrase(int status);
} // namespace Http
