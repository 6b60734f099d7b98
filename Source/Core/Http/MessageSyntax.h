// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string_view>

/// Whether the lines of a message are well-formed (RFC 9112, sections 2 to 7; RFC 9110, section 5).
/// http-parser, as it is packaged, accepts more: blanks in header names, any number as a status,
/// any bytes where the line break after a chunk is due. Lines are given without their line break.
namespace Http
{
/// METHOD SP TARGET SP HTTP/1.x, where the target holds no blanks or control bytes.
bool IsRequestLine(std::string_view line);
/// HTTP/1.x SP STATUS, and a reason without control bytes. A status has three digits; the first is
/// 1 to 5 (RFC 9110, section 15).
bool IsStatusLine(std::string_view line);
/// True for the beginning of an HTTP/1.x status line, as far as the version goes.
bool MayBeginStatusLine(std::string_view beginning);
/// NAME ":" VALUE, where the name is a token and the value holds no control bytes but tabs. A line
/// that begins with a blank continues the one before, which is obsolete, and is not well-formed.
bool IsFieldLine(std::string_view line);
/// The size of a chunk in hexadecimal digits, and extensions without control bytes.
bool IsChunkSizeLine(std::string_view line);
} // namespace Http
