// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "UnitTests/Support/LimitedFleet.h"

#include <algorithm>

#include <cppunit/TestAssert.h>

namespace UnitTests
{
namespace
{
constexpr Http::CallTimeouts CALLER_PATIENCE{Milliseconds(3000), Milliseconds(3000)};

/// Refusals within this time count as immediate: a waiting request is retried only after 40 ms.
constexpr Milliseconds MAX_IMMEDIATE_REFUSAL{30};

std::shared_ptr<const Configuration> OnePlainRoute()
{
  auto configuration = std::make_shared<Configuration>();
  configuration->version = 1;
  configuration->routes = {MakeRoute(PLAIN_PATH, Repeatability::Idempotent, 2, false)};
  configuration->pools[PoolId("pool")] = Pool{PoolId("pool"), "/health", 100, std::nullopt};
  configuration->limits.idle_timeout = Milliseconds(5000);
  return configuration;
}
} // namespace

LimitedServer::LimitedServer()
    : m_server(std::make_unique<TestServer>([this](TestPeer& peer, const std::string& head) {
        const std::string id = HeaderOf(head, "Req-Id");
        m_arrivals.push_back(
            {Common::Now(), std::stoul(id.substr(1)), m_rejects, m_draining == "1"});
        std::string more;
        if (!m_limit.empty())
          more += "Limit: " + m_limit + "\r\n";
        if (!m_draining.empty())
          more += "Leaving: " + m_draining + "\r\n";
        if (m_rejects && !m_retry_after.empty())
          more += "Retry-After: " + m_retry_after + "\r\n";
        if (m_rejects)
          peer.stream->Write("HTTP/1.1 503 Service Unavailable\r\nReq-Id: " + id + "\r\n" + more +
                             "Did-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        else
          peer.stream->Write("HTTP/1.1 200 OK\r\nReq-Id: " + id + "\r\n" + more +
                             "Signed: yes\r\nContent-Length: 2\r\n\r\nok");
      }))
{
}

void LimitedServer::Reject(std::string retry_after)
{
  m_rejects = true;
  m_retry_after = std::move(retry_after);
}

std::size_t LimitedServer::ArrivalsSince(Common::TimePoint moment) const
{
  return static_cast<std::size_t>(std::ranges::count_if(m_arrivals, [moment](const Arrival& a) {
    return a.at >= moment;
  }));
}

std::size_t LimitedServer::ArrivalsOf(std::size_t vm, std::size_t vms, Common::TimePoint from) const
{
  return static_cast<std::size_t>(std::ranges::count_if(m_arrivals, [&](const Arrival& a) {
    return a.at >= from && a.number % vms == vm;
  }));
}

std::size_t LimitedServer::MaxSentDuringBackoff(std::size_t vms, Milliseconds span,
                                                Milliseconds leeway) const
{
  std::size_t worst = 0;
  for (const Arrival& rejected : m_arrivals)
  {
    if (!rejected.rejected)
      continue;
    const auto in_backoff = std::ranges::count_if(m_arrivals, [&](const Arrival& a) {
      return a.number % vms == rejected.number % vms && a.at > rejected.at + leeway &&
             a.at < rejected.at + span;
    });
    worst = std::max(worst, static_cast<std::size_t>(in_backoff));
  }
  return worst;
}

std::optional<Common::TimePoint> LimitedServer::AnnouncedTo(std::size_t vm, std::size_t vms) const
{
  const auto found = std::ranges::find_if(m_arrivals, [&](const Arrival& a) {
    return a.announced && a.number % vms == vm;
  });
  return found == m_arrivals.end() ? std::nullopt : std::optional(found->at);
}

std::size_t LimitedServer::WorstWindow(Milliseconds span, Common::TimePoint from) const
{
  std::size_t worst = 0;
  auto first = std::ranges::lower_bound(m_arrivals, from, {}, &Arrival::at);
  for (; first != m_arrivals.end(); ++first)
  {
    const auto last = std::ranges::upper_bound(m_arrivals, first->at + span, {}, &Arrival::at);
    worst = std::max(worst, static_cast<std::size_t>(last - first));
  }
  return worst;
}

LimitedVm::LimitedVm(const std::string& name)
    : hub_endpoint(FreeEndpoint()),
      dispatcher(DispatcherSettings{
          Common::DataCentreId("here"), Names(), {0.2, 100, Milliseconds(10000)}}),
      order_manager(dispatcher.Servers(), {}, {}),
      hub({Common::VmId(name), Common::Incarnation("run"), hub_endpoint}, dispatcher, order_manager)
{
  dispatcher.SetConfiguration(OnePlainRoute());
  const auto listening = m_listener.Listen(Http::Endpoint{htonl(INADDR_LOOPBACK), 0},
                                           [this](int fd, const Http::Endpoint&) {
                                             dispatcher.AcceptConnection(fd);
                                           });
  CPPUNIT_ASSERT(static_cast<bool>(listening));
  CPPUNIT_ASSERT(static_cast<bool>(hub.Start()));
  m_callers = std::make_unique<Http::Channel>(m_listener.Local());
}

void LimitedVm::AddServer(const std::string& instance, const Http::Endpoint& endpoint)
{
  ServerEntry entry;
  entry.instance = InstanceId(instance);
  entry.pool = PoolId("pool");
  entry.endpoint = endpoint;
  entry.data_centre = Common::DataCentreId("here");
  entry.slots = 10;
  dispatcher.Servers().Put(entry);
}

void LimitedVm::Ask(const std::string& id, std::function<void(int status)> on_answer)
{
  const Http::CompleteRequest request{
      "POST", std::string(PLAIN_PATH) + "x", {{"Host", "shop.example"}, {"Req-Id", id}}, ""};
  m_callers->Call(request, CALLER_PATIENCE,
                  [on_answer](Common::Result<Http::CompleteResponse> answer) {
                    on_answer(answer ? answer->status : 0);
                  });
}

LimitedFleet::LimitedFleet(int vm_count, int server_count)
{
  for (int i = 0; i < server_count; ++i)
    servers.push_back(std::make_unique<LimitedServer>());
  for (int i = 0; i < vm_count; ++i)
  {
    vms.push_back(std::make_unique<LimitedVm>("vm-" + std::to_string(i)));
    for (int server = 0; server < server_count; ++server)
      vms.back()->AddServer("i-" + std::to_string(server), servers[server]->Address());
  }
}

void LimitedFleet::SetHolder(std::size_t holder, std::int64_t fence)
{
  for (std::size_t i = 0; i < vms.size(); ++i)
    if (i == holder)
      vms[i]->hub.SetHolder(std::nullopt, Orders::LeaseAnnouncement{fence, 1, Milliseconds(60000)});
    else
      vms[i]->hub.SetHolder(vms[holder]->hub_endpoint, std::nullopt);
}

void LimitedFleet::SetLimits(const std::string& limit)
{
  for (const auto& server : servers)
    server->SetLimit(limit);
}

std::size_t LimitedFleet::ArrivalsSince(Common::TimePoint moment) const
{
  std::size_t arrivals = 0;
  for (const auto& server : servers)
    arrivals += server->ArrivalsSince(moment);
  return arrivals;
}

void LimitedFleet::StartLoad(double per_second)
{
  m_gap = Milliseconds(static_cast<std::int64_t>(1000 / per_second));
  SendNext();
}

void LimitedFleet::SendNext()
{
  m_load_timer.Start(m_gap, [this] {
    SendNext();
  });
  ++asked;
  LimitedVm& vm = *vms[m_only_vm.value_or(static_cast<std::size_t>(asked) % vms.size())];
  const auto asked_at = Common::Now();
  vm.Ask("r" + std::to_string(asked), [this, asked_at](int status) {
    if (status == 200)
      ++served;
    else if (status == 503 || status == 429)
    {
      ++refused;
      refused_late += Common::Now() - asked_at > MAX_IMMEDIATE_REFUSAL ? 1 : 0;
    }
    else
      ++failed;
  });
}
} // namespace UnitTests
