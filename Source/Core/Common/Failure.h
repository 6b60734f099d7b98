// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Common
{
/// Why an operation gave no value. Each kind tells the code above what it may do next.
enum class FailureKind
{
  None,
  InvalidInput,       ///< Malformed or out of range; the same input never succeeds.
  NotFound,           ///< The named thing does not exist.
  Conflict,           ///< A compare-and-set lost, or the state forbids the operation.
  NotSent,            ///< Nothing reached the peer; trying elsewhere is safe.
  Refused,            ///< The peer definitely declined and did not run it.
  Overloaded,         ///< Declined for want of capacity; a later try may succeed.
  DeadlineUnmeetable, ///< The work cannot be finished before its deadline.
  Timeout,            ///< No answer in time; the peer may have acted.
  OutcomeUnknown,     ///< The exchange broke after the first byte went out.
  Unavailable,        ///< The peer is out of service.
  Protocol,           ///< The peer answered something that is not its protocol.
  Unauthorized,       ///< The credentials are missing or do not suffice.
  Stopping,           ///< This process is stopping and takes no new work.
};

/// The lower-case name of `kind` as it stands in logs and JSON.
std::string_view ToString(FailureKind kind);

/// A typed reason, with a detail for people. Code decides by `kind` only.
struct Failure
{
  FailureKind kind = FailureKind::None;
  std::string detail;
};

/// An optional value together with the last reason why it is missing.
template <typename T>
class Result
{
public:
  Result(T value) : m_value(std::move(value)) {}
  Result(Failure reason) : m_reason(std::move(reason)) {}
  Result(FailureKind kind, std::string detail) : m_reason{kind, std::move(detail)} {}

  explicit operator bool() const { return m_value.has_value(); }
  T& operator*() { return *m_value; }
  const T& operator*() const { return *m_value; }
  T* operator->() { return &*m_value; }
  const T* operator->() const { return &*m_value; }
  const std::optional<T>& Value() const { return m_value; }
  const Failure& Reason() const { return m_reason; }

private:
  std::optional<T> m_value;
  Failure m_reason;
};

/// The value of an operation that has nothing else to return.
struct Done
{
};
} // namespace Common
