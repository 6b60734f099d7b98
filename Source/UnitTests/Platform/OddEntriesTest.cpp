// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Rows that no sound writer would write: nested without end, with numbers beyond any type, with
// ports that do not exist. One of them must cost neither the process nor another row.

#include <array>
#include <functional>
#include <limits>

#include <cppunit/extensions/HelperMacros.h>
#include <pthread.h>

#include "Common/Json.h"
#include "Crashes/CrashCase.h"
#include "Daemons/Codec.h"
#include "Fleet/TableFollower.h"
#include "Orders/CrashArchive.h"
#include "UnitTests/Support/Loopback.h"
#include "platform/Decode.h"
#include "platform/DecodeEntry.h"
#include "platform/OrderClient.h"
#include "platform/StoreClient.h"

namespace
{
using namespace PlatformAdapter;
using Common::Milliseconds;
using UnitTests::RunUntil;
using UnitTests::TestPeer;
using UnitTests::TestServer;

constexpr std::size_t LEVELS = 300'000;
constexpr std::size_t LONG_TEXT = 1'000'000;

std::string Repeat(std::string_view text, std::size_t times)
{
  std::string result;
  result.reserve(text.size() * times);
  for (std::size_t i = 0; i < times; ++i)
    result += text;
  return result;
}

std::string DeepArray()
{
  return Repeat("[", LEVELS) + Repeat("]", LEVELS);
}

std::string DeepObject()
{
  return Repeat("{\"a\":", LEVELS) + "1" + Repeat("}", LEVELS);
}

/// JSON values that are of the wrong type, or out of range, for almost every field.
std::vector<std::string> OddValues()
{
  return {"null",
          "true",
          "false",
          "\"\"",
          "\"x\"",
          "\"NaN\"",
          "[]",
          "{}",
          "[[]]",
          "[null]",
          "[{}]",
          "[7]",
          "[\"\"]",
          "0",
          "-0.0",
          "-1",
          "1.5",
          "1e300",
          "-1e300",
          "1e19",
          "1e-300",
          "18446744073709551616",
          "18446744073709551615",
          "9223372036854775808",
          "9223372036854775807",
          "-9223372036854775808",
          "-9223372036854775809",
          "4294967296",
          "2147483648",
          "-2147483649",
          "\"" + std::string(LONG_TEXT, 'x') + "\"",
          R"("\u0000\uffff")",
          DeepArray(),
          DeepObject()};
}

/// Texts that are not JSON.
std::vector<std::string> OddTexts()
{
  return {"",
          "not json",
          "{",
          "\xff\xfe",
          "{\"address\":\"\xc3\x28\"}",
          R"({"seq":1e400})",
          R"({"seq":-1e400})",
          R"({"seq":NaN})",
          R"({"seq":Infinity})",
          R"({"version":"\ud800"})",
          std::string("\0\0\0", 3),
          std::string(LONG_TEXT, '{'),
          std::string(LONG_TEXT, '['),
          Repeat("{\"a\":", LEVELS),
          DeepArray(),
          DeepObject()};
}

/// Calls `function` on a thread whose stack is a fraction of that of the main thread.
void OnSmallStack(std::function<void()> function)
{
  constexpr std::size_t STACK_BYTES = 256 * 1024;
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, STACK_BYTES);
  pthread_t thread{};
  const auto start = [](void* argument) -> void* {
    (*static_cast<std::function<void()>*>(argument))();
    return nullptr;
  };
  CPPUNIT_ASSERT_EQUAL(0, pthread_create(&thread, &attributes, start, &function));
  pthread_join(thread, nullptr);
  pthread_attr_destroy(&attributes);
}

/// `base`, an object, with each of its members in turn, at any level, replaced by each odd value.
void ForEachOddVariant(const std::string& base,
                       const std::function<void(const std::string&)>& check)
{
  const std::string mark = "\"ODD\"";
  const Common::Json flat = Common::Json::parse(base).flatten();
  std::set<std::string> paths;
  for (const auto& member : flat.items())
    for (std::size_t end = member.key().size(); end != std::string::npos && end > 0;
         end = member.key().rfind('/', end - 1))
      paths.insert(member.key().substr(0, end));
  for (const std::string& path : paths)
  {
    Common::Json changed = Common::Json::parse(base);
    changed[Common::Json::json_pointer(path)] = "ODD";
    const std::string text = changed.dump();
    const auto at = text.find(mark);
    for (const std::string& value : OddValues())
      check(text.substr(0, at) + value + text.substr(at + mark.size()));
  }
}

