// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Deflate.h"

#include <algorithm>

#include <zlib.h>

namespace Common
{
namespace
{
/// Without zlib's header and checksum: datagrams have their own.
constexpr int RAW_WINDOW_BITS = -MAX_WBITS;
/// A window of 4 KB is enough for short texts and takes less to set up.
constexpr int SMALL_RAW_WINDOW_BITS = -12;
constexpr std::size_t SMALL_TEXT = 3000;
/// zlib's scale from 1 to 9: memory for its hash table.
constexpr int MEMORY_LEVEL = 5;
constexpr std::size_t MIN_OUTPUT = 256;

Bytef* Input(std::string_view bytes)
{
  // zlib's interface is not const, but it only reads.
  return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

uInt Size(std::string_view bytes)
{
  return static_cast<uInt>(bytes.size());
}
} // namespace

std::string Deflate(std::string_view bytes, std::string_view dictionary)
{
  z_stream stream{};
  const bool small = std::max(bytes.size(), dictionary.size()) <= SMALL_TEXT;
  deflateInit2(&stream, Z_DEFAULT_COMPRESSION, Z_DEFLATED,
               small ? SMALL_RAW_WINDOW_BITS : RAW_WINDOW_BITS, MEMORY_LEVEL, Z_DEFAULT_STRATEGY);
  if (!dictionary.empty())
    deflateSetDictionary(&stream, Input(dictionary), Size(dictionary));
  std::string packed(deflateBound(&stream, bytes.size()), '\0');
  stream.next_in = Input(bytes);
  stream.avail_in = Size(bytes);
  stream.next_out = Input(packed);
  stream.avail_out = Size(packed);
  deflate(&stream, Z_FINISH);
  packed.resize(stream.total_out);
  deflateEnd(&stream);
  return packed;
}

Result<std::string> Inflate(std::string_view packed, std::string_view dictionary,
                            std::size_t max_size)
{
  z_stream stream{};
  inflateInit2(&stream, RAW_WINDOW_BITS);
  if (!dictionary.empty())
    inflateSetDictionary(&stream, Input(dictionary), Size(dictionary));
  std::string bytes;
  stream.next_in = Input(packed);
  stream.avail_in = Size(packed);
  int status = Z_OK;
  while (status == Z_OK && bytes.size() < max_size)
  {
    const std::size_t done = bytes.size();
    bytes.resize(std::min(max_size, std::max(2 * done, MIN_OUTPUT)));
    stream.next_out = Input(bytes) + done;
    stream.avail_out = static_cast<uInt>(bytes.size() - done);
    status = inflate(&stream, Z_NO_FLUSH);
    bytes.resize(bytes.size() - stream.avail_out);
  }
  const bool whole = status == Z_STREAM_END && stream.avail_in == 0;
  inflateEnd(&stream);
  if (!whole)
    return {FailureKind::Protocol, "no whole deflated text, or too long"};
  return bytes;
}
} // namespace Common
