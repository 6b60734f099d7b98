// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Accounts/Directory.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <utility>

namespace Accounts
{
namespace
{
/// Longer names and keys are mistakes: the header section of a request is limited to some 16 KB.
constexpr std::size_t MAX_NAME_BYTES = 256;
constexpr std::size_t MAX_KEY_BYTES = 4096;

/// True if the text is valid as the whole value of a header: printable ASCII without spaces.
bool IsValidHeaderValue(std::string_view text)
{
  return std::ranges::all_of(text, [](char c) {
    return c > ' ' && c < '\x7f';
  });
}

bool IsValidAmount(double value)
{
  return std::isfinite(value) && value >= 0;
}

/// Returns an error message for the operator about the first invalid field; empty if all are valid.
std::string_view DescribeInvalidField(const AccountSpec& spec)
{
  const std::string& name = spec.account.name.Get();
  const UsageLimit& limit = spec.account.limit;
  if (name.empty())
    return "it has no name";
  if (name.size() > MAX_NAME_BYTES || !IsValidHeaderValue(name))
    return "its name is too long or holds blanks or control characters";
  const bool keys_fit = std::ranges::all_of(spec.keys, [](const std::string& key) {
    return !key.empty() && key.size() <= MAX_KEY_BYTES && IsValidHeaderValue(key);
  });
  if (!keys_fit)
    return "a key is empty, too long or holds blanks or control characters";
  if (!IsValidAmount(limit.rate))
    return "its rate is negative or not a number";
  if (!IsValidAmount(limit.burst))
    return "its burst is negative or not a number";
  if (!IsValidAmount(limit.default_cost))
    return "its cost of a request without token counts is negative or not a number";
  return "";
}

/// More tokens than fit into the memory of any backend server.
constexpr std::int64_t MAX_TOKENS = 100'000'000;

std::optional<std::int64_t> TokenCount(std::string_view text)
{
  while (text.starts_with(' '))
    text.remove_prefix(1);
  while (text.ends_with(' '))
    text.remove_suffix(1);
  std::int64_t count = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  return whole && count >= 0 && count <= MAX_TOKENS ? std::optional(count) : std::nullopt;
}

/// Includes the name only if it is printable.
std::string Describe(std::size_t index, const AccountSpec& spec)
{
  const std::string& name = spec.account.name.Get();
  const bool printable = !name.empty() && name.size() <= MAX_NAME_BYTES && IsValidHeaderValue(name);
  return "account " + std::to_string(index) + (printable ? " (" + name + ")" : "") + ": ";
}
} // namespace

Common::Result<std::shared_ptr<const Directory>> Directory::Build(std::vector<AccountSpec> specs)
{
  auto directory = std::make_shared<Directory>();
  directory->m_accounts.reserve(specs.size());
  std::set<AccountName> names;
  for (std::size_t index = 0; index < specs.size(); ++index)
  {
    AccountSpec& spec = specs[index];
    const auto invalid = [&](std::string_view why) {
      return Common::Failure{Common::FailureKind::InvalidInput,
                             Describe(index, spec) + std::string(why)};
    };
    if (const std::string_view wrong = DescribeInvalidField(spec); !wrong.empty())
      return invalid(wrong);
    if (!names.insert(spec.account.name).second)
      return invalid("another account has its name");
    for (std::string& key : spec.keys)
    {
      const auto [held, is_new] = directory->m_by_key.emplace(std::move(key), index);
      if (!is_new && held->second != index)
        return invalid("another account holds one of its keys");
    }
    directory->m_accounts.push_back(std::move(spec.account));
  }
  return std::shared_ptr<const Directory>(std::move(directory));
}

const Account* Directory::Find(std::string_view key) const
{
  const auto found = m_by_key.find(key);
  return found == m_by_key.end() ? nullptr : &m_accounts[found->second];
}

double CostOf(const UsageLimit& limit, const std::string* token_counts)
{
  if (limit.unit == UsageUnit::Requests)
    return 1;
  const double plain = std::max(limit.default_cost, 1.0);
  if (token_counts == nullptr)
    return plain;
  const std::string_view text = *token_counts;
  const auto comma = std::min(text.find(','), text.size());
  const auto in = TokenCount(text.substr(0, comma));
  const auto out = TokenCount(text.substr(std::min(comma + 1, text.size())));
  return in && out ? std::max(static_cast<double>(*in + *out), 1.0) : plain;
}

Caller Identify(const Directory* directory, bool open, std::span<const std::string_view> keys)
{
  if (directory == nullptr || open)
    return {Identity::NotRequired, nullptr};
  if (keys.empty())
    return {Identity::Missing, nullptr};
  const bool differ = std::ranges::any_of(keys, [&](std::string_view key) {
    return key != keys.front();
  });
  if (differ)
    return {Identity::Conflicting, nullptr};
  const Account* account = directory->Find(keys.front());
  return {account == nullptr ? Identity::Unknown : Identity::Known, account};
}
} // namespace Accounts
