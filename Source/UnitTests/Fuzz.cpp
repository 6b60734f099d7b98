// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "UnitTests/Fuzz.h"

#include <cctype>
#include <functional>
#include <iostream>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "BackendServers/HttpBackendClient.h"
#include "Callers/Jobs.h"
#include "Callers/PlainServices.h"
#include "Common/Random.h"
#include "Daemons/Codec.h"
#include "Daemons/MessageAuthentication.h"
#include "Daemons/Messages.h"
#include "Gateway/Forwarding.h"
#include "Http/MessageParser.h"
#include "Orders/Messages.h"
#include "Serving/ServerRow.h"
#include "Table/Change.h"
#include "Table/CsvFile.h"
#include "platform/Decode.h"

namespace UnitTests
{
namespace
{
constexpr std::uint64_t SEED = 20261202;
constexpr std::size_t MAX_CHANGES = 8;

struct Target
{
  const char* name;
  std::string sample;
  std::function<void(const std::string&)> decode;
};

std::string Damage(std::string bytes, Common::Random& random)
{
  const auto changes = random() % MAX_CHANGES;
  for (std::uint64_t change = 0; change <= changes && !bytes.empty(); ++change)
  {
    const std::size_t place = random() % bytes.size();
    switch (random() % 4)
    {
    case 0:
      bytes[place] = static_cast<char>(random());
      break;
    case 1:
      bytes.erase(place);
      break;
    case 2:
      bytes.insert(place, 1 + random() % 9, static_cast<char>(random()));
      break;
    default:
      bytes += bytes.substr(place, 40);
    }
  }
  return bytes;
}

/// Takes the first request of some bytes.
class RequestSink : public Http::MessageSink
{
public:
  void OnHead(Http::MessageHead& head) override { request.head = head; }
  void OnBody(std::string_view bytes) override { request.body.append(bytes); }
  void OnMessageEnd() override { ended = true; }