constexpr const char* ENTRY =
    R"({"address":"10.1.0.7:8000","service":"s","zone":"z","slots":8,"state":"ready","born":7,
    "seq":3,"version":"v1","coldLeftMs":100,"models":[{"name":"m","adapters":["a1"]}],
    "atHand":{"inMemory":["m"],"onDisk":["m"]}})";

constexpr const char* CONFIGURATION = R"({"version":7,"routes":[
    {"name":"r","host":"h","pathPrefix":"/p/","kind":"streaming","timeoutMs":25000,
     "targetLatencyMs":2500,"priority":1,"service":"s",
     "trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}],"maxAttempts":2,
     "sticky":true,"resumable":true,"public":false,"gapAimMs":300,"allowedRegions":["north"]}],
    "services":[{"name":"s","healthPath":"/health","maxConns":360,"coldPerS":2.5,"coldS":9,
     "engine":{"slots":64,"weightsMb":230000.0,"adapterSlots":8,"loadsPerS":3.1,
     "models":[{"name":"m","weightsMb":72700.0,"loadS":6.0,"adapters":28,"adapterMb":66.0,
      "warmS":0.47,"diskS":0.84}]}}],
    "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":300,"idleTimeoutMs":400},
    "tenants":[{"name":"a","apiKeys":["k"],"priority":1,"ratePerS":5,"burst":7,"unit":"tokens",
     "plainTokens":3,"allowedRegions":["north"]}]})";

constexpr const char* SETTINGS =
    R"({"nodeName":"front-1","zone":"hall","portRange":[7380,7395],
    "listen":{"front":"10.1.0.38:8149","ready":"10.1.0.38:8141"},
    "limits":{"cpuShare":0.25,"linkMbps":1000.0},"zones":{"hall":"north"},
    "bounds":{"graceS":8,"leaseMs":3000,"retryBudgetRatio":0.2,"budgetWindowS":10,"budgetSlack":52,
     "ceilingWindowS":5,"strictRevoke":true,"revokeMs":500,"drainMs":100,"quotaWindowS":5},
    "platform":{"address":"10.200.1.7:8142"}})";

constexpr const char* REPORT =
    R"({"seq":4,"born":9,"busy":false,"models":[{"name":"m","version":1,"adapters":["a1"]}],
    "coming":["m/a2@1"]})";

bool IsDuration(Milliseconds span)
{
  return span >= Milliseconds(0) && span <= std::chrono::hours(24 * 366);
}

void CheckRoute(const Gateway::Route& route)
{
  CPPUNIT_ASSERT(IsDuration(route.timeout));
  CPPUNIT_ASSERT(IsDuration(route.latency_target));
  CPPUNIT_ASSERT(IsDuration(route.gap_target));
  std::int64_t total = 0;
  for (const auto& pool : route.pools)
    CPPUNIT_ASSERT(!__builtin_add_overflow(total, pool.weight, &total));
}

void CheckPool(const Gateway::Pool& pool)
{
  CPPUNIT_ASSERT(IsDuration(pool.cold_period));
  if (!pool.model_server)
    return;
  for (const auto& [id, model] : pool.model_server->models)
  {
    CPPUNIT_ASSERT(IsDuration(model.load_from_store));
    CPPUNIT_ASSERT(IsDuration(model.load_from_disk));
    CPPUNIT_ASSERT(IsDuration(model.load_from_host_memory));
  }
}

void CheckConfiguration(const std::string& text)
{
  const std::set<Common::RegionId> known{Common::RegionId("north")};
  const auto decoded = DecodeConfiguration(text, known);
  if (!decoded)
    return;
  const Gateway::Configuration& configuration = **decoded;
  std::ranges::for_each(configuration.routes, CheckRoute);
  for (const auto& [id, pool] : configuration.pools)
    CheckPool(pool);
  CPPUNIT_ASSERT(IsDuration(configuration.limits.header_timeout));
  CPPUNIT_ASSERT(IsDuration(configuration.limits.idle_timeout));
}

std::string Base64(const std::string& bytes)
{
  gchar* text = g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()), bytes.size());
  std::string result(text);
  g_free(text);
  return result;
}

std::string Row(const std::string& key, int version, const std::string& value)
{
  return R"({"key":")" + key + R"(","ver":)" + std::to_string(version) + R"(,"value":")" +
         Base64(value) + R"("})";
}

