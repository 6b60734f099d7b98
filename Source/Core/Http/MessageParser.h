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
/// One header line, as received.
struct HeaderField
{
  std::string name;
  std::string value;
};

bool EqualIgnoringCase(std::string_view a, std::string_view b);

/// The head of a request or response. Header names, values and order are those on the wire.
struct MessageHead
{
  std::string method; ///< Requests only.
  std::string target; ///< Requests only: path and query, unmodified.
  int status = 0;     ///< Responses only.
  std::string reason; ///< Responses only.
  std::vector<HeaderField> headers;
  bool chunked = false;
  bool keep_alive = false;                     ///< By version, Connection header and body framing.
  std::optional<std::uint64_t> content_length; ///< Size of the body, where it is given.
  bool ends_with_connection = false;           ///< Responses only: the body has no length.

  /// Returns the value of the first header of this name, or nullptr.
  const std::string* Find(std::string_view name) const;
  /// Returns the number of headers of this name.
  std::size_t Count(std::string_view name) const;
};

/// Receives the parts of a message as they are parsed.
class MessageSink
{
public:
  virtual ~MessageSink() = default;
  virtual void OnHead(MessageHead& head) = 0;
  /// Called for an interim response (1xx), which has no body and is followed by another response.
  virtual void OnInterimHead(MessageHead&) {}
  virtual void OnBody(std::string_view bytes) = 0;
  virtual void OnMessageEnd() = 0;
};

/// Parses one HTTP/1.1 message at a time from a byte stream, based on http-parser. Decides for all
/// messages, of callers, servers and the store, whether they are well-formed and whole: each line
/// of a head, of a trailer and between chunks is checked before http-parser gets it.
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
    MessageEnded, ///< `consumed` bytes belong to the message; call `Restart` before the next.
    Malformed,
    HeaderTooLarge,
  };

  MessageParser(Kind kind, MessageSink* sink);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Limits the header of a message; the interim responses before a response count as part of it.
  void SetHeaderLimit(std::size_t bytes) { m_header_limit = bytes; }
  /// Declares that the next response has no body, whatever its headers state.
  void ExpectNoBody(bool no_body) { m_no_body = no_body; }

  Status Feed(std::string_view bytes, std::size_t* consumed);
  /// Handles an orderly close of the connection, which completes a body without a length.
  Status FeedEnd();
  void Restart();

  /// True from the first byte of a message until its last one.
  bool InMessage() const { return m_in_message || !m_line.empty(); }
  /// The part of the message that is malformed, for logs.
  std::string_view MalformedPart() const;

private:
  /// The part of a message to which the next byte belongs.
  enum class Section
  {
    StartLine,
    Fields,
    Body, ///< Without chunks.
    ChunkSize,
    ChunkData,
    ChunkEnd, ///< The line break after the data of a chunk.
    Trailers,
  };

  static int HandleBegin(http_parser* parser);
  static int HandleUrl(http_parser* parser, const char* at, std::size_t size);
  static int HandleStatus(http_parser* parser, const char* at, std::size_t size);
  static int HandleField(http_parser* parser, const char* at, std::size_t size);
  static int HandleValue(http_parser* parser, const char* at, std::size_t size);
  static int HandleHeadersComplete(http_parser* parser);
  static int HandleBody(http_parser* parser, const char* at, std::size_t size);
  static int HandleChunkHeader(http_parser* parser);
  static int HandleChunkComplete(http_parser* parser);
  static int HandleMessageComplete(http_parser* parser);
  static const http_parser_settings& Settings();

  /// Hands bytes of one section, or one whole line, to http-parser.
  Status Execute(std::string_view bytes, std::size_t* consumed);
  /// Takes bytes up to the next line break, and executes the line once it is whole.
  Status FeedLine(std::string_view bytes, std::size_t* consumed);
  /// Whether a line may stand in the current section; `line` includes its line break.
  bool IsWellFormed(std::string_view line) const;
  /// False if no end of `m_line` can make it well-formed: a server that sends no HTTP may send no
  /// line break either.
  bool MayBecomeWellFormed() const;
  bool HasWellFormedFraming() const;
  Status StatusAfterFeed();
  bool CountHeaderBytes(std::size_t size);

  http_parser m_parser;
  Kind m_kind;
  MessageSink* m_sink;
  MessageHead m_head;
  Section m_section = Section::StartLine;
  std::string m_line;             ///< The beginning of a line whose end has not been received.
  std::uint64_t m_chunk_left = 0; ///< Bytes of the current chunk that have not been received.
  bool m_in_header_value = false;
  bool m_in_message = false;
  bool m_head_done = false;
  bool m_ended = false;
  bool m_no_body = false;
  bool m_too_large = false;
  std::size_t m_header_bytes = 0;
  std::size_t m_header_limit = 65536;
};
} // namespace Http