  Http::ReceivedRequest request;
  bool ended = false;
};

std::optional<Http::ReceivedRequest> ParseRequest(const std::string& bytes)
{
  RequestSink sink;
  Http::MessageParser parser(Http::MessageParser::Kind::Request, &sink);
  std::size_t consumed = 0;
  parser.Feed(bytes, &consumed);
  return sink.ended ? std::optional(sink.request) : std::nullopt;
}

/// Whatever a caller sends, what goes on to a server holds no key and no account but ours, as a
/// reader sees it who takes no notice of case, blanks and the sign between words.
void ForwardWithoutKey(const std::string& bytes)
{
  const auto request = ParseRequest(bytes);
  if (!request)
    return;
  Gateway::HeaderNames names;
  names.key = "Key";
  names.account = "Tenant";
  names.time_left_ms = "Left";
  names.expected_instance = "Want";
  Gateway::AddedHeaders parts;
  parts.account = Accounts::AccountName("ours");
  const auto forwarded = ParseRequest(Gateway::ForwardedRequest(*request, names, parts));
  if (!forwarded)
    return;
  for (const Http::HeaderField& field : forwarded->head.headers)
  {
    std::string name;
    for (const char c : field.name)
      if (std::isalnum(static_cast<unsigned char>(c)) != 0)
        name += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    // A sign within the name makes it another header; around it, it makes none that parses.
    const bool plain = name.size() == field.name.size();
    if (plain && (name == "key" || (name == "tenant" && field.value != "ours")))
      throw std::runtime_error("a server would see " + field.name);
  }
}

std::vector<Target> Targets()
{
  Daemons::StatusReply reply;
  reply.servers.resize(3);
  reply.servers[1].replicas.resize(4);
  Daemons::Envelope envelope;
  envelope.body = Daemons::Reply(reply);
  Serving::ServerRow row;
  row.claims.resize(3);
  const std::string csv = Table::CsvHeading() + "\npool,p\nmodel,m,p,,,10,2,1,4,100,yes,checks,x\n";
  Table::Change change = Table::Difference({}, Table::ReadCsv(csv).rows);
  return {
      {"envelope", Daemons::Encode(envelope),
       [](const std::string& bytes) {
         (void)Daemons::Decode<Daemons::Envelope>(bytes);
       }},
      {"heartbeat", Daemons::Encode(Daemons::Heartbeat{}),
       [](const std::string& bytes) {
         (void)Daemons::Decode<Daemons::Heartbeat>(bytes);
       }},
      {"datagram", Daemons::SignDatagram("key", "payload"),
       [](const std::string& bytes) {
         (void)Daemons::VerifyDatagram("key", bytes);
       }},
      {"table file", csv,
       [](const std::string& text) {
         (void)Table::ReadCsv(text);
       }},
      {"table change", Common::DumpJson(Table::ToJson(change)),
       [](const std::string& text) {
         (void)Table::ChangeFromJson(Common::ParseJson(text).value_or(Common::Json()));
       }},
      {"server row", Serving::Serialize(row),
       [](const std::string& text) {
         (void)Serving::ParseServerRow(text);
       }},
      {"job", Callers::SerializeJob({"j-1"}),
       [](const std::string& text) {
         (void)Callers::ParseJob(text);
       }},
      {"once record", Callers::SerializeRecord({}),
       [](const std::string& text) {
         (void)Callers::ParseRecord(text);
       }},
      {"server entry",
       R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":64,"state":"ready","coldLeftMs":5,)"
       R"("models":[{"name":"m","version":1,"adapters":["a1"]}],"seq":4,"born":1700000000000,)"
       R"("atHand":{"inMemory":["k"],"onDisk":["m","k"]}})",
       [](const std::string& text) {
         (void)PlatformAdapter::DecodeServerEntry("i-1", text);
       }},
      {"key headers",
       "POST /a HTTP/1.1\r\nHost: h\r\nKey: k\r\nKEY : k\r\n key: k\r\nTenant: t\r\n"
       "Connection: Key, tenant\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nKey: k\r\n\r\n",
       ForwardWithoutKey},
      {"plain key headers",
       "GET /a HTTP/1.1\r\nHost: h\r\nKey: k\r\nkey:\tk\r\nTenant: t\r\ntENANT: u\r\n\r\n",
       ForwardWithoutKey},
      {"configuration",
       R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","kind":"idempotent",)"
       R"("service":"s","public":true}],"services":[{"name":"s"}],"tenants":[{"name":"a",)"
       R"("apiKeys":["k","l"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":2.5,"burst":1}]})",
       [](const std::string& text) {
         (void)PlatformAdapter::DecodeConfiguration(text);
       }},
      {"holder's datagram",
       Daemons::Encode(Orders::Envelope{{},
                                        {Orders::HolderReport{}},
                                        {Orders::PermitRequest{}},
                                        {Orders::PermitReply{}},
                                        {Orders::HolderReply{}}}),
       [](const std::string& bytes) {
         (void)Daemons::Decode<Orders::Envelope>(bytes);
       }},
      {"server report",
       R"({"models":[{"name":"m","version":1,"adapters":["a"]}],"busy":true,"seq":2,"born":3,"coming":["m/a@1"]})",
       [](const std::string& text) {
         (void)PlatformAdapter::DecodeReport(text);
       }},
      {"engine report",
       R"({"vm":"r","incarnation":"e","capacity_mb":9,"artifacts":[{"id":"m","state":"loaded"}]})",
       [](const std::string& text) {
         (void)BackendServers::ParseReport(text);
       }},
  };
}

/// A crash ends the program; an exception is a decoder that lets hostile bytes through.
bool Survives(const Target& target, int rounds)
{
  Common::Random random(SEED);
  try
  {
    target.decode(target.sample);
    for (int round = 0; round < rounds; ++round)
    {
      std::string bytes = target.sample;
      if (round % 4 == 0)
        bytes = std::string(random() % 200, static_cast<char>(random()));
      target.decode(Damage(bytes, random));
    }
    return true;
  }
  catch (const std::exception& error)
  {
    std::cout << "  " << error.what() << "\n";
    return false;
  }
}
} // namespace

int RunFuzz(int rounds)
{
  int failed = 0;
  int passed = 0;
  for (const Target& target : Targets())
  {
    const bool survived = Survives(target, rounds);
    ++(survived ? passed : failed);
    std::cout << (survived ? "pass" : "FAIL") << " fuzz " << target.name << ": " << rounds
              << " inputs\n";
  }
  std::cout << passed << " passed, " << failed << " failed\n";
  return failed;
}
} // namespace UnitTests
