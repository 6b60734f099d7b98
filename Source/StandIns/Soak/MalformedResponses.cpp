// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/Soak/MalformedResponses.h"

#include <array>
#include <string_view>

#include "Common/Random.h"

namespace Soak
{
namespace
{
using namespace std::string_view_literals;

constexpr std::array STATUSES{"000", "0", "099", "20", "600", "999", "0200", "2 0", "abc", ""};
constexpr std::array LINES{"X y: 1"sv,    "X\ty: 1"sv, "X\0y: 1"sv, "X\x01y: 1"sv, "X\ry: 1"sv,
                           "X\x7fy: 1"sv, ": 1"sv,     " X: 1"sv,   "\tX: 1"sv};
constexpr std::string_view OTHER_CODING = "Transfer-Encoding: gzip, chunked";

template <typename Options>
std::string Draw(const Options& options)
{
  return std::string(options[Common::SharedRandom()() % options.size()]);
}
} // namespace

std::string DrawMalformedResponse(const std::string& id)
{
  enum Kind
  {
    Status,
    Line,
    Coding,
    Chunk,
    Trailer,
    KINDS,
  };
  const std::string body = "odd answer to " + id;
  const std::string headers = "\r\nServer-Stamp: s\r\nAttempt-Id: " + id + "\r\n";
  const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const std::string chunked = "HTTP/1.1 200 OK" + headers + "Transfer-Encoding: chunked\r\n\r\n";
  switch (Common::SharedRandom()() % KINDS)
  {
  case Status:
    return "HTTP/1.1 " + Draw(STATUSES) + " OK" + headers + length + "\r\n" + body;
  case Line:
    return "HTTP/1.1 200 OK" + headers + Draw(LINES) + "\r\n" + length + "\r\n" + body;
  case Coding:
    return "HTTP/1.1 200 OK" + headers + std::string(OTHER_CODING) +
           "\r\n\r\n3\r\nodd\r\n0\r\n\r\n";
  case Chunk:
    return chunked + "3\r\n" + body + "\r\n0\r\n\r\n";
  default:
    return chunked + "3\r\nodd\r\n0\r\n" + Draw(LINES) + "\r\n\r\n";
  }
}
} // namespace Soak
