// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "UnitTests/Fuzz.h"

#include <functional>
#include <iostream>
#include <string>

#include "BackendServers/HttpEngine.h"
#include "Callers/Jobs.h"
#include "Callers/PlainServices.h"
#include "Common/Random.h"
#include "Daemons/Codec.h"
#include "Daemons/Messages.h"
#include "Daemons/Seal.h"
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
      {"datagram", Daemons::SealDatagram("key", "payload"),
       [](const std::string& bytes) {
         (void)Daemons::OpenDatagram("key", bytes);
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
         (void)PlatformFace::DecodeServerEntry("i-1", text);
       }},
      {"server report",
       R"({"models":[{"name":"m","version":1,"adapters":["a"]}],"busy":true,"seq":2,"born":3,"coming":["m/a@1"]})",
       [](const std::string& text) {
         (void)PlatformFace::DecodeReport(text);
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
