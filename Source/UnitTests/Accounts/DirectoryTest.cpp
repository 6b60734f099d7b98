// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Accounts/Directory.h"

#include <cmath>
#include <limits>

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using namespace Accounts;

AccountSpec Spec(const char* name, std::vector<std::string> keys)
{
  AccountSpec spec;
  spec.account.name = AccountName(name);
  spec.keys = std::move(keys);
  return spec;
}

/// Returns why a directory with these accounts is rejected; empty if it is valid.
std::string BuildError(std::vector<AccountSpec> specs)
{
  const auto directory = Directory::Build(std::move(specs));
  return directory ? "" : directory.Reason().detail;
}

bool Contains(const std::string& error, const std::string& text)
{
  return error.find(text) != std::string::npos;
}

class DirectoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DirectoryTest);
  CPPUNIT_TEST(FindsAccountsByTheirKeys);
  CPPUNIT_TEST(KeysThatDifferInCaseDiffer);
  CPPUNIT_TEST(RejectsAccountsWithoutNameAndEmptyKeys);
  CPPUNIT_TEST(AccountWithoutKeysIsValid);
  CPPUNIT_TEST(RejectsNamesAndKeysThatAreInvalidInHeaders);
  CPPUNIT_TEST(RejectsAKeyOfTwoAccounts);
  CPPUNIT_TEST(RejectsTwoAccountsOfOneName);
  CPPUNIT_TEST(RejectsInvalidLimits);
  CPPUNIT_TEST(ErrorMessagesContainNoKey);
  CPPUNIT_TEST(WithoutAccountsNoKeyIsRequired);
  CPPUNIT_TEST(OpenRouteRequiresNoKey);
  CPPUNIT_TEST(DistinguishesMissingUnknownAndConflictingKeys);
  CPPUNIT_TEST(OneKeyTwiceIsNoConflict);
  CPPUNIT_TEST_SUITE_END();

  void FindsAccountsByTheirKeys()
  {
    const auto directory = Directory::Build({Spec("a", {"k1", "k2"}), Spec("b", {"k3"})});
    CPPUNIT_ASSERT(static_cast<bool>(directory));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), (*directory)->Find("k2")->name.Get());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), (*directory)->Find("k3")->name.Get());
    CPPUNIT_ASSERT((*directory)->Find("k") == nullptr);
    CPPUNIT_ASSERT((*directory)->Find("") == nullptr);
  }

  void KeysThatDifferInCaseDiffer()
  {
    const auto directory = Directory::Build({Spec("a", {"Key"}), Spec("b", {"key"})});
    CPPUNIT_ASSERT(static_cast<bool>(directory));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), (*directory)->Find("Key")->name.Get());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), (*directory)->Find("key")->name.Get());
    CPPUNIT_ASSERT((*directory)->Find("KEY") == nullptr);
  }

  /// Requests with a key that had been revoked more than 3 s before were still served on every VM.
  /// When the operator revoked the last key of an account, the configuration was rejected as if an
  /// account without keys were a mistake, and the previous one, with the key, stayed in force.
  void AccountWithoutKeysIsValid()
  {
    const auto directory = Directory::Build({Spec("a", {}), Spec("b", {"k"})});
    CPPUNIT_ASSERT(static_cast<bool>(directory));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), (*directory)->All().size());
  }

  void RejectsAccountsWithoutNameAndEmptyKeys()
  {
    CPPUNIT_ASSERT(
        Contains(BuildError({Spec("a", {"k"}), Spec("", {"l"})}), "account 1: it has no name"));
    CPPUNIT_ASSERT(Contains(BuildError({Spec("a", {"k", ""})}), "a key is empty"));
  }

  void RejectsNamesAndKeysThatAreInvalidInHeaders()
  {
    CPPUNIT_ASSERT(Contains(BuildError({Spec("a\r\nUrgency: 0", {"k"})}), "account 0: its name"));
    CPPUNIT_ASSERT(Contains(BuildError({Spec("a b", {"k"})}), "its name"));
    CPPUNIT_ASSERT(Contains(BuildError({Spec("a", {"k\n"})}), "control characters"));
    CPPUNIT_ASSERT(Contains(BuildError({Spec("a", {std::string(65536, 'k')})}), "too long"));
  }

  void RejectsAKeyOfTwoAccounts()
  {
    CPPUNIT_ASSERT(Contains(BuildError({Spec("a", {"k"}), Spec("b", {"l", "k"})}),
                            "account 1 (b): another account holds one of its keys"));
    CPPUNIT_ASSERT_EQUAL(std::string(), BuildError({Spec("a", {"k", "k"})}));
  }

  void RejectsTwoAccountsOfOneName()
  {
    CPPUNIT_ASSERT(
        Contains(BuildError({Spec("a", {"k"}), Spec("a", {"l"})}), "another account has"));
  }

  void RejectsInvalidLimits()
  {
    AccountSpec negative = Spec("a", {"k"});
    negative.account.limit.rate = -1;
    CPPUNIT_ASSERT(Contains(BuildError({negative}), "its rate"));
    AccountSpec endless = Spec("a", {"k"});
    endless.account.limit.burst = std::numeric_limits<double>::infinity();
    CPPUNIT_ASSERT(Contains(BuildError({endless}), "its burst"));
    AccountSpec undefined = Spec("a", {"k"});
    undefined.account.limit.default_cost = std::nan("");
    CPPUNIT_ASSERT(Contains(BuildError({undefined}), "its cost"));
  }

  void ErrorMessagesContainNoKey()
  {
    const std::string secret = "hidden-secret";
    CPPUNIT_ASSERT(!Contains(BuildError({Spec("a", {secret}), Spec("b", {secret})}), secret));
    CPPUNIT_ASSERT(!Contains(BuildError({Spec("a", {secret + "\n"})}), secret));
    CPPUNIT_ASSERT(!Contains(BuildError({Spec("", {secret})}), secret));
  }

  void WithoutAccountsNoKeyIsRequired()
  {
    CPPUNIT_ASSERT(Identify(nullptr, false, {}).identity == Identity::NotRequired);
  }

  void OpenRouteRequiresNoKey()
  {
    const auto directory = Directory::Build({Spec("a", {"k"})});
    const std::vector<std::string_view> keys = {"x"};
    const Caller caller = Identify(directory->get(), true, keys);
    CPPUNIT_ASSERT(caller.identity == Identity::NotRequired);
    CPPUNIT_ASSERT(caller.account == nullptr);
  }

  void DistinguishesMissingUnknownAndConflictingKeys()
  {
    const auto directory = Directory::Build({Spec("a", {"k", "l"})});
    const auto identify = [&](const std::vector<std::string_view>& keys) {
      return Identify(directory->get(), false, keys).identity;
    };
    CPPUNIT_ASSERT(identify({}) == Identity::Missing);
    CPPUNIT_ASSERT(identify({"x"}) == Identity::Unknown);
    CPPUNIT_ASSERT(identify({"k"}) == Identity::Known);
    // Conflicting keys are never resolved by a guess, even if one account has both.
    CPPUNIT_ASSERT(identify({"k", "l"}) == Identity::Conflicting);
    CPPUNIT_ASSERT(identify({"k", "x"}) == Identity::Conflicting);
  }

  void OneKeyTwiceIsNoConflict()
  {
    const auto directory = Directory::Build({Spec("a", {"k"})});
    const std::vector<std::string_view> keys = {"k", "k"};
    CPPUNIT_ASSERT(Identify(directory->get(), false, keys).identity == Identity::Known);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryTest);
} // namespace
