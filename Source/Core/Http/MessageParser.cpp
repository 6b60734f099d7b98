// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/MessageParser.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <strings.h>

#include "Http/MessageSyntax.h"

namespace Http
{
namespace
{
constexpr int CONTINUE_PARSING = 0;
constexpr int SKIP_BODY = 1;
constexpr int STOP_PARSING = -1;
/// Bytes of a header line besides name and value: ": " and CRLF.
constexpr std::size_t HEADER_LINE_OVERHEAD = 4;
/// Bytes of a status line besides the reason: "HTTP/1.1 100 " and CRLF, and the empty line that
/// ends the header.
constexpr std::size_t STATUS_LINE_OVERHEAD = 17;

MessageParser& Self(http_parser* parser)
{
  return *static_cast<MessageParser*>(parser->data);
}

constexpr int SWITCHING_PROTOCOLS = 101;
constexpr std::string_view LINE_BREAK = "\r\n";

/// A line without its line break, which may lack the CR.
std::string_view Content(std::string_view line)
{
  line.remove_suffix(1);
  if (line.ends_with('\r'))
    line.remove_suffix(1);
  return line;
}
} // namespace

bool EqualIgnoringCase(std::string_view a, std::string_view b)
{
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string* MessageHead::Find(std::string_view name) const
{
  const auto found = std::ranges::find_if(headers, [&](const HeaderField& field) {
    return EqualIgnoringCase(field.name, name);
  });
  return found == headers.end() ? nullptr : &found->value;
}

std::size_t MessageHead::Count(std::string_view name) const
{
  return static_cast<std::size_t>(std::ranges::count_if(headers, [&](const HeaderField& field) {
    return EqualIgnoringCase(field.name, name);
  }));
}

MessageParser::MessageParser(Kind kind, MessageSink* sink) : m_kind(kind), m_sink(sink)
{
  Restart();
}

void MessageParser::Restart()
{
  http_parser_init(&m_parser, m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
  m_head = {};
  m_section = Section::StartLine;
  m_line.clear();
  m_chunk_left = 0;
  m_in_header_value = false;
  m_in_message = false;
  m_head_done = false;
  m_ended = false;
  m_too_large = false;
  m_header_bytes = 0;
}

const http_parser_settings& MessageParser::Settings()
{
  static const http_parser_settings s_settings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = HandleBegin;
    settings.on_url = HandleUrl;
    settings.on_status = HandleStatus;
    settings.on_header_field = HandleField;
    settings.on_header_value = HandleValue;
    settings.on_headers_complete = HandleHeadersComplete;
    settings.on_body = HandleBody;
    settings.on_chunk_header = HandleChunkHeader;
    settings.on_chunk_complete = HandleChunkComplete;
    settings.on_message_complete = HandleMessageComplete;
    return settings;
  }();
  return s_settings;
}

MessageParser::Status MessageParser::Feed(std::string_view bytes, std::size_t* consumed)
{
  *consumed = 0;
  auto status = Status::NeedsMore;
  while (!bytes.empty() && status == Status::NeedsMore)
  {
    std::size_t taken = 0;
    if (m_section == Section::Body)
      status = Execute(bytes, &taken);
    else if (m_section == Section::ChunkData)
      status = Execute(bytes.substr(0, m_chunk_left), &taken);
    else
      status = FeedLine(bytes, &taken);
    *consumed += taken;
    bytes.remove_prefix(taken);
  }
  return status;
}

MessageParser::Status MessageParser::Execute(std::string_view bytes, std::size_t* consumed)
{
  *consumed = http_parser_execute(&m_parser, &Settings(), bytes.data(), bytes.size());
  return StatusAfterFeed();
}

MessageParser::Status MessageParser::FeedLine(std::string_view bytes, std::size_t* consumed)
{
  const auto line_feed = bytes.find('\n');
  *consumed = line_feed == std::string_view::npos ? bytes.size() : line_feed + 1;
  m_line.append(bytes.substr(0, *consumed));
  if ((m_head_done ? 0 : m_header_bytes) + m_line.size() > m_header_limit)
    return Status::HeaderTooLarge;
  if (line_feed == std::string_view::npos)
    return MayBecomeWellFormed() ? Status::NeedsMore : Status::Malformed;
  if (!IsWellFormed(m_line))
    return Status::Malformed;
  const std::string line = std::exchange(m_line, {});
  if (m_section == Section::StartLine && !Content(line).empty())
    m_section = Section::Fields;
  std::size_t executed = 0;
  return Execute(line, &executed);
}

bool MessageParser::MayBecomeWellFormed() const
{
  if (m_section == Section::ChunkEnd)
    return LINE_BREAK.starts_with(m_line);
  return m_section != Section::StartLine || m_kind == Kind::Request || m_line == "\r" ||
         MayBeginStatusLine(m_line);
}

bool MessageParser::IsWellFormed(std::string_view line) const
{
  const std::string_view content = Content(line);
  switch (m_section)
  {
  case Section::StartLine:
    // Empty lines before a message are ignored (RFC 9112, section 2.2).
    return content.empty() ||
           (m_kind == Kind::Request ? IsRequestLine(content) : IsStatusLine(content));
  case Section::Fields:
  case Section::Trailers:
    return content.empty() || IsFieldLine(content);
  case Section::ChunkSize:
    return IsChunkSizeLine(content);
  case Section::ChunkEnd:
    return line == LINE_BREAK;
  case Section::Body:
  case Section::ChunkData:
    break;
  }
  return true;
}

std::string_view MessageParser::MalformedPart() const
{
  switch (m_section)
  {
  case Section::StartLine:
    return "start line";
  case Section::Fields:
    return "header";
  case Section::ChunkSize:
  case Section::ChunkData:
  case Section::ChunkEnd:
    return "chunk";
  case Section::Trailers:
    return "trailer";
  case Section::Body:
    break;
  }
  return "body";
}

bool MessageParser::HasWellFormedFraming() const
{
  constexpr std::string_view TRANSFER_ENCODING = "Transfer-Encoding";
  const std::string* coding = m_head.Find(TRANSFER_ENCODING);
  if (coding == nullptr)
    return true;
  // Other codings would have to be undone, and HTTP/1.0 has none.
  return m_head.Count(TRANSFER_ENCODING) == 1 && m_parser.http_minor > 0 &&
         EqualIgnoringCase(std::string_view(*coding).substr(0, coding->find_last_not_of(" \t") + 1),
                           "chunked");
}

MessageParser::Status MessageParser::FeedEnd()
{
  if (!m_in_message)
    return Status::NeedsMore;
  http_parser_execute(&m_parser, &Settings(), nullptr, 0);
  return m_ended ? Status::MessageEnded : Status::Malformed;
}

MessageParser::Status MessageParser::StatusAfterFeed()
{
  if (m_ended)
    return Status::MessageEnded;
  if (m_too_large)
    return Status::HeaderTooLarge;
  const auto error = HTTP_PARSER_ERRNO(&m_parser);
  if (error == HPE_HEADER_OVERFLOW)
    return Status::HeaderTooLarge;
  return error == HPE_OK ? Status::NeedsMore : Status::Malformed;
}

bool MessageParser::CountHeaderBytes(std::size_t size)
{
  m_header_bytes += size;
  m_too_large = m_header_bytes > m_header_limit;
  return !m_too_large;
}

int MessageParser::HandleBegin(http_parser* parser)
{
  Self(parser).m_in_message = true;
  return CONTINUE_PARSING;
}

int MessageParser::HandleUrl(http_parser* parser, const char* at, std::size_t size)
{
  MessageParser& self = Self(parser);
  self.m_head.target.append(at, size);
  return self.CountHeaderBytes(size) ? CONTINUE_PARSING : STOP_PARSING;
}

int MessageParser::HandleStatus(http_parser* parser, const char* at, std::size_t size)
{
  MessageParser& self = Self(parser);
  self.m_head.reason.append(at, size);
  return self.CountHeaderBytes(size) ? CONTINUE_PARSING : STOP_PARSING;
}

int MessageParser::HandleField(http_parser* parser, const char* at, std::size_t size)
{
  MessageParser& self = Self(parser);
  if (self.m_head_done)
    return CONTINUE_PARSING; // A trailer field; trailers are discarded.
  if (self.m_in_header_value || self.m_head.headers.empty())
  {
    self.m_head.headers.emplace_back();
    self.m_in_header_value = false;
    self.m_header_bytes += HEADER_LINE_OVERHEAD;
  }
  self.m_head.headers.back().name.append(at, size);
  return self.CountHeaderBytes(size) ? CONTINUE_PARSING : STOP_PARSING;
}

int MessageParser::HandleValue(http_parser* parser, const char* at, std::size_t size)
{
  MessageParser& self = Self(parser);
  if (self.m_head_done)
    return CONTINUE_PARSING;
  self.m_in_header_value = true;
  self.m_head.headers.back().value.append(at, size);
  return self.CountHeaderBytes(size) ? CONTINUE_PARSING : STOP_PARSING;
}

int MessageParser::HandleHeadersComplete(http_parser* parser)
{
  MessageParser& self = Self(parser);
  MessageHead& head = self.m_head;
  self.m_head_done = true;
  // No request asks for another protocol: Upgrade is a header of one connection.
  const bool is_switching =
      self.m_kind == Kind::Response && parser->status_code == SWITCHING_PROTOCOLS;
  if (is_switching || !self.HasWellFormedFraming())
    return STOP_PARSING;
  if (self.m_kind == Kind::Request)
    head.method = http_method_str(static_cast<http_method>(parser->method));
  else
    head.status = static_cast<int>(parser->status_code);
  head.chunked = (parser->flags & F_CHUNKED) != 0;
  head.keep_alive = http_should_keep_alive(parser) != 0;
  const bool has_length = (parser->flags & F_CONTENTLENGTH) != 0 &&
                          parser->content_length != std::numeric_limits<std::uint64_t>::max();
  if (has_length)
    head.content_length = parser->content_length;
  const bool interim = self.m_kind == Kind::Response && head.status < 200;
  if (interim)
  {
    // All interim responses before a final one count against the same limit: a server may send
    // them without end, each with a small header or none.
    if (!self.CountHeaderBytes(STATUS_LINE_OVERHEAD))
      return STOP_PARSING;
    self.m_sink->OnInterimHead(head);
    return SKIP_BODY;
  }
  const bool bodyless = self.m_no_body || head.status == 204 || head.status == 304;
  head.ends_with_connection =
      self.m_kind == Kind::Response && !bodyless && !head.chunked && !has_length;
  self.m_section = head.chunked ? Section::ChunkSize : Section::Body;
  self.m_sink->OnHead(head);
  return bodyless ? SKIP_BODY : CONTINUE_PARSING;
}

int MessageParser::HandleBody(http_parser* parser, const char* at, std::size_t size)
{
  MessageParser& self = Self(parser);
  if (self.m_section == Section::ChunkData)
  {
    self.m_chunk_left -= size;
    if (self.m_chunk_left == 0)
      self.m_section = Section::ChunkEnd;
  }
  self.m_sink->OnBody(std::string_view(at, size));
  return CONTINUE_PARSING;
}

int MessageParser::HandleChunkHeader(http_parser* parser)
{
  MessageParser& self = Self(parser);
  self.m_chunk_left = parser->content_length;
  self.m_section = self.m_chunk_left == 0 ? Section::Trailers : Section::ChunkData;
  return CONTINUE_PARSING;
}

int MessageParser::HandleChunkComplete(http_parser* parser)
{
  MessageParser& self = Self(parser);
  // Called after the last chunk's trailers too.
  if (self.m_section == Section::ChunkEnd)
    self.m_section = Section::ChunkSize;
  return CONTINUE_PARSING;
}

int MessageParser::HandleMessageComplete(http_parser* parser)
{
  MessageParser& self = Self(parser);
  const bool interim = self.m_kind == Kind::Response && self.m_head.status < 200;
  if (interim)
  {
    self.m_head = {};
    self.m_section = Section::StartLine;
    self.m_in_header_value = false;
    self.m_head_done = false;
    return CONTINUE_PARSING;
  }
  self.m_ended = true;
  self.m_in_message = false;
  http_parser_pause(parser, 1);
  self.m_sink->OnMessageEnd();
  return CONTINUE_PARSING;
}
} // namespace Http
