// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// ONE: the machine that gives the orders is removed for good, and a new one with its name comes at
// another address. With TROUBLE=name the new one has a name of its own.

#include "Lab.h"

namespace
{
using namespace Lab;

constexpr double SERVER_MB = 230000;
constexpr double MODEL_MB = 72700;
constexpr int MODELS = 24;
constexpr double LEASE_S = 3;
constexpr double REPLACED_AFTER_S = 1;

std::string ModelName(int number)
{
  return "model-" + std::to_string(number);
}

Json Configuration()
{
  Json listed = Json::array();
  for (int i = 1; i <= MODELS; ++i)
    listed.push_back({{"name", ModelName(i)},
                      {"weightsMb", MODEL_MB},
                      {"loadS", 6.0},
                      {"adapters", 0},
                      {"adapterMb", 66.0},
                      {"warmS", 0.47},
                      {"diskS", 0.84}});
  return {{"version", 1},
          {"routes",
           {{{"name", "plan"},
             {"host", "shop.example"},
             {"pathPrefix", "/plan/"},
             {"kind", "streaming"},
             {"timeoutMs", 25000},
             {"targetLatencyMs", 2500},
             {"priority", 0},
             {"service", "runners"},
             {"maxAttempts", 1},
             {"sticky", true},
             {"resumable", false},
             {"gapAimMs", 300}}}},
          {"services",
           {{{"name", "runners"},
             {"healthPath", "/health"},
             {"maxConns", 360},
             {"engine",
              {{"slots", 64},
               {"kvTokens", 135497},
               {"weightsMb", SERVER_MB},
               {"adapterSlots", 8},
               {"loadsPerS", 3.1},
               {"models", listed}}}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

void Ask(const Daemon& daemon, const std::string& model)
{
  std::thread([ip = daemon.ip, port = daemon.front, model] {
    const std::string id = NewId();
    Note("sent %s (%s) to %s", id.c_str(), model.c_str(), ip.c_str());
    const Result result = Call(
        ip, port,
        "POST /plan/week HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\nAttempt-Id: " + id +
            "\r\nModel: " + model + "\r\nToken-Counts: 826,290\r\nPrompt-Prefix: aa:198," +
            id.substr(8) + ":628\r\nTime-Left-Ms: 25000\r\nContent-Length: 4\r\n\r\nplan",
        25);
    Note("answer to %s: %d", id.c_str(), result.status);
  }).detach();
}
} // namespace

int main()
{
  Now();
  Deployment deployment;
  for (int i = 0; i < 3; ++i)
    deployment.Add("entry-" + std::to_string(i + 1), 10 + i);
  Server server;
  server.id = "i-" + NewId();
  server.ip = Address(100);
  server.service = "runners";
  server.runs_models = true;
  server.load_s = 0.5;
  if (!server.Start(deployment.store, {ModelName(1)}))
    deployment.End(2, "a server cannot listen");
  deployment.store.Put("op", "config", Configuration().dump());
  for (const auto& daemon : deployment.daemons)
    daemon->Start(deployment.folder);
  deployment.AwaitReady(15);

  // Waits until one daemon has held the lease for long enough to give orders.
  Json lease;
  for (const double until = Now() + 20;; SleepFor(0.2))
  {
    lease = Json::parse(deployment.LeaseRow(), nullptr, false);
    if (lease.is_object() && lease.value("ordering", false) && Now() > 8)
      break;
    if (Now() > until)
      deployment.End(2, "no daemon holds the lease");
  }
  const std::string name = lease.value("holder", "");
  const auto found = std::ranges::find_if(deployment.daemons, [&](const auto& daemon) {
    return daemon->name == name;
  });
  if (found == deployment.daemons.end())
    deployment.End(2, "the lease's row names no daemon");
  Daemon& holder = **found;
  const std::string holder_ip = holder.ip;
  std::vector<Daemon*> others;
  for (const auto& daemon : deployment.daemons)
    if (daemon.get() != &holder)
      others.push_back(daemon.get());
  Note("%s at %s holds the lease", name.c_str(), holder_ip.c_str());

  int next_model = 2;
  Ask(*others[0], ModelName(next_model++));
  for (const double until = Now() + 10; server.Orders().empty(); SleepFor(0.02))
    if (Now() > until)
      deployment.End(2, "the holder gives no orders");

  if (HasTrouble())
  {
    holder.Kill("the machine is removed for good (SIGKILL):");
    const char* trouble = std::getenv("TROUBLE");
    const bool has_own_name = trouble != nullptr && std::string(trouble) == "name";
    const double replaced_at = Now() + REPLACED_AFTER_S;
    Daemon& replacement = deployment.Add(has_own_name ? "entry-4" : name, 20);
    SleepUntil(replaced_at);
    replacement.Start(deployment.folder);
  }
  for (int i = 0; i < 20; ++i)
  {
    Ask(*others[static_cast<std::size_t>(i) % others.size()], ModelName(next_model));
    next_model = next_model == MODELS ? 2 : next_model + 1;
    SleepFor(0.4);
  }

  double shortest = 1e9;
  std::string how;
  const auto all = server.Orders();
  for (std::size_t i = 1; i < all.size(); ++i)
    if (all[i].from != all[i - 1].from && all[i].at - all[i - 1].at < shortest)
    {
      shortest = all[i].at - all[i - 1].at;
      how = "last order of " + all[i - 1].from + " (" + all[i - 1].body.value("holder", "") +
            ", fence " + std::to_string(all[i - 1].body.value("fence", std::int64_t{0})) +
            "), then one of " + all[i].from + " (" + all[i].body.value("holder", "") + ", fence " +
            std::to_string(all[i].body.value("fence", std::int64_t{0})) + ")";
    }
  char text[300];
  std::snprintf(text, sizeof(text),
                "%zu orders to the server; shortest time from one machine's to another's: %s",
                all.size(),
                how.empty() ? "none" : (std::to_string(shortest) + " s; " + how).c_str());
  if (HasTrouble() && how.empty())
    deployment.End(2, std::string("no other machine gave orders; ") + text);
  deployment.End(shortest < LEASE_S ? 1 : 0, text);
}
