// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/MessageParser.h"

#include <algorithm>
#include <limits>

#include <strings.h>

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

/// http-parser accepts whitespace in header names. If such a header were forwarded, the next server
/// might read another name: "Key : x" is not the header "Key" here, but is where whitespace is
/// stripped.
bool HasWhitespaceInHeaderName(const MessageHead& head)
{
  return std::ranges::any_of(head.headers, [](const HeaderField& field) {
    return field.name.find_first_of(" \t") != std::string::npos;
  });
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
    settings.on_message_complete = HandleMessageComplete;
    return settings;
  }();
  return s_settings;
}

MessageParser::Status MessageParser::Feed(std::string_view bytes, std::size_t* consumed)
{
  *consumed = http_parser_execute(&m_parser, &Settings(), bytes.data(), bytes.size());
  return StatusAfterFeed();
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
  if (self.m_kind == Kind::Request && HasWhitespaceInHeaderName(head))
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
  self.m_sink->OnHead(head);
  return self.m_no_body ? SKIP_BODY : CONTINUE_PARSING;
}

int MessageParser::HandleBody(http_parser* parser, const char* at, std::size_t size)
{
  Self(parser).m_sink->OnBody(std::string_view(at, size));
  return CONTINUE_PARSING;
}

int MessageParser::HandleMessageComplete(http_parser* parser)
{
  MessageParser& self = Self(parser);
  const bool interim = self.m_kind == Kind::Response && self.m_head.status < 200;
  if (interim)
  {
    self.m_head = {};
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
