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
#include "StandIns/Soak/InvariantChecker.h"
#include "StandIns/Soak/StandInStore.h"
#include "StandIns/Soak/SurplusResponses.h"
#include "StandIns/Support/CutConnections.h"

namespace Soak
{
/// The active fault of a backend server.
enum class ServerFault
{
  None,              ///< No fault.
  ResetConnections,  ///< Resets some connections instead of or during the response.
  Unresponsive,      ///< Accepts requests and sends nothing.
  RejectRequests,    ///< Rejects requests before they run, with status 503.
  DelayOrders,       ///< Sends no response to orders and carries them out seconds later.
  UnframedResponses, ///< Sends responses without a stated end, and closes some inside an event.
};

/// A stand-in for a backend server with a model server: serves requests and streams, carries out
/// orders, and writes its entry into the store.
class StandInServer : public Http::RequestHandler
{
public:
  static constexpr int EVENTS_PER_STREAM = 25;
  StandInServer(std::string name, Http::Endpoint endpoint, StandInStore& store,
                InvariantChecker& checker, std::vector<std::string> models);

  /// Sets the software version of its entry, which each event of its streams then names, and its
  /// data centre. Must be called before `Listen`.
  void RunSoftware(std::string version, std::string data_centre);
  /// Sets the pause between the events of a stream.
  void SetEventInterval(Common::Milliseconds interval) { m_event_interval = interval; }
  /// Listens and starts the first instance.
  Common::Result<Common::Done> Listen();
  /// Resets all connections, drops models and orders, and starts a new instance. Has no effect
  /// while the process is down.
  void Restart();
  /// The same, but the new instance has the id of the old one and a later start time, which its
  /// entry shows only after `entry_delay`. Delayed orders to the old instance are carried out by
  /// the new one.
  void RestartWithSameId(Common::Milliseconds entry_delay);
  /// Sets its entry to draining.
  void Drain();
  /// Cuts the connections with these VMs, or ends the cut of all.
  void SetCut(const StandIns::NetworkCut& cut);
  void EndCut();
  /// Ends for good: removes the entry, resets all connections and refuses new ones.
  void Retire();
  /// Writes its entry again, which the store has lost.
  void RenewEntry();
  /// The key of its entry.
  const std::string& Instance() const { return m_instance; }
  /// True if it takes requests and its entry says so.
  bool IsReady() const { return m_listener && !m_draining; }
  /// True if it is ready and serves all requests as they come.
  bool TakesRequests() const
  {
    return IsReady() && m_fault == ServerFault::None && !m_rate_limit && !m_announces_drain &&
           !m_misbehaves && !m_sends_malformed;
  }
  /// True after a crash, until the process is started again.
  bool IsDown() const { return !m_listener; }
  const std::string& Version() const { return m_version; }
  /// Crashes: resets all connections and refuses new ones. The entry stays for `down_time`, after
  /// which a new instance starts.
  void Crash(Common::Milliseconds down_time);
  /// Start of the body of crashing requests, which crash each server that starts to run them.
  static constexpr std::string_view CRASHING_BODY_PREFIX = "crash ";
  /// Start of the body of requests whose stream is reset once, after the event whose number
  /// follows.
  static constexpr std::string_view BREAKING_BODY_PREFIX = "break after ";
  /// Part of a prompt that crashes each server that starts to run a request with it, unless it is
  /// the last one.
  static constexpr std::string_view CRASHING_PART = "bad0";
  /// Header with the number of the caller's attempt, from 2; its attempts have one id.
  static constexpr const char* ATTEMPT_HEADER = "Caller-Attempt";
  /// The name of an attempt for the checker and in responses: the id, and the number from 2 on.
  static std::string AttemptName(const std::string& id, int number);
  void SetFault(ServerFault fault) { m_fault = fault; }
  /// From now on, or no longer: sends a share of its responses twice, and rejects, fails and breaks
  /// off a share of its requests, whatever its other fault is.
  void SetSurplusResponses(bool active);
  /// From now on, or no longer: a share of its responses is not well-formed.
  void SetMalformedResponses(bool active) { m_sends_malformed = active; }
  int SurplusCopies() const { return m_responses.Copies(); }
  /// Announces in its responses from now on that it is draining, while its entry still says ready.
  void AnnounceDrain();
  /// Adds a Retry-After header of so many seconds to its rejections (status 503) from now on;
  /// nullopt: no header.
  void SetRetryAfter(std::optional<double> seconds) { m_retry_after = seconds; }
  /// Announces a rate limit in requests per second in its responses from now on; nullopt: no limit.
  void SetRateLimit(std::optional<double> per_second);

