// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Decoding of the platform's settings, configuration, entries and reports, and typed failures for
// malformed input.

#include "platform/Decode.h"

#include <cppunit/extensions/HelperMacros.h>

namespace
{
using namespace PlatformAdapter;

constexpr const char* SETTINGS =
    R"({"nodeName":"front-1","zone":"hall","portRange":[7380,7395],"heartbeatMs":1200,
  "listen":{"front":"10.1.0.38:8149","ready":"10.1.0.38:8141"},"limits":{"cpuShare":0.25,"linkMbps":1000.0},
  "bounds":{"graceS":8,"leaseMs":3000,"retryBudgetRatio":0.2,"budgetWindowS":10,"budgetSlack":52,"ceilingWindowS":5},
  "platform":{"address":"10.200.1.7:8142"},"something":"new"})";

class DecodeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DecodeTest);
  CPPUNIT_TEST(ReadsSettings);
  CPPUNIT_TEST(RejectsIncompleteSettings);
  CPPUNIT_TEST(ErrorNamesAllInvalidSettings);
  CPPUNIT_TEST(MissingSettingsHaveDefaults);
  CPPUNIT_TEST(ReadsConfiguration);
  CPPUNIT_TEST(RejectsUnknownKindOfRoute);
  CPPUNIT_TEST(ReadsAllowedRegions);
  CPPUNIT_TEST(RejectsAllowedRegionsThatAreNotKnown);
  CPPUNIT_TEST(ReadsRateOfColdServers);
  CPPUNIT_TEST(ReadsEvacuationKeys);
  CPPUNIT_TEST(ReadsRegionsOfDataCentres);
  CPPUNIT_TEST(ReadsServerEntry);
  CPPUNIT_TEST(RejectsEntryWithoutAddress);
  CPPUNIT_TEST(RejectsEntryWithAnyInvalidField);
  CPPUNIT_TEST(MissingEntryFieldsHaveDefaults);
  CPPUNIT_TEST(RejectsReportWithoutIntegers);
  CPPUNIT_TEST(ReadsReport);
  CPPUNIT_TEST(MalformedInputDoesNotCrash);
  CPPUNIT_TEST_SUITE_END();

  void ReadsSettings()
  {
    const auto settings = DecodeSettings(SETTINGS);
    CPPUNIT_ASSERT(static_cast<bool>(settings));
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.38:7380"), settings->peers.ToString());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(8000),
                         static_cast<std::int64_t>(settings->stop_grace.count()));
    CPPUNIT_ASSERT_EQUAL(52.0, settings->retry_slack);
    CPPUNIT_ASSERT_EQUAL(0.25, settings->cores);
  }

  void RejectsIncompleteSettings()
  {
    const auto settings = DecodeSettings(R"({"nodeName":"x"})");
    CPPUNIT_ASSERT(!settings);
    CPPUNIT_ASSERT(settings.Reason().detail.find("listen.front") != std::string::npos);
    CPPUNIT_ASSERT(!DecodeSettings("not json"));
  }

  void ErrorNamesAllInvalidSettings()
  {
    const auto settings = DecodeSettings(
        R"({"nodeName":"x","zone":7,"portRange":[70000],"listen":{"front":"here","ready":"1.2.3.4:5"},)"
        R"("bounds":{"leaseMs":-1,"retryBudgetRatio":"much"},"limits":{"cpuShare":0}})");
    CPPUNIT_ASSERT(!settings);
    const std::string& problems = settings.Reason().detail;
    for (const char* expected :
         {"zone: expected a string, found 7", "listen.front: expected IP:PORT, found \"here\"",
          "platform.address: expected IP:PORT, found nothing",
          "portRange.0: expected port between 1.0 and 65535.0, found 70000",
          "bounds.leaseMs: expected ms between 0.0", "bounds.retryBudgetRatio: expected number",
          "limits.cpuShare: expected cores between 0.001"})
      CPPUNIT_ASSERT_MESSAGE(expected, problems.find(expected) != std::string::npos);
    CPPUNIT_ASSERT(problems.find("listen.ready") == std::string::npos);
  }

  void MissingSettingsHaveDefaults()
  {
    const auto settings = DecodeSettings(
        R"({"nodeName":"x","zone":"z","portRange":[7000],"listen":{"front":"1.2.3.4:5","ready":"1.2.3.4:6"},)"
        R"("platform":{"address":"1.2.3.4:7"},"unknown":{"field":[]}})");
    CPPUNIT_ASSERT(static_cast<bool>(settings));
    CPPUNIT_ASSERT(settings->holder_pause == Common::Milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(0.2, settings->retry_ratio);
  }

  void ReadsConfiguration()
  {
    const auto configuration = DecodeConfiguration(R"({"version":7,"routes":[
      {"name":"r","host":"h","pathPrefix":"/p/","kind":"streaming","timeoutMs":25000,"targetLatencyMs":2500,
       "priority":1,"trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}],"maxAttempts":2,
       "sticky":true,"resumable":true,"gapAimMs":300}],
      "services":[{"name":"s","healthPath":"/health","maxConns":360,"engine":{"slots":64,"weightsMb":230000.0,
       "adapterSlots":8,"loadsPerS":3.1,"models":[{"name":"m","weightsMb":72700.0,"loadS":6.0,"adapters":28,
       "adapterMb":66.0,"warmS":0.47,"diskS":0.84}]}}],
      "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":300,"idleTimeoutMs":400}})");
    CPPUNIT_ASSERT(static_cast<bool>(configuration));
    const Gateway::Configuration& value = **configuration;
    CPPUNIT_ASSERT_EQUAL(std::int64_t(7), value.version);
    const Gateway::Route& route = value.routes.at(0);
    CPPUNIT_ASSERT(route.repeatability == Gateway::Repeatability::Streaming);
    CPPUNIT_ASSERT(route.IsRepeatable() && route.uses_model);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), route.pools.size());
    const Gateway::ModelServerSpec& engine = *value.pools.at(Gateway::PoolId("s")).model_server;
    CPPUNIT_ASSERT_EQUAL(230000.0, engine.memory_mb);
    const Gateway::ModelSpec& model = engine.models.at(Gateway::ModelId("m"));
    CPPUNIT_ASSERT_EQUAL(72700.0, model.memory_mb);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(840),
                         static_cast<std::int64_t>(model.load_from_disk.count()));
    CPPUNIT_ASSERT_EQUAL(std::size_t(200), value.limits.body_bytes);
  }

  static std::string WithRegions(const std::string& route_field, const std::string& account_field)
  {
    return R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","kind":"idempotent","service":"s")" +
           route_field + R"(}],"services":[],"tenants":[{"name":"a","apiKeys":["k"])" +
           account_field + "}]}";
  }

  void ReadsAllowedRegions()
  {
    const std::set<Common::RegionId> known{Common::RegionId("north"), Common::RegionId("south")};
    const auto configuration = DecodeConfiguration(
        WithRegions(R"(,"allowedRegions":["north"])", R"(,"allowedRegions":["south","north"])"),
        known);
    CPPUNIT_ASSERT(static_cast<bool>(configuration));
    const std::set<Common::RegionId> expected{Common::RegionId("north")};
    CPPUNIT_ASSERT((*configuration)->routes.at(0).allowed_regions == expected);
    CPPUNIT_ASSERT((*configuration)->accounts->Find("k")->allowed_regions == known);
    const auto unrestricted =
        DecodeConfiguration(WithRegions(R"(,"allowedRegions":[])", ""), known);
    CPPUNIT_ASSERT((*unrestricted)->routes.at(0).allowed_regions.empty());
  }

  void RejectsAllowedRegionsThatAreNotKnown()
  {
    const std::set<Common::RegionId> known{Common::RegionId("north")};
    for (const char* value : {R"(["east"])", R"("north")", "[7]", "{}", "7"})
    {
      const std::string field = std::string(",\"allowedRegions\":") + value;
      const auto in_route = DecodeConfiguration(WithRegions(field, ""), known);
      CPPUNIT_ASSERT_MESSAGE(value, !in_route);
      CPPUNIT_ASSERT(in_route.Reason().detail.find("allowedRegions") != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(value, !DecodeConfiguration(WithRegions("", field), known));
    }
  }

  void ReadsRateOfColdServers()
  {
    const auto configuration = DecodeConfiguration(
        R"({"version":7,"routes":[],"services":[{"name":"s","coldPerS":6.9,"coldS":3.0},{"name":"t"}]})");
    CPPUNIT_ASSERT(static_cast<bool>(configuration));
    const Gateway::Pool& pool = (*configuration)->pools.at(Gateway::PoolId("s"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(6900), pool.cold_rate->Get());
    CPPUNIT_ASSERT(pool.cold_period == Common::Milliseconds(3000));
    CPPUNIT_ASSERT(!(*configuration)->pools.at(Gateway::PoolId("t")).cold_rate);
  }

  void ReadsEvacuationKeys()
  {
    CPPUNIT_ASSERT(DecodeEvacuationKey("evacuate/hall") == Common::DataCentreId("hall"));
    for (const char* key : {"evacuate/", "evacuate", "config", "x/evacuate/hall", ""})
      CPPUNIT_ASSERT_MESSAGE(key, !DecodeEvacuationKey(key));
  }

  void ReadsRegionsOfDataCentres()
  {
    const std::string text(SETTINGS);
    const auto settings =
        DecodeSettings(text.substr(0, text.size() - 1) + R"(,"zones":{"hall":"north"}})");
    CPPUNIT_ASSERT(static_cast<bool>(settings));
    CPPUNIT_ASSERT(settings->regions.at(Common::DataCentreId("hall")) == Common::RegionId("north"));
    CPPUNIT_ASSERT(!DecodeSettings(text.substr(0, text.size() - 1) + R"(,"zones":{"hall":7}})"));
  }

  void RejectsUnknownKindOfRoute()
  {
    CPPUNIT_ASSERT(!DecodeConfiguration(
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"odd"}],"services":[]})"));
    CPPUNIT_ASSERT(!DecodeConfiguration(R"({"version":7})"));
  }

  void ReadsServerEntry()
  {
    const auto entry =
        DecodeServerEntry("i-1", R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":64,
      "state":"draining","coldLeftMs":5,"models":[{"name":"m","version":1,"adapters":["a1"]}],
      "atHand":{"inMemory":["k"],"onDisk":["m","k"]},"seq":4})");
    CPPUNIT_ASSERT(static_cast<bool>(entry));
    CPPUNIT_ASSERT(entry->draining);
    CPPUNIT_ASSERT_EQUAL(std::string("a1"), entry->models.at(0).adapters.at(0).Get());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry->on_disk.size());
  }

  void RejectsEntryWithoutAddress()
  {
    CPPUNIT_ASSERT(!DecodeServerEntry("i-1", R"({"service":"s"})"));
    CPPUNIT_ASSERT(!DecodeServerEntry("i-1", R"({"service":"s","address":"host:80"})"));
    CPPUNIT_ASSERT(!DecodeServerEntry("i-1", "[]"));
  }

  /// Regression: requests were sent to addresses that no server had written, because the decoder
  /// took a missing state as ready, a missing service as an empty name, and slots of another type
  /// as 1.
  void RejectsEntryWithAnyInvalidField()
  {
    const std::string valid =
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":64,"state":"ready",)"
        R"("coldLeftMs":0,"models":[{"name":"m","version":1,"adapters":["a1"]}],)"
        R"("atHand":{"inMemory":["k"],"onDisk":["m"]},"seq":4,"born":1700000000000})";
    CPPUNIT_ASSERT(static_cast<bool>(DecodeServerEntry("i-1", valid)));
    struct Case
    {
      const char* part;
      const char* instead;
      EntryField expected;
    };
    const Case cases[] = {
        {R"("service":"s",)", "", EntryField::Service},
        {R"("service":"s")", R"("service":7)", EntryField::Service},
        {R"("service":"s")", R"("service":"")", EntryField::Service},
        {R"("address":"10.0.0.9:80",)", "", EntryField::Address},
        {R"("10.0.0.9:80")", R"(["10.0.0.9:80"])", EntryField::Address},
        {R"("10.0.0.9:80")", R"("10.0.0.9:99999")", EntryField::Address},
        {R"("zone":"z",)", "", EntryField::Zone},
        {R"("slots":64,)", "", EntryField::Slots},
        {R"("slots":64)", R"("slots":"64")", EntryField::Slots},
        {R"("slots":64)", R"("slots":0)", EntryField::Slots},
        {R"("slots":64)", R"("slots":6.5)", EntryField::Slots},
        {R"("slots":64)", R"("slots":1e300)", EntryField::Slots},
        {R"("state":"ready",)", "", EntryField::State},
        {R"("state":"ready")", R"("state":"asleep")", EntryField::State},
        {R"("state":"ready")", R"("state":true)", EntryField::State},
        {R"("born":1700000000000)", R"("born":"1700000000000")", EntryField::Start},
        {R"("born":1700000000000)", R"("born":1.5)", EntryField::Start},
        {R"("born":1700000000000)", R"("born":-1)", EntryField::Start},
        {R"("born":1700000000000)", R"("born":18446744073709551615)", EntryField::Start},
        {R"("seq":4)", R"("seq":"4")", EntryField::Sequence},
        {R"("version":"v1")", R"("version":{})", EntryField::Version},
        {R"("coldLeftMs":0)", R"("coldLeftMs":"soon")", EntryField::WarmingUp},
        {R"("coldLeftMs":0)", R"("coldLeftMs":-1)", EntryField::WarmingUp},
        {R"([{"name":"m","version":1,"adapters":["a1"]}])", R"({"name":"m"})", EntryField::Models},
        {R"("name":"m")", R"("name":3)", EntryField::Models},
        {R"(["a1"])", R"([1])", EntryField::Models},
        {R"({"inMemory":["k"],"onDisk":["m"]})", R"(["k"])", EntryField::Copies},
        {R"(["k"])", R"("k")", EntryField::Copies},
    };
    for (const Case& item : cases)
    {
      std::string text = valid;
      text.replace(text.find(item.part), std::string(item.part).size(), item.instead);
      const auto entry = DecodeServerEntry("i-1", text);
      CPPUNIT_ASSERT_MESSAGE(text, !entry);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string(ToString(item.expected)),
                                   std::string(ToString(entry.InvalidField())));
    }
    for (const char* text : {"", "null", "3", "[]", "\xff\xfe", "{\"service\":\"s\""})
      CPPUNIT_ASSERT(DecodeServerEntry("i-1", text).InvalidField() == EntryField::Body);
  }

  void MissingEntryFieldsHaveDefaults()
  {
    const auto entry = DecodeServerEntry(
        "i-1", R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":6,"state":"ready"})");
    CPPUNIT_ASSERT(static_cast<bool>(entry));
    CPPUNIT_ASSERT(entry->models.empty() && entry->on_disk.empty() && !entry->draining);
    CPPUNIT_ASSERT(entry->warming_up == Common::Milliseconds(0));
    CPPUNIT_ASSERT(entry->instance.Started() == Gateway::ServerStart());
  }

  void RejectsReportWithoutIntegers()
  {
    CPPUNIT_ASSERT(static_cast<bool>(DecodeReport(R"({"seq":2,"born":5})")));
    for (const char* text :
         {R"({"seq":1e300})", R"({"seq":"2"})", R"({"seq":18446744073709551615})",
          R"({"seq":2,"born":"5"})", R"({"seq":2,"born":0.5})", "[2]"})
      CPPUNIT_ASSERT_MESSAGE(text, !DecodeReport(text));
  }

  void ReadsReport()
  {
    const auto report =
        DecodeReport(R"({"stage":"combined","models":[{"name":"m","version":1,"adapters":["a"]}],
      "busy":true,"seq":2,"coming":["m/a7@1"]})");
    CPPUNIT_ASSERT(static_cast<bool>(report));
    CPPUNIT_ASSERT(report->busy);
    CPPUNIT_ASSERT_EQUAL(std::string("m/a7"), report->loading_adapters.at(0).ToString());
    CPPUNIT_ASSERT(!DecodeReport("{}"));
  }

  void MalformedInputDoesNotCrash()
  {
    const std::string whole = SETTINGS;
    for (std::size_t length = 0; length < whole.size(); ++length)
      (void)DecodeSettings(whole.substr(0, length));
    for (const char* text :
         {"null", "[]", "3", "{\"version\":\"x\"}", "{\"version\":1,\"routes\":3,\"services\":{}}"})
    {
      (void)DecodeConfiguration(text);
      (void)DecodeServerEntry("i", text);
      (void)DecodeReport(text);
      (void)DecodeSettings(text);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecodeTest);
} // namespace