/// Rows as they may stand in a response, each beside two sound ones.
std::vector<std::string> OddRows()
{
  std::vector<std::string> rows{"null",
                                "7",
                                "\"row\"",
                                "[]",
                                "{}",
                                DeepArray(),
                                DeepObject(),
                                R"({"key":7,"ver":5,"value":"e30="})",
                                R"({"key":"odd","ver":"5","value":"e30="})",
                                R"({"key":"odd","ver":1e300,"value":"e30="})",
                                R"({"key":"odd","ver":-1,"value":"e30="})",
                                R"({"key":"odd","ver":18446744073709551615,"value":"e30="})",
                                R"({"key":"odd","ver":5,"value":7})",
                                R"({"key":"odd","ver":5,"value":null})",
                                R"({"key":"odd","ver":5,"value":"%%%"})",
                                R"({"key":"odd","ver":5,"value":"A"})",
                                R"({"key":"odd","ver":5,"value":"===="})",
                                R"({"key":"odd","ver":5,"deleted":"yes"})"};
  for (const std::string& text : OddTexts())
    rows.push_back(Row("odd", 5, text));
  for (const std::string& value : {DeepArray(), DeepObject()})
    rows.push_back(R"({"key":"odd","ver":5,"value":)" + value + "}");
  // Not JSON as a whole, where the store passes on a text as it was written.
  rows.push_back(R"({"key":"odd\ud800","ver":5,"value":"e30="})");
  rows.push_back("{\"key\":\"odd\xff\",\"ver\":5,\"value\":\"e30=\"}");
  rows.push_back(R"({"key":"odd","ver":1e400,"value":"e30="})");
  rows.push_back(R"({"key":"odd","ver":NaN,"value":"e30="})");
  return rows;
}

/// A store with one table, whose rows and changes hold an odd one between two sound ones.
class OddStore
{
public:
  explicit OddStore(std::string odd_row)
      : m_odd_row(std::move(odd_row)), m_server([this](TestPeer& peer, const std::string& head) {
          Respond(peer, head);
        })
  {
  }

  Http::Endpoint Address() const { return m_server.Address(); }

private:
  void Respond(TestPeer& peer, const std::string& head)
  {
    const bool is_snapshot = head.starts_with("GET /rows-get");
    if (!is_snapshot && head.find("after=6") == std::string::npos)
      return;
    const std::string text = is_snapshot ? "at start" : "as a change";
    const std::string version = is_snapshot ? "6" : "9";
    const int row_version = is_snapshot ? 4 : 8;
    const std::string body = R"({"nowMs":1,"rows":[)" + Row("a", row_version, text) + "," +
                             m_odd_row + "," + Row("z", row_version, text) + R"(],"ver":)" +
                             version + R"(,"hasMore":false})";
    peer.stream->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body);
  }

  std::string m_odd_row;
  TestServer m_server;
};

class OddEntriesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OddEntriesTest);
  CPPUNIT_TEST(NestedJsonIsSerializedByRecursion);
  CPPUNIT_TEST(NestedEntryEndsTheProcess);
  CPPUNIT_TEST(EntryWithAPortThatDoesNotExistIsUsed);
  CPPUNIT_TEST(EntryWithAnOddFieldEndsTheProcess);
  CPPUNIT_TEST(OddFieldOfTheConfigurationIsADurationWithoutEnd);
  CPPUNIT_TEST(OddNumberIsConverted);
  CPPUNIT_TEST(OddFieldOfTheSettingsEndsTheProcess);
  CPPUNIT_TEST(OddReportEndsTheProcess);
  CPPUNIT_TEST(ReleasedLeaseIsReadAsNone);
  CPPUNIT_TEST(OddLeaseRowNamesAHolder);
  CPPUNIT_TEST(OddCrashRowEndsTheProcess);
  CPPUNIT_TEST(OddRowCostsTheOtherRows);
  CPPUNIT_TEST(RowWithoutAKeyStartsTheTableOver);
  CPPUNIT_TEST_SUITE_END();

  /// The body of a call on our own interface is parsed and serialized again.
  void NestedJsonIsSerializedByRecursion()
  {
    for (const std::string& text : {DeepArray(), DeepObject()})
      if (const auto json = Common::ParseJson(text))
        CPPUNIT_ASSERT(Common::DumpJson(*json).empty());
    const std::string levels = Repeat("[", 100) + R"("[[{{\"[")" + Repeat("]", 100);
    const auto json = Common::ParseJson(levels);
    CPPUNIT_ASSERT(json);
    CPPUNIT_ASSERT_EQUAL(levels, Common::DumpJson(*json));
    CPPUNIT_ASSERT(!Common::ParseJson("[" + levels + "]"));
  }

  void NestedEntryEndsTheProcess()
  {
    OnSmallStack([] {
      for (const std::string& text : OddTexts())
        (void)DecodeServerEntry("i-1", text);
    });
    for (const std::string& text : OddTexts())
      CPPUNIT_ASSERT(!DecodeServerEntry("i-1", text));
  }

  void EntryWithAPortThatDoesNotExistIsUsed()
  {
    const std::string entry = ENTRY;
    const std::string address = "10.1.0.7:8000";
    CPPUNIT_ASSERT(DecodeServerEntry("i-1", entry));
    for (const std::string odd :
         {"10.1.0.7:0", "10.1.0.7:65536", "10.1.0.7:-1", "10.1.0.7:99999999999",
          "10.1.0.7:", "10.1.0.7", "10.1.0.7:+80", "10.1.0.7: 80", "10.1.0.7:80x", "10.1.0.7:8e1",
          ":80", "10.1.0:80", "10.1.0.256:80", "::1:80", "localhost:80"})
    {
      std::string changed = entry;
      changed.replace(changed.find(address), address.size(), odd);
      const auto decoded = DecodeServerEntry("i-1", changed);
      CPPUNIT_ASSERT_MESSAGE(odd, !decoded);
      CPPUNIT_ASSERT_MESSAGE(odd, decoded.InvalidField() == EntryField::Address);
    }
  }

  void EntryWithAnOddFieldEndsTheProcess()
  {
    OnSmallStack([] {
      ForEachOddVariant(ENTRY, [](const std::string& text) {
        (void)DecodeServerEntry("i-1", text);
      });
    });
    ForEachOddVariant(ENTRY, [](const std::string& text) {
      const auto entry = DecodeServerEntry("i-1", text);
      if (entry)
        CPPUNIT_ASSERT(entry->slots > 0 && IsDuration(entry->warming_up));
    });
  }

  /// A time-out that is added to the time wraps, and everything is past its deadline.
  void OddFieldOfTheConfigurationIsADurationWithoutEnd()
  {
    ForEachOddVariant(CONFIGURATION, CheckConfiguration);
    OnSmallStack([] {
      for (const std::string& text : OddTexts())
        (void)DecodeConfiguration(text);
    });
  }

  template <typename T>
  static void CheckFallback(const char* number, T fallback)
  {
    const Common::Json json =
        Common::Json::parse("{\"n\":" + std::string(number) + "}", nullptr, false);
    CPPUNIT_ASSERT_MESSAGE(number, Common::GetOr<T>(json, "n", fallback) == fallback);
  }

  void OddNumberIsConverted()
  {
    for (const char* number : {"1e300", "-1e300", "1e19", "18446744073709551616", "2147483648",
                               "-2147483649", "4294967297", "18446744073709551615"})
      CheckFallback<int>(number, 42);
    for (const char* number : {"1e300", "-1e300", "1e19", "-1e19", "18446744073709551615",
                               "9223372036854775808", "9223372036854775808.0"})
      CheckFallback<std::int64_t>(number, 42);
    for (const char* number : {"1e300", "-1", "-0.5", "1e20", "18446744073709551616"})
      CheckFallback<std::size_t>(number, 42);
    const Common::Json json = {{"i", 7}, {"d", 7.9}, {"n", -7.9}, {"max", INT64_MAX}};
    CPPUNIT_ASSERT_EQUAL(7, Common::GetOr<int>(json, "i", 0));
    CPPUNIT_ASSERT_EQUAL(7, Common::GetOr<int>(json, "d", 0));
    CPPUNIT_ASSERT_EQUAL(-7, Common::GetOr<int>(json, "n", 0));
    CPPUNIT_ASSERT_EQUAL(INT64_MAX, Common::GetOr<std::int64_t>(json, "max", 0));
  }

  /// The error of an odd field quotes it.
  void OddFieldOfTheSettingsEndsTheProcess()
  {
    ForEachOddVariant(SETTINGS, [](const std::string& text) {
      const auto settings = DecodeSettings(text);
      if (settings)
        CPPUNIT_ASSERT(IsDuration(settings->stop_grace) && IsDuration(settings->holder_pause) &&
                       IsDuration(settings->drain_bound));
      else
        CPPUNIT_ASSERT(settings.Reason().detail.size() < LONG_TEXT);
    });
    for (const std::string& text : OddTexts())
      CPPUNIT_ASSERT(!DecodeSettings(text));
  }

  void OddReportEndsTheProcess()
  {
    OnSmallStack([] {
      ForEachOddVariant(REPORT, [](const std::string& text) {
        (void)DecodeReport(text);
      });
      for (const std::string& text : OddTexts())
        (void)DecodeReport(text);
    });
  }

  /// The pause after the holder that has released the lease would not be observed.
  void ReleasedLeaseIsReadAsNone()
  {
    const std::string released = R"({"holder":"","run":"","address":"","ordering":false,"era":2})";
    const auto record = LeaseRowStore::Decode({"order-lease", released, 3, false});
    CPPUNIT_ASSERT(record && record->holder.Empty());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), record->era);
  }

  /// A row that names no holder, not even an empty one, is no record of a free lease.
  void OddLeaseRowNamesAHolder()
  {
    const std::string sound =
        R"({"holder":"vm-1","run":"r","address":"10.1.0.7:80","ordering":true})";
    CPPUNIT_ASSERT(LeaseRowStore::Decode({"order-lease", sound, 3, false}));
    for (const std::string& text : OddTexts())
      CPPUNIT_ASSERT(!LeaseRowStore::Decode({"order-lease", text, 3, false}));
    for (const std::string& text : OddValues())
      CPPUNIT_ASSERT(!LeaseRowStore::Decode({"order-lease", text, 3, false}));
    ForEachOddVariant(sound, [](const std::string& text) {
      const auto record = LeaseRowStore::Decode({"order-lease", text, 3, false});
      const bool is_released = text.find(R"("holder":"")") != std::string::npos;
      CPPUNIT_ASSERT(!record || record->holder.Empty() == is_released);
    });
  }

  void OddCrashRowEndsTheProcess()
  {
    OnSmallStack([] {
      for (const std::string& text : OddTexts())
        (void)Daemons::Decode<Orders::ArchivedCases>(text);
    });
  }

  void OddRowCostsTheOtherRows()
  {
    for (const std::string& odd_row : OddRows())
    {
      const std::string name = odd_row.substr(0, 60);
      OddStore store(odd_row);
      StoreClient client(store.Address());
      std::map<std::string, std::string> rows;
      const auto put = [&](const Fleet::TableRow& row) {
        rows[row.key] = row.value;
      };
      Fleet::TableEvents events;
      events.on_snapshot = [&](const std::vector<Fleet::TableRow>& all) {
        std::ranges::for_each(all, put);
      };
      events.on_change = put;
      events.on_lost = [] {};
      events.on_back = [] {};
      Fleet::TableFollower<StoreClient> follower(client, "servers", events);
      std::array<bool, 2> seen{};
      follower.Start();
      RunUntil([&] {
        seen[0] = seen[0] || (rows["a"] == "at start" && rows["z"] == "at start");
        seen[1] = seen[1] || (rows["a"] == "as a change" && rows["z"] == "as a change");
        return seen[1];
      });
      CPPUNIT_ASSERT_MESSAGE(name, seen[1]);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::int64_t(9), follower.Version());
    }
  }

  /// The next page starts at the last key; the empty one is that of the first page.
  void RowWithoutAKeyStartsTheTableOver()
  {
    int pages = 0;
    TestServer server([&](TestPeer& peer, const std::string& head) {
      if (!head.starts_with("GET /rows-get"))
        return;
      ++pages;
      const bool is_first = head.find("startRev=") == std::string::npos;
      const std::string rows =
          is_first ? Row("a", 1, "x") + R"(,{"key":7,"ver":2,"value":"e30="})" : Row("b", 3, "y");
      const std::string body =
          R"({"rows":[)" + rows + R"(],"ver":6,"hasMore":)" + (is_first ? "true" : "false") + "}";
      peer.stream->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body);
    });
    StoreClient client(server.Address());
    std::size_t rows = 0;
    Fleet::TableEvents events;
    events.on_snapshot = [&](const std::vector<Fleet::TableRow>& all) {
      rows = all.size();
    };
    events.on_change = [](const Fleet::TableRow&) {};
    events.on_lost = [] {};
    events.on_back = [] {};
    Fleet::TableFollower<StoreClient> follower(client, "servers", events);
    follower.Start();
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return rows > 0;
        },
        Milliseconds(500)));
    CPPUNIT_ASSERT_EQUAL(2, pages);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), rows);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntriesTest);
} // namespace
