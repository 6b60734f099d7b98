// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <bit>
#include <cstdint>
#include <cstring>
#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "Common/Failure.h"

/// Binary serialization of the messages between daemons. The two cereal archives write to and read
/// from a string. The input archive rejects a length that exceeds the remaining bytes, so that a
/// malformed message cannot cause a large allocation.
namespace Daemons
{
static_assert(std::endian::native == std::endian::little, "messages are little-endian");

class StringOutputArchive
    : public cereal::OutputArchive<StringOutputArchive, cereal::AllowEmptyClassElision>
{
public:
  explicit StringOutputArchive(std::string& out)
      : cereal::OutputArchive<StringOutputArchive, cereal::AllowEmptyClassElision>(this), m_out(out)
  {
  }

  void saveBinary(const void* data, std::size_t size)
  {
    m_out.append(static_cast<const char*>(data), size);
  }

private:
  std::string& m_out;
};

class StringInputArchive
    : public cereal::InputArchive<StringInputArchive, cereal::AllowEmptyClassElision>
{
public:
  explicit StringInputArchive(std::string_view in)
      : cereal::InputArchive<StringInputArchive, cereal::AllowEmptyClassElision>(this), m_in(in)
  {
  }

  void loadBinary(void* data, std::size_t size)
  {
    if (size > m_in.size())
      throw cereal::Exception("the message is truncated");
    std::memcpy(data, m_in.data(), size);
    m_in.remove_prefix(size);
  }

  std::size_t Remaining() const { return m_in.size(); }

private:
  std::string_view m_in;
};

/// Integers wider than one byte are encoded as LEB128 varints, signed ones after zigzag mapping:
/// most lengths, counts and versions are small, and reports hold thousands of them.
template <typename T>
concept VariableLength = std::is_integral_v<T> &&(sizeof(T) > 1);

/// Value bits per varint byte. The top bit is set if another byte follows.
constexpr unsigned VARINT_BITS = 7;
constexpr std::uint8_t VARINT_CONTINUATION_BIT = 0x80;
constexpr unsigned MAX_VARINT_SHIFT = 63;

inline void SaveVarint(StringOutputArchive& archive, std::uint64_t value)
{
  while (value >= VARINT_CONTINUATION_BIT)
  {
    const auto byte = static_cast<std::uint8_t>(value | VARINT_CONTINUATION_BIT);
    archive.saveBinary(&byte, 1);
    value >>= VARINT_BITS;
  }
  const auto last = static_cast<std::uint8_t>(value);
  archive.saveBinary(&last, 1);
}

inline std::uint64_t LoadVarint(StringInputArchive& archive)
{
  std::uint64_t value = 0;
  for (unsigned shift = 0; shift <= MAX_VARINT_SHIFT; shift += VARINT_BITS)
  {
    std::uint8_t byte = 0;
    archive.loadBinary(&byte, 1);
    value |= static_cast<std::uint64_t>(byte & (VARINT_CONTINUATION_BIT - 1)) << shift;
    if (byte < VARINT_CONTINUATION_BIT)
      return value;
  }
  throw cereal::Exception("a varint is longer than 10 bytes");
}

constexpr std::uint64_t ToZigzag(std::int64_t value)
{
  return (static_cast<std::uint64_t>(value) << 1) ^ static_cast<std::uint64_t>(value >> 63);
}

constexpr std::int64_t FromZigzag(std::uint64_t value)
{
  return static_cast<std::int64_t>(value >> 1) ^ -static_cast<std::int64_t>(value & 1);
}

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive& archive, const T& value)
{
  if constexpr (VariableLength<T> && std::is_signed_v<T>)
    SaveVarint(archive, ToZigzag(value));
  else if constexpr (VariableLength<T>)
    SaveVarint(archive, value);
  else
    archive.saveBinary(&value, sizeof(value));
}

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(StringInputArchive& archive, T& value)
{
  if constexpr (VariableLength<T>)
  {
    const std::uint64_t bits = LoadVarint(archive);
    const auto in_range = [&](auto wide) {
      if (!std::in_range<T>(wide))
        throw cereal::Exception("an integer is out of range for its type");
      return static_cast<T>(wide);
    };
    if constexpr (std::is_signed_v<T>)
      value = in_range(FromZigzag(bits));
    else
      value = in_range(bits);
  }
  else
    archive.loadBinary(&value, sizeof(value));
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(StringOutputArchive& archive, cereal::NameValuePair<T>& pair)
{
  archive(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(StringInputArchive& archive, cereal::NameValuePair<T>& pair)
{
  archive(pair.value);
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive& archive, const cereal::SizeTag<T>& tag)
{
  archive(static_cast<std::uint64_t>(tag.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(StringInputArchive& archive, cereal::SizeTag<T>& tag)
{
  std::uint64_t size = 0;
  archive(size);
  if (size > archive.Remaining())
    throw cereal::Exception("a length exceeds the rest of the message");
  tag.size = static_cast<cereal::size_type>(size);
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive& archive, const cereal::BinaryData<T>& data)
{
  archive.saveBinary(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(StringInputArchive& archive, cereal::BinaryData<T>& data)
{
  archive.loadBinary(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
std::string Encode(const T& message)
{
  std::string bytes;
  StringOutputArchive archive(bytes);
  archive(message);
  return bytes;
}

/// Fails with Protocol unless the bytes are exactly one message of this type.
template <typename T>
Common::Result<T> Decode(std::string_view bytes)
{
  try
  {
    T message;
    StringInputArchive archive(bytes);
    archive(message);
    if (archive.Remaining() != 0)
      return {Common::FailureKind::Protocol, "unexpected bytes after the message"};
    return message;
  }
  catch (const std::exception& error)
  {
    return {Common::FailureKind::Protocol, error.what()};
  }
}
} // namespace Daemons

CEREAL_REGISTER_ARCHIVE(Daemons::StringOutputArchive)
CEREAL_REGISTER_ARCHIVE(Daemons::StringInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(Daemons::StringInputArchive, Daemons::StringOutputArchive)
