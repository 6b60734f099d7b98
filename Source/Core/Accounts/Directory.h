// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Common/Failure.h"
#include "Common/Units.h"

/// Client accounts: who calls, by the key that a request carries, and what each may use.
namespace Accounts
{
using AccountName = Common::StrongId<struct AccountNameTag>;

/// What an account's use is counted in.
enum class UsageUnit : std::uint8_t
{
  Requests,
  Tokens, ///< Of the prompt and of the longest answer that the request allows.
};

/// How much an account may use over all daemons together.
struct UsageLimit
{
  double rate = 0;  ///< Units a second; 0: no limit.
  double burst = 0; ///< Units on top.
  UsageUnit unit = UsageUnit::Requests;
  double plain_cost = 1; ///< Units that a request without token counts costs.

  bool IsLimited() const { return rate > 0; }
  bool operator==(const UsageLimit&) const = default;
};

struct Account
{
  AccountName name;
  std::optional<int> priority; ///< 0 is the most urgent; goes before the route's.
  UsageLimit limit;
};

/// An account as the operators' configuration declares it.
struct AccountSpec
{
  Account account;
  std::vector<std::string> keys; ///< Secrets. None where an operator has taken away all.
};

/// All accounts of one version of the configuration, by key. Never changes once it is built, so
/// that every request that began under a version may share it. Keys are secrets: nothing here
/// prints one, and failures name the account only.
class Directory
{
public:
  /// Fails with InvalidInput, naming the account and the field, where an account has no name, where
  /// a name or key could not stand in a header, where two accounts hold one key, or where a limit
  /// is negative or not finite.
  static Common::Result<std::shared_ptr<const Directory>> Build(std::vector<AccountSpec> specs);

  /// The account that holds `key`, or nullptr. Keys that differ in case differ.
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
  /// The position of the account that holds a key.
  std::unordered_map<std::string, std::size_t, KeyHash, std::equal_to<>> m_by_key;
};

/// What a request costs in the units of the limit. `token_counts` is the header "IN,OUT" or
/// nullptr. Counts that are missing, no numbers or absurdly large cost as much as a request without
/// them; no request is free.
double CostOf(const UsageLimit& limit, const std::string* token_counts);

/// What the keys of one request say of its caller.
enum class Identity : std::uint8_t
{
  NotAsked,    ///< No key is asked for.
  Known,       ///< An account holds the key.
  Missing,     ///< A key is asked for and there is none.
  Unknown,     ///< No account holds the key.
  Conflicting, ///< The request carries keys that differ.
};

struct Caller
{
  Identity identity = Identity::NotAsked;
  const Account* account = nullptr; ///< Where it is known; lives as long as the directory.
};

/// Who calls. `directory` is nullptr where the configuration has no accounts; `open` where the
/// route is open to all.
Caller Identify(const Directory* directory, bool open, std::span<const std::string_view> keys);
} // namespace Accounts
