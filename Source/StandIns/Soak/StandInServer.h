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
/// How a backend server behaves at the moment.
enum class ServerMood
{
  Well,
  Resets,     ///< Breaks off answers.
  Silent,     ///< Takes requests and says nothing.
  Sheds,      ///< Rejects requests before they run.
  LateOrders, ///< Leaves orders unanswered and carries them out seconds later.
};

/// A stand-in for a backend server with a model engine: requests, streams, orders, its entry.
class StandInServer : public Http::RequestHandler
{
public:
  StandInServer(std::string name, Http::Endpoint endpoint, StandInStore& store, Ledger& ledger,
                std::vector<std::string> models);

  Common::Result<Common::Done> Listen();
  /// Ends every connection, forgets models and orders, and comes back as another instance.
  void Restart();
  /// The same, but it comes back under its id with a later start, and its entry tells of that only
  /// after `until_entry`. Orders of before that it carries out late reach the new life.
  void RestartUnderItsId(Common::Milliseconds until_entry);
  void Drain();
  /// The process ends: connections break and new ones are refused. Its entry stays for
  /// `until_gone`; then it comes back as another instance.
  void Crash(Common::Milliseconds until_gone);
  /// Bodies that begin so belong to requests that end every server that begins to run them.
  static constexpr std::string_view CRASHER_PREFIX = "crash ";
  void SetMood(ServerMood mood) { m_mood = mood; }
  /// Says in its answers from now on that it leaves, though its entry calls it ready.
  void AnnounceEnd();
  /// Names in its rejections from now on the seconds for which it wants no request; nothing: none.
  void SetRetryAfter(std::optional<double> seconds) { m_retry_after = seconds; }
  /// Names in its answers from now on how many requests a second it takes; nothing: no limit.
  void SetLimit(std::optional<double> per_second);

  void OnRequest(const std::shared_ptr<Http::ServerConnection>& connection,
                 Http::ReceivedRequest request) override;
  const Http::ServerLimits& Limits() const override { return m_limits; }
  bool IsStopping() const override { return false; }

private:
  using Connection = std::shared_ptr<Http::ServerConnection>;

  void BeginLife();
  Common::Result<Common::Done> Open();
  void WriteEntry();
  /// The answer to the request says that the server leaves.
  void NoteAnnouncement(const std::string& id);
  void Serve(const Connection& connection, const Http::ReceivedRequest& request);
  void Stream(const Connection& connection, const std::string& id, int event);
  void TakeOrder(const Connection& connection, const Http::ReceivedRequest& request);
  int Carry(const Common::Json& order);
  void Reject(const Connection& connection, int status, const std::string& id);
  void After(Common::Milliseconds delay, std::function<void()> callback);
  /// `headers` with those that all answers to requests have.
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
  std::int64_t m_born = 0; ///< Unix milliseconds of this life's start.
  bool m_busy = false;
  bool m_draining = false;
  int m_life = 0;
  ServerMood m_mood = ServerMood::Well;
  std::optional<double> m_limit;       ///< Requests a second.
  std::optional<double> m_retry_after; ///< Seconds.
  bool m_announces_end = false;
};
} // namespace Soak