  void OnRequest(const std::shared_ptr<Http::ServerConnection>& connection,
                 Http::ReceivedRequest request) override;
  const Http::ServerLimits& Limits() const override { return m_limits; }
  bool IsStopping() const override { return false; }

private:
  using Connection = std::shared_ptr<Http::ServerConnection>;
  /// Where a stream is broken off, and whether the server crashes there.
  struct Break
  {
    int after = 0; ///< Number of the last event; 0: it is not broken off.
    bool crashes = false;
  };

  /// Ends the current instance: drops its models, rate limit and drain announcement, and resets all
  /// connections.
  void ResetInstance();
  Common::Result<Common::Done> OpenListener();
  void WriteEntry();
  /// Records an announcement in the response to the request, if the server announces that it is
  /// draining.
  void RecordAnnouncement(const std::string& id);
  /// What in the request crashes servers; empty if nothing does.
  static std::string CauseOfCrash(const Http::ReceivedRequest& request);
  void ServeRequest(const Connection& connection, const Http::ReceivedRequest& request);
  /// Rejects a share of the requests. Returns true if it did.
  bool RejectByChance(const Connection& connection, const std::string& id);
  /// Answers 500 to a share of the requests, or stops within the response. Returns true if it did.
  bool FailByChance(const Connection& connection, const std::string& id, bool is_resumable);
  /// Answers a share of the requests with a malformed response. Returns true if it did.
  bool RespondMalformedByChance(const Connection& connection, const std::string& id);
  /// Where the stream of the request is broken off.
  Break DrawBreak(const Http::ReceivedRequest& request) const;
  /// How the body of the next response states its end.
  Http::BodyFraming Framing() const;
  /// Sends an event of the stream and those that follow, up to the break.
  void Stream(const Connection& connection, const std::string& id, int event, Break at);
  void HandleOrder(const Connection& connection, const Http::ReceivedRequest& request);
  /// Carries out an order; returns the status of the response.
  int ExecuteOrder(const Common::Json& order);
  /// Responds that the request has not run.
  void Reject(const Connection& connection, int status, const std::string& id);
  /// Calls the callback after the delay, unless the instance has ended by then.
  void After(Common::Milliseconds delay, std::function<void()> callback);
  /// Names this instance also where it has the id of the one before.
  std::string LifeName() const;
  /// Adds the headers that all responses to requests have.
  std::vector<Http::HeaderField> ResponseHeaders(std::vector<Http::HeaderField> headers) const;

  std::string m_name;
  std::string m_version; ///< Of the software; empty if the entry has none.
  std::string m_data_centre = "z1";
  Common::Milliseconds m_event_interval{8};
  std::string m_instance;
  Http::Endpoint m_endpoint;
  StandInStore& m_store;
  InvariantChecker& m_checker;
  std::optional<Http::TcpListener> m_listener; ///< None while the process is down.
  Http::ServerLimits m_limits;
  std::map<Http::ServerConnection*, Connection> m_connections;
  StandIns::CutConnections m_cut;
  SurplusResponses m_responses;
  bool m_sends_malformed = false;
  bool m_misbehaves = false; ///< Rejects, fails and breaks off a share of its requests.
  std::vector<std::string> m_models_on_disk;
  std::set<std::string> m_models;
  std::int64_t m_sequence = 0;
  std::int64_t m_start_ms = 0;  ///< Start of this instance, Unix time in milliseconds.
  std::int64_t m_heartbeat = 0; ///< Of its latest entry.
  bool m_busy = false;
  bool m_draining = false;
  int m_instance_number = 0; ///< Increases at each restart and crash.
  ServerFault m_fault = ServerFault::None;
  std::optional<double> m_rate_limit;  ///< Requests per second.
  std::optional<double> m_retry_after; ///< Seconds.
  bool m_announces_drain = false;
};
} // namespace Soak
