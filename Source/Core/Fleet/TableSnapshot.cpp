// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Fleet/TableSnapshot.h"

#include <cstring>

#include <xxhash.h>

#include "Common/Compression.h"
#include "Daemons/Codec.h"

namespace Fleet
{
namespace
{
using Common::FailureKind;

constexpr std::uint64_t MAGIC = 0x31425444; // "DTB1"
/// Magic number, length of the compressed rows and their checksum, 8 bytes each.
constexpr std::size_t HEADER_BYTES = 24;
/// Maximum sizes that a malformed message can make a daemon allocate: a fifth of the smallest VM's
/// 160 MB.
constexpr std::size_t MAX_PACKED_BYTES = 8 << 20;
constexpr std::size_t MAX_BYTES = 32 << 20;

std::uint64_t ReadNumber(std::string_view bytes, std::size_t index)
{
  std::uint64_t number = 0;
  std::memcpy(&number, bytes.data() + index * sizeof(number), sizeof(number));
  return number;
}

void AppendNumber(std::string& bytes, std::uint64_t number)
{
  bytes.append(reinterpret_cast<const char*>(&number), sizeof(number));
}
} // namespace

template <typename Archive>
void serialize(Archive& archive, TableRow& row)
{
  archive(row.key, row.value, row.version);
}

template <typename Archive>
void serialize(Archive& archive, TableSnapshot& snapshot)
{
  archive(snapshot.version, snapshot.rows);
}

std::string PackSnapshots(const std::vector<TableSnapshot>& snapshots)
{
  const std::string rows = Common::Compress(Daemons::Encode(snapshots), "");
  std::string message;
  AppendNumber(message, MAGIC);
  AppendNumber(message, rows.size());
  AppendNumber(message, XXH3_64bits(rows.data(), rows.size()));
  return message + rows;
}

Common::Result<std::size_t> MessageLength(std::string_view begin)
{
  if (begin.size() < HEADER_BYTES)
    return std::size_t{0};
  const std::uint64_t length = ReadNumber(begin, 1);
  if (ReadNumber(begin, 0) != MAGIC || length > MAX_PACKED_BYTES)
    return {FailureKind::Protocol, "not a message with tables, or it is too long"};
  return HEADER_BYTES + static_cast<std::size_t>(length);
}

Common::Result<std::vector<TableSnapshot>> UnpackSnapshots(std::string_view message)
{
  const auto length = MessageLength(message);
  if (!length)
    return length.Reason();
  if (*length == 0 || *length != message.size())
    return {FailureKind::Protocol, "the message with tables is incomplete"};
  const std::string_view rows = message.substr(HEADER_BYTES);
  if (XXH3_64bits(rows.data(), rows.size()) != ReadNumber(message, 2))
    return {FailureKind::Protocol, "the checksum of the tables is wrong"};
  const auto bytes = Common::Decompress(rows, "", MAX_BYTES);
  if (!bytes)
    return bytes.Reason();
  return Daemons::Decode<std::vector<TableSnapshot>>(*bytes);
}
} // namespace Fleet
