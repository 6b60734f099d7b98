// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Common/Failure.h"
#include "Common/Units.h"

/// Client accounts: identifies the caller by the key of a request, and defines how much each
/// account may use.
namespace Accounts
{
using AccountName = Common::StrongId<struct AccountNameTag>;

/// The unit in which an account's use is counted.
enum class UsageUnit : std::uint8_t
{
  Requests,
  Tokens, ///< Tokens of the prompt plus the maximum tokens of the response that the request allows.
};

/// How much an account may use over all daemons together.
struct UsageLimit
{
  double rate = 0;  ///< Units per second; 0 for no limit.
  double burst = 0; ///< Units that may be used on top of the rate.
  UsageUnit unit = UsageUnit::Requests;
  double default_cost = 1; ///< Units charged for a request without token counts.

  bool IsLimited() const { return rate > 0; }
  bool operator==(const UsageLimit&) const = default;
};

struct Account
{
  AccountName name;
  std::optional<int> priority; ///< 0 is the most urgent; overrides the route's priority.
  UsageLimit limit;
  /// Regions in which the account's requests may run; empty: in all.
  std::set<Common::RegionId> allowed_regions;
};

/// An account as the operators' configuration declares it.
struct AccountSpec
{
  Account account;
  std::vector<std::string> keys; ///< Secrets. Empty if an operator has revoked all of them.
};

/// All accounts of one version of the configuration, by key. Immutable, so that every request that
/// started under a version can share it. Keys are secrets: no message contains one, and failures
/// name only the account.
class Directory
{
public:
  /// Fails with InvalidInput, naming the account and the field, if an account has no name, if a
  /// name or key is not valid as a header value, if two accounts have the same name or key, or if a
  /// limit is negative or not finite.
  static Common::Result<std::shared_ptr<const Directory>> Build(std::vector<AccountSpec> specs);

  /// Returns the account with `key`, or nullptr. Keys are case-sensitive.
  const Account* Find(std::string_view key) const;
  const std::vector<Account>& All() const { return m_accounts; }

private:
  struct KeyHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view key) const noexcept
    {
      return std::hash<std::string_view>{}(key);
    }
  };

  std::vector<Account> m_accounts;
  /// Maps each key to the index of its account.
  std::unordered_map<std::string, std::size_t, KeyHash, std::equal_to<>> m_by_key;
};

/// Returns the cost of a request in the units of the limit. `token_counts` is the header value
/// "IN,OUT" or nullptr. Counts that are missing, malformed or implausibly large cost as much as a
/// request without counts; no request is free.
double CostOf(const UsageLimit& limit, const std::string* token_counts);

/// Result of identifying the caller by the keys of a request.
enum class Identity : std::uint8_t
{
  NotRequired, ///< No key is required.
  Known,       ///< The key belongs to an account.
  Missing,     ///< A key is required, but the request has none.
  Unknown,     ///< The key belongs to no account.
  Conflicting, ///< The request has different keys.
};

struct Caller
{
  Identity identity = Identity::NotRequired;
  const Account* account = nullptr; ///< Set if the caller is known; valid as long as the directory.
};

/// Identifies the caller. `directory` is nullptr if the configuration has no accounts; `open` is
/// true if the route requires no key.
Caller Identify(const Directory* directory, bool open, std::span<const std::string_view> keys);
} // namespace Accounts
