// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/ServerConnection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "Common/Log.h"
#include "Common/Loop.h"

namespace Http
{
namespace
{
/// Maximum bytes of pipelined requests that are buffered while a request is open; beyond it reading
/// pauses.
constexpr std::size_t MAX_UNREAD_BYTES = 65536;
/// Delay between the end of the idle timeout and the close, in which the event loop polls all
/// sockets once more: in a busy process, a request may have arrived long before and would be lost
/// with the connection.
constexpr Common::Milliseconds FINAL_POLL_DELAY{1};

std::string HexLength(std::size_t size)
{
  std::array<char, 2 * sizeof(size)> text{};
  const auto written = std::to_chars(text.data(), text.data() + text.size(), size, 16);
  return {text.data(), written.ptr};
}
} // namespace

std::string_view ReasonPhrase(int status)
{
  switch (status)
  {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 413:
    return "Content Too Large";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

ServerConnection::ServerConnection(RequestHandler& handler)
    : m_handler(handler), m_parser(MessageParser::Kind::Request, this)
{
}

std::shared_ptr<ServerConnection> ServerConnection::Adopt(int fd, RequestHandler& handler)
{
  std::shared_ptr<ServerConnection> connection(new ServerConnection(handler));
  connection->m_stream = TcpStream::Adopt(fd, connection.get());
  connection->StartIdleTimer();
  return connection;
}

void ServerConnection::StartIdleTimer()
{
  m_idle_since = Common::Now();
  m_timer.Start(m_handler.Limits().idle_timeout, [this] {
    OnIdle();
  });
}

void ServerConnection::OnIdle()
{
  // The timeout may have been raised while the connection was idle.
  const auto idle_for = std::chrono::floor<Common::Milliseconds>(Common::Now() - m_idle_since);
  const Common::Milliseconds left = m_handler.Limits().idle_timeout - idle_for;
  m_timer.Start(std::max(left, FINAL_POLL_DELAY), [this, is_last = left <= FINAL_POLL_DELAY] {
    if (!is_last)
    {
      OnIdle();
      return;
    }
    // A caller that is still reading a response is not idle; one that has stopped to acknowledge
    // data is ended by the kernel.
    if (m_stream->Unsent() > 0)
    {
      StartIdleTimer();
      return;
    }
    const auto guard = shared_from_this();
    m_stream->Close();
    Finish();
  });
}

void ServerConnection::OnBytes(std::string_view bytes)
{
  const auto guard = shared_from_this();
  m_unread.append(bytes);
  if (m_request_open && m_unread.size() > MAX_UNREAD_BYTES)
    m_stream->SetReading(false);
  Consume();
}

void ServerConnection::Consume()
{
  if (m_consuming)
    return;
  m_consuming = true;
  while (!m_unread.empty() && !m_request_open && m_stream->IsOpen())
  {
    const std::string bytes = std::exchange(m_unread, {});
    if (!m_parser.InMessage())
    {
      m_timer.Start(m_handler.Limits().header_timeout, [this] {
        const auto guard = shared_from_this();
        Reject(408, ReasonPhrase(408));
      });
    }
    m_parser.SetHeaderLimit(m_handler.Limits().header_bytes);
    std::size_t consumed = 0;
    const auto status = m_parser.Feed(bytes, &consumed);
    if (status == MessageParser::Status::NeedsMore && !m_body_too_large)
      break;
    if (m_body_too_large)
      Reject(413, ReasonPhrase(413));
    else if (status == MessageParser::Status::HeaderTooLarge)
      Reject(431, ReasonPhrase(431));
    else if (status == MessageParser::Status::Malformed)
      Reject(400, ReasonPhrase(400));
    else
    {
      m_unread = bytes.substr(consumed);
      m_parser.Restart();
      m_timer.Stop();
      m_request_open = true;
      m_head_only = m_request.head.method == "HEAD";
      m_close_after_response = !m_request.head.keep_alive;
      m_handler.OnRequest(shared_from_this(), std::exchange(m_request, {}));
    }
  }
  m_consuming = false;
}

void ServerConnection::OnHead(MessageHead& head)
{
  if (head.content_length.value_or(0) > m_handler.Limits().body_bytes)
    m_body_too_large = true;
  const std::string* expect = head.Find("Expect");
  if (expect != nullptr && EqualIgnoringCase(*expect, "100-continue") && !m_body_too_large)
    m_stream->Write("HTTP/1.1 100 Continue\r\n\r\n");
  // The header timeout no longer applies; the body must arrive within the idle timeout.
  StartIdleTimer();
  m_request.head = std::move(head);
}

void ServerConnection::OnBody(std::string_view bytes)
{
  if (m_request.body.size() + bytes.size() > m_handler.Limits().body_bytes)
  {
    m_body_too_large = true;
    return;
  }
  m_request.body.append(bytes);
}

void ServerConnection::OnMessageEnd() {}

void ServerConnection::Reject(int status, std::string_view reason)
{
  m_close_after_response = true;
  m_request_open = true;
  Respond(status, reason, {}, "");
}

void ServerConnection::WriteHead(int status, std::string_view reason,
                                 const std::vector<HeaderField>& headers,
                                 std::optional<std::size_t> length)
{
  if (m_handler.IsStopping())
    m_close_after_response = true;
  std::string head = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\n";
  for (const HeaderField& field : headers)
    head += field.name + ": " + field.value + "\r\n";
  if (length)
    head += "Content-Length: " + std::to_string(*length) + "\r\n";
  else if (m_framing == BodyFraming::Chunked)
    head += "Transfer-Encoding: chunked\r\n";
  if (m_close_after_response)
    head += "Connection: close\r\n";
  m_stream->Write(head + "\r\n");
}

bool ServerConnection::MayBeginResponse()
{
  if (!m_stream->IsOpen() || !m_request_open)
    return false;
  if (!m_response_begun)
    return true;
  Common::LogEvent(Common::LogLevel::Error, "second-response", {});
  AbortResponse();
  return false;
}

void ServerConnection::Respond(int status, std::string_view reason,
                               const std::vector<HeaderField>& headers, std::string_view body)
{
  if (!MayBeginResponse())
    return;
  WriteHead(status, reason, headers, body.size());
  if (!m_head_only)
    m_stream->Write(body);
  EndResponse();
}

void ServerConnection::BeginBody(int status, std::string_view reason,
                                 const std::vector<HeaderField>& headers, BodyFraming framing)
{
  if (!MayBeginResponse())
    return;
  m_response_begun = true;
  m_framing = framing;
  if (framing == BodyFraming::UntilClose)
  {
    m_close_after_response = true;
    // If the process exits before the end of the body, the kernel must not close the connection in
    // an orderly way, which would state that the body is complete.
    m_stream->SetResetOnClose(true);
  }
  WriteHead(status, reason, headers, std::nullopt);
}

void ServerConnection::SendBody(std::string_view bytes)
{
  if (bytes.empty() || m_head_only || !m_response_begun || !m_stream->IsOpen())
    return;
  if (m_framing == BodyFraming::UntilClose)
    m_stream->Write(bytes);
  else
    m_stream->Write(HexLength(bytes.size()) + "\r\n" + std::string(bytes) + "\r\n");
}

void ServerConnection::EndBody()
{
  if (!m_response_begun || !m_stream->IsOpen())
    return;
  if (m_framing == BodyFraming::Chunked && !m_head_only)
    m_stream->Write("0\r\n\r\n");
  EndResponse();
}

void ServerConnection::CloseConnection()
{
  m_stream->SetResetOnClose(false);
  m_stream->Close();
  Finish();
}

void ServerConnection::EndResponse()
{
  const auto guard = shared_from_this();
  m_request_open = false;
  m_response_begun = false;
  m_on_peer_disconnected = nullptr;
  m_on_all_sent = nullptr;
  if (m_close_after_response)
  {
    if (m_stream->Unsent() == 0)
      CloseConnection();
    return;
  }
  m_stream->SetReading(true);
  StartIdleTimer();
  if (!m_unread.empty() && !m_consuming)
    Common::Reactor::Get().After(Common::Milliseconds(0), [guard] {
      guard->Consume();
    });
}

void ServerConnection::AbortResponse()
{
  const auto guard = shared_from_this();
  m_request_open = false;
  m_on_peer_disconnected = nullptr;
  m_on_all_sent = nullptr;
  if (m_framing == BodyFraming::UntilClose)
    m_stream->Reset();
  m_stream->Close();
  Finish();
}

void ServerConnection::CloseIfIdle()
{
  if (m_request_open || m_parser.InMessage() || !m_unread.empty() || m_stream->Unsent() > 0)
    return;
  // A request that has arrived and is not read yet would end with a reset.
  if (!m_stream->IsStillIdle())
    return;
  const auto guard = shared_from_this();
  m_stream->Close();
  Finish();
}

void ServerConnection::OnOutputFlushed()
{
  const auto guard = shared_from_this();
  if (!m_request_open && m_close_after_response)
  {
    CloseConnection();
    return;
  }
  if (m_on_all_sent)
  {
    const auto callback = m_on_all_sent;
    callback();
  }
}

void ServerConnection::OnEnd(StreamEnd)
{
  const auto guard = shared_from_this();
  m_timer.Stop();
  const auto on_peer_disconnected = std::exchange(m_on_peer_disconnected, nullptr);
  m_request_open = false;
  if (on_peer_disconnected)
    on_peer_disconnected();
  Finish();
}

void ServerConnection::Finish()
{
  m_timer.Stop();
  const auto finished = std::exchange(m_on_finished, nullptr);
  if (finished)
    finished(this);
}
} // namespace Http
