// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "Common/Json.h"
#include "Common/Reactor.h"
#include "Http/ServerConnection.h"
#include "StandIns/Soak/Ledger.h"
#include "StandIns/Soak/StandInStore.h"

namespace Soak
{
/// The active fault of a backend server.
enum class ServerMood
{
  Well,       ///< No fault.
  Resets,     ///< Resets some connections instead of or during the response.
  Silent,     ///< Accepts requests and sends nothing.
  Sheds,      ///< Rejects requests before they run, with status 503.
  LateOrders, ///< Sends no response to orders and carries them out seconds later.
};

/// A stand-in for a backend server with a model server: serves requests and streams, carries out
/// orders, and writes its entry into the store.
class StandInServer : public Http::RequestHandler
{
public:
  StandInServer(std::string name, Http::Endpoint endpoint, StandInStore& store, Ledger& ledger,
                std::vector<std::string> models);

  /// Listens and starts the first instance.
  Common::Result<Common::Done> Listen();
  /// Resets all connections, drops models and orders, and starts a new instance.
  void Restart();
  /// The same, but the new instance has the id of the old one and a later start time, which its
  /// entry shows only after `until_entry`. Delayed orders to the old instance are carried out by
  /// the new one.
  void RestartUnderItsId(Common::Milliseconds until_entry);
  /// Sets its entry to draining.
  void Drain();
  /// Crashes: resets all connections and refuses new ones. The entry stays for `until_gone`, after
  /// which a new instance starts.
  void Crash(Common::Milliseconds until_gone);
  /// Start of the body of crashing requests, which crash each server that starts to run them.
  static constexpr std::string_view CRASHER_PREFIX = "crash ";
  void SetMood(ServerMood mood) { m_mood = mood; }
  /// Announces in its responses from now on that it is draining, while its entry still says ready.
  void AnnounceEnd();
  /// Adds a Retry-After header of so many seconds to its rejections (status 503) from now on;
  /// nullopt: no header.
  void SetRetryAfter(std::optional<double> seconds) { m_retry_after = seconds; }
  /// Announces a rate limit in requests per second in its responses from now on; nullopt: no limit.
  void SetLimit(std::optional<double> per_second);

  void OnRequest(const std::shared_ptr<Http::ServerConnection>& connection,
                 Http::ReceivedRequest request) override;
  const Http::ServerLimits& Limits() const override { return m_limits; }
  bool IsStopping() const override { return false; }

private:
  using Connection = std::shared_ptr<Http::ServerConnection>;

  /// Ends the current instance: drops its models, rate limit and drain announcement, and resets all
  /// connections.
  void BeginLife();
  Common::Result<Common::Done> Open();
  void WriteEntry();
  /// Records an announcement in the response to the request, if the server announces that it is
  /// draining.
  void NoteAnnouncement(const std::string& id);
  void Serve(const Connection& connection, const Http::ReceivedRequest& request);
  void Stream(const Connection& connection, const std::string& id, int event);
  void TakeOrder(const Connection& connection, const Http::ReceivedRequest& request);
  /// Carries out an order; returns the status of the response.
  int Carry(const Common::Json& order);
  /// Responds that the request has not run.
  void Reject(const Connection& connection, int status, const std::string& id);
  /// Calls the callback after the delay, unless the instance has ended by then.
  void After(Common::Milliseconds delay, std::function<void()> callback);
  /// Adds the headers that all responses to requests have.
  std::vector<Http::HeaderField> AnswerHeaders(std::vector<Http::HeaderField> headers) const;

  std::string m_name;
  std::string m_instance;
  Http::Endpoint m_endpoint;
  StandInStore& m_store;
  Ledger& m_ledger;
  std::optional<Http::TcpListener> m_listener; ///< None while the process is down.
  Http::ServerLimits m_limits;
  std::map<Http::ServerConnection*, Connection> m_connections;
  std::vector<std::string> m_disk;
  std::set<std::string> m_models;
  std::int64_t m_sequence = 0;
  std::int64_t m_born = 0; ///< Start of this instance, Unix time in milliseconds.
  bool m_busy = false;
  bool m_draining = false;
  int m_life = 0; ///< Number of instances so far.
  ServerMood m_mood = ServerMood::Well;
  std::optional<double> m_limit;       ///< Requests per second.
  std::optional<double> m_retry_after; ///< Seconds.
  bool m_announces_end = false;
};
} // namespace Soak
