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

#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "Common/Failure.h"

/// Messages as bytes. The archives are cereal's extension points: they write to and read from a
/// string, and the reader refuses a length that exceeds the bytes that are left, so that a
/// malformed message cannot make it allocate.
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

  std::size_t Left() const { return m_in.size(); }

private:
  std::string_view m_in;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive& archive, const T& value)
{
  archive.saveBinary(&value, sizeof(value));
}

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(StringInputArchive& archive, T& value)
{
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
  if (size > archive.Left())
    throw cereal::Exception("a length exceeds the message");
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

/// Fails with Protocol where the bytes are not exactly one message of this type.
template <typename T>
Common::Result<T> Decode(std::string_view bytes)
{
  try
  {
    T message;
    StringInputArchive archive(bytes);
    archive(message);
    if (archive.Left() != 0)
      return {Common::FailureKind::Protocol, "bytes are left behind the message"};
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
