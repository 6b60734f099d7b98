// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <http_parser.h>

namespace Http
{
/// One header line as it came.
struct HeaderField
{
  std::string name;
  std::string value;
};

bool EqualIgnoringCase(std::string_view a, std::string_view b);

/// The head of a request or of an answer, names, values and order as on the wire.
struct MessageHead
{
  std::string method; ///< Requests.
  std::string target; ///< Requests: path and query, unchanged.
  int status = 0;     ///< Answers.
  std::string reason; ///< Answers.
  std::vector<HeaderField> headers;
  bool chunked = false;
  bool keep_alive = false;                     ///< As the message itself says.
  std::optional<std::uint64_t> content_length; ///< Bytes of the body where it is given.
  bool ends_with_connection = false;           ///< Answers: a body without a length.

  /// The first header of this name, or nullptr.
  const std::string* Find(std::string_view name) const;
  /// How often a header of this name occurs.
  std::size_t Count(std::string_view name) const;
};

/// Told of the parts of one message.
class MessageSink
{
public:
  virtual ~MessageSink() = default;
  virtual void OnHead(MessageHead& head) = 0;
  /// Of an interim answer (1xx), which has no body and is followed by another answer.
  virtual void OnInterimHead(MessageHead&) {}
  virtual void OnBody(std::string_view bytes) = 0;
  virtual void OnMessageEnd() = 0;
};

/// Reads one HTTP/1.1 message at a time out of a stream of bytes (http-parser does the grammar).
class MessageParser
{
public:
  enum class Kind
  {
    Request,
    Response,
  };
  enum class Status
  {
    NeedsMore,
    MessageEnded, ///< `consumed` bytes belong to the message; call `Restart` for the next.
    Malformed,
    HeaderTooLarge,
  };

  MessageParser(Kind kind, MessageSink* sink);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  void SetHeaderLimit(std::size_t bytes) { m_header_limit = bytes; }
  /// The answer to come has no body, whatever its head says.
  void ExpectNoBody(bool no_body) { m_no_body = no_body; }

  Status Feed(std::string_view bytes, std::size_t* consumed);
  /// The connection ended in order: completes a body without a length.
  Status FeedEnd();
  void Restart();

  /// True where the first byte of a message has been read and not its last.
  bool InMessage() const { return m_in_message; }

private:
  static int HandleBegin(http_parser* parser);
  static int HandleUrl(http_parser* parser, const char* at, std::size_t size);
  static int HandleStatus(http_parser* parser, const char* at, std::size_t size);
  static int HandleField(http_parser* parser, const char* at, std::size_t size);
  static int HandleValue(http_parser* parser, const char* at, std::size_t size);
  static int HandleHeadersComplete(http_parser* parser);
  static int HandleBody(http_parser* parser, const char* at, std::size_t size);
  static int HandleMessageComplete(http_parser* parser);
  static const http_parser_settings& Settings();

  Status StatusAfterFeed();
  bool CountHeaderBytes(std::size_t size);

  http_parser m_parser;
  Kind m_kind;
  MessageSink* m_sink;
  MessageHead m_head;
  bool m_value_open = false;
  bool m_in_message = false;
  bool m_head_done = false;
  bool m_ended = false;
  bool m_no_body = false;
  bool m_too_large = false;
  std::size_t m_header_bytes = 0;
  std::size_t m_header_limit = 65536;
};
} // namespace Http
