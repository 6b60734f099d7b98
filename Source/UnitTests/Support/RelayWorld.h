// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/TestAssert.h>

#include "Gateway/Dispatcher.h"
#include "UnitTests/Support/Loopback.h"

/// A relay between a caller and backend servers. The test scripts every byte that they send.
namespace UnitTests
{
using namespace Gateway;
using Common::Milliseconds;

constexpr const char* PLAIN_PATH = "/plain/";
constexpr const char* ONCE_PATH = "/once/";
constexpr const char* STREAM_PATH = "/stream/";
constexpr const char* ONE_STREAM_PATH = "/one/";

inline HeaderNames Names()
{
  HeaderNames names;
  names.request_id = "Req-Id";
  names.time_left_ms = "Left-Ms";
  names.model = "Model";
  names.last_event_id = "Last-Event-Id";
  names.resumes = "Resumes";
  names.prompt_parts = "Parts";
  names.signature = "Signed";
  names.expected_instance = "Want-Instance";
  names.instance = "Instance";
  names.not_run = "Did-Not-Run";
  names.request_limit = "Limit";
  names.draining = "Leaving";
  names.rejection_limit = "Brittle";
  names.retry_after = "Retry-After";
  names.urgency = "Urgency";
  names.key = "Api-Key";
  names.account = "Account";
  names.reserved = {"Want-Instance", "Urgency", "Secret"};
  return names;
}

inline Route MakeRoute(const char* path, Repeatability repeatability, int max_servers,
                       bool resumable)
{
  Route route;
  route.name = path;
  route.host = "shop.example";
  route.path_prefix = path;
  route.repeatability = repeatability;
  route.timeout = Milliseconds(1500);
  route.latency_target = Milliseconds(200);
  route.gap_target = Milliseconds(100);
  route.max_servers = max_servers;
  route.resumable = resumable;
  route.pools = {{PoolId("pool"), 1}};
  return route;
}

inline std::string Answer(const std::string& head, const std::string& body)
{
  return "HTTP/1.1 200 OK\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
         "\r\nSigned: yes\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string StreamHead(const std::string& head)
{
  return "HTTP/1.1 200 OK\r\nReq-Id: " + HeaderOf(head, "Req-Id") +
         "\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string Chunk(const std::string& bytes)
{
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", bytes.size());
  return std::string(size) + "\r\n" + bytes + "\r\n";
}

inline std::string Event(int id)
{
  return "id: " + std::to_string(id) + "\ndata: token\n\n";
}

/// A dispatcher behind a listener, with backend servers and one caller.
class RelayWorld
{
public:
  RelayWorld()
      : dispatcher(DispatcherSettings{
            Common::DataCentreId("here"), Names(), {0.2, 100, Milliseconds(10000)}})
  {
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    configuration->routes = {MakeRoute(PLAIN_PATH, Repeatability::Idempotent, 2, false),
                             MakeRoute(ONCE_PATH, Repeatability::NonIdempotent, 1, false),
                             MakeRoute(STREAM_PATH, Repeatability::Streaming, 2, true),
                             MakeRoute(ONE_STREAM_PATH, Repeatability::Streaming, 1, false)};
    configuration->routes.back().timeout = Milliseconds(8000);
    configuration->pools[PoolId("pool")] = Pool{PoolId("pool"), "/health", 100, std::nullopt};
    configuration->limits.idle_timeout = Milliseconds(5000);
    dispatcher.SetConfiguration(configuration);
    const auto listening = m_listener.Listen(Http::Endpoint{htonl(INADDR_LOOPBACK), 0},
                                             [this](int fd, const Http::Endpoint&) {
                                               dispatcher.AcceptConnection(fd);
                                             });
    CPPUNIT_ASSERT(static_cast<bool>(listening));
    caller.stream = Http::TcpStream::Connect(m_listener.Local(), &caller);
  }

  /// Makes the pool's servers load model "m", which takes `from_store` from the weight store. The
  /// routes ONCE_PATH and ONE_STREAM_PATH use the model.
  void ServeModel(Milliseconds from_store)
  {
    auto configuration = std::make_shared<Configuration>(*dispatcher.CurrentConfiguration());
    ++configuration->version;
    configuration->routes.back().uses_model = true;
    configuration->routes[1].uses_model = true;
    configuration->routes[1].timeout = Milliseconds(8000);
    ModelServerSpec engine;
    engine.models[ModelId("m")].load_from_store = from_store;
    configuration->pools[PoolId("pool")].model_server = engine;
    dispatcher.SetConfiguration(configuration);
  }

  void AddServer(const std::string& instance, const Http::Endpoint& endpoint,
                 const std::vector<ModelId>& on_disk = {}, const std::string& version = "",
                 const std::string& pool = "pool")
  {
    ServerEntry entry;
    entry.version = SoftwareVersion(version);
    entry.on_disk = on_disk;
    entry.instance = InstanceId(instance);
    entry.pool = PoolId(pool);
    entry.endpoint = endpoint;
    entry.data_centre = Common::DataCentreId("here");
    entry.slots = 10;
    dispatcher.Servers().Put(entry);
  }

  void Ask(const std::string& path, const std::string& id, const std::string& more = "",
           const std::string& body = "")
  {
    std::string bytes =
        "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nReq-Id: " + id + "\r\n" + more;
    if (!body.empty())
      bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    caller.stream->Write(bytes + "\r\n" + body);
  }

  /// Returns another caller with its own connection.
  std::unique_ptr<TestPeer> NewCaller() const
  {
    auto peer = std::make_unique<TestPeer>();
    peer->stream = Http::TcpStream::Connect(m_listener.Local(), peer.get());
    return peer;
  }

  bool CallerGot(const std::string& text)
  {
    return RunUntil([&] {
      return caller.received.find(text) != std::string::npos;
    });
  }

  Dispatcher dispatcher;
  TestPeer caller;

private:
  Http::TcpListener m_listener;
};
} // namespace UnitTests
