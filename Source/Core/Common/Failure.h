// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Common
{
/// Why an operation returned no value. The kind determines how the caller may react.
enum class FailureKind
{
  None,
  InvalidInput,       ///< Malformed or out of range; the same input never succeeds.
  NotFound,           ///< The named object does not exist.
  Conflict,           ///< A compare-and-set failed, or the state forbids the operation.
  NotSent,            ///< Nothing reached the peer; a retry elsewhere is safe.
  Refused,            ///< The peer rejected the operation without running it.
  Overloaded,         ///< Rejected for lack of capacity; a later retry may succeed.
  DeadlineUnmeetable, ///< The work cannot be finished before its deadline.
  Timeout,            ///< No response in time; the peer may have run it.
  OutcomeUnknown,     ///< The exchange failed after the first byte was sent.
  Unavailable,        ///< The peer is out of service.
  Protocol,           ///< The peer's response violates the protocol.
  Unauthorized,       ///< The credentials are missing or insufficient.
  Stopping,           ///< This process is shutting down and accepts no new work.
};

/// The lower-case name of `kind` in logs and JSON.
std::string_view ToString(FailureKind kind);

/// A failure kind with a human-readable detail. Code must only evaluate `kind`.
struct Failure
{
  FailureKind kind = FailureKind::None;
  std::string detail;
};

/// Either a value or the failure that prevented it.
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

/// The result type of an operation without a return value.
struct Done
{
};
} // namespace Common
