// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "platform/DecodeAccounts.h"

#include <cppunit/extensions/HelperMacros.h>

#include "platform/Decode.h"

namespace
{
using namespace PlatformAdapter;

/// The error message for this list; empty if it is accepted.
std::string ErrorFor(const char* list)
{
  const auto accounts = DecodeAccounts(*Common::ParseJson(list));
  return accounts ? "" : accounts.Reason().detail;
}

std::string ConfigurationWith(const std::string& accounts)
{
  return R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","kind":"idempotent",)"
         R"("service":"s","public":true}],"services":[{"name":"s"}])" +
         accounts + "}";
}

class DecodeAccountsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DecodeAccountsTest);
  CPPUNIT_TEST(ReadsAccounts);
  CPPUNIT_TEST(MissingOptionalFieldsHaveDefaults);
  CPPUNIT_TEST(ErrorNamesTheInvalidField);
  CPPUNIT_TEST(ConfigurationWithoutAccountsRequiresNoKey);
  CPPUNIT_TEST(InvalidAccountRejectsTheConfiguration);
  CPPUNIT_TEST(EmptyAccountListAcceptsNoKey);
  CPPUNIT_TEST(ReadsTheLimitForRevokedKeys);
  CPPUNIT_TEST_SUITE_END();

  void ReadsAccounts()
  {
    const auto accounts = DecodeAccounts(*Common::ParseJson(
        R"([{"name":"a","apiKeys":["k","l"],"priority":1,"unit":"tokens","plainTokens":200,)"
        R"("ratePerS":273068,"burst":1000.5,"something":"new"}])"));
    CPPUNIT_ASSERT(static_cast<bool>(accounts));
    const Accounts::Account& account = *(*accounts)->Find("l");
    CPPUNIT_ASSERT_EQUAL(std::string("a"), account.name.Get());
    CPPUNIT_ASSERT_EQUAL(1, account.priority.value());
    CPPUNIT_ASSERT(account.limit ==
                   (Accounts::UsageLimit{273068, 1000.5, Accounts::UsageUnit::Tokens, 200}));
  }

  void MissingOptionalFieldsHaveDefaults()
  {
    const auto accounts =
        DecodeAccounts(*Common::ParseJson(R"([{"name":"a","apiKeys":["k"],"burst":null}])"));
    CPPUNIT_ASSERT(static_cast<bool>(accounts));
    const Accounts::Account& account = *(*accounts)->Find("k");
    CPPUNIT_ASSERT(!account.priority);
    CPPUNIT_ASSERT(!account.limit.IsLimited());
    CPPUNIT_ASSERT(account.limit.unit == Accounts::UsageUnit::Requests);
  }

  void ErrorNamesTheInvalidField()
  {
    const std::pair<const char*, const char*> cases[] = {
        {R"({})", "the accounts are not an array"},
        {R"([7])", "account 0: name: expected a string"},
        {R"([{"apiKeys":["k"]}])", "account 0: name"},
        {R"([{"name":"a"}])", "account 0: apiKeys: expected an array of strings"},
        {R"([{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["l",7]}])", "account 1: apiKeys"},
        {R"([{"name":"a","apiKeys":"k"}])", "account 0: apiKeys"},
        {R"([{"name":"a","apiKeys":["k"],"ratePerS":"much"}])", "account 0: ratePerS"},
        {R"([{"name":"a","apiKeys":["k"],"ratePerS":-1}])", "account 0 (a): its rate"},
        {R"([{"name":"a","apiKeys":["k"],"priority":1.5}])", "account 0: priority"},
        {R"([{"name":"a","apiKeys":["k"],"priority":-1}])", "account 0: priority"},
        {R"([{"name":"a","apiKeys":["k"],"unit":"litres"}])", "account 0: unit"},
        {R"([{"name":"a\r\nb","apiKeys":["k"]}])", "account 0: its name"},
        {R"([{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["k"]}])", "account 1 (b)"},
    };
    for (const auto& [list, expected] : cases)
      CPPUNIT_ASSERT_MESSAGE(list, ErrorFor(list).starts_with(expected));
  }

  void ConfigurationWithoutAccountsRequiresNoKey()
  {
    const auto configuration = DecodeConfiguration(ConfigurationWith(""));
    CPPUNIT_ASSERT(static_cast<bool>(configuration));
    CPPUNIT_ASSERT((*configuration)->accounts == nullptr);
    CPPUNIT_ASSERT((*configuration)->routes.at(0).open_to_all);
  }

  void InvalidAccountRejectsTheConfiguration()
  {
    CPPUNIT_ASSERT(!DecodeConfiguration(ConfigurationWith(R"(,"tenants":[{"name":"a"}])")));
    CPPUNIT_ASSERT(!DecodeConfiguration(ConfigurationWith(R"(,"tenants":null)")));
  }

  /// An empty list differs from a missing one: without a list no key is required, with an empty
  /// list no key is accepted.
  void EmptyAccountListAcceptsNoKey()
  {
    const auto configuration = DecodeConfiguration(ConfigurationWith(R"(,"tenants":[])"));
    CPPUNIT_ASSERT(static_cast<bool>(configuration));
    CPPUNIT_ASSERT((*configuration)->accounts != nullptr);
  }

  void ReadsTheLimitForRevokedKeys()
  {
    const std::string begin =
        R"({"nodeName":"x","zone":"z","portRange":[7000],"listen":{"front":"1.2.3.4:5",)"
        R"("ready":"1.2.3.4:6"},"platform":{"address":"1.2.3.4:7"},"bounds":{)";
    CPPUNIT_ASSERT(DecodeSettings(begin + R"("strictRevoke":true,"revokeMs":4000}})")->key_limit ==
                   Common::Milliseconds(4000));
    CPPUNIT_ASSERT(!DecodeSettings(begin + R"("strictRevoke":false,"revokeMs":4000}})")->key_limit);
    CPPUNIT_ASSERT(!DecodeSettings(begin + R"("revokeMs":4000}})")->key_limit);
    CPPUNIT_ASSERT(!DecodeSettings(begin + R"("strictRevoke":"yes"}})"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DecodeAccountsTest);
} // namespace
