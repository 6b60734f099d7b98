// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Accounts/LocalAllowances.h"
#include "Common/Reactor.h"
#include "Crashes/Fingerprint.h"
#include "Crashes/PartEvidence.h"
#include "Gateway/CrashDetector.h"
#include "Gateway/EventSplitter.h"
#include "Gateway/LateReplicas.h"
#include "Gateway/ServerDirectory.h"
#include "Gateway/ServerSignals.h"
#include "Gateway/StreamOrigins.h"
#include "Gateway/Types.h"
#include "Http/OriginConnection.h"
#include "Http/ServerConnection.h"

namespace Gateway
{
class Dispatcher;

/// Why and for how long a request is refused without waiting any longer.
struct EarlyRefusal
{
  Common::Milliseconds retry_after{0};
  std::string_view why;
  /// The server with the shortest expected wait, if the servers that hold the model have a limit or
  /// a Retry-After in force; otherwise null.
  ServerPtr holder;
  bool for_late_replicas = false; ///< All replicas of the model serve no request in time.
};

/// Why a request ended, for logs and counters.
enum class Outcome
{
  Answered,  ///< A complete response of a backend server was forwarded.
  Refused,   ///< Ended without having run; the caller may retry.
  Failed,    ///< Ended with an error after it may have run.
  BrokenOff, ///< The stream was cut off after its beginning had been sent.
  CallerGone,
  NoRoute,
  Denied,    ///< The caller has no key that allows it.
  OverLimit, ///< The caller's account has used up its limit.
  Blocked,   ///< Servers that ran it have crashed.
};
std::string_view ToString(Outcome outcome);

/// How the software version that began a resumed stream became known, for logs and counters.
enum class OriginSource
{
  NotResumed,
  Own,         ///< This daemon knew it.
  OtherDaemon, ///< Another daemon knew it.
  OnlyVersion, ///< The servers have had only one version.
  Unknown,
};
std::string_view ToString(OriginSource source);

/// Proxies one request to a backend server and its response back to the caller. Holds all state of
/// the request; shared state (servers, budget, configuration) belongs to the dispatcher.
class Relay : public Http::ResponseHandler, public std::enable_shared_from_this<Relay>
{
public:
  /// Servers that may crash under the request in one attempt of its caller.
  static constexpr int MAX_CRASHES_PER_ATTEMPT = 2;

  Relay(Dispatcher& dispatcher, std::shared_ptr<Http::ServerConnection> caller,
        Http::ReceivedRequest request);
  ~Relay() override;

  /// Finds the route and sends the request, or queues it until a server is available.
  void Start();
  /// Tries to send a waiting request; called when servers or models have changed.
  void TryDispatch();

  bool IsWaiting() const { return m_waiting; }
  /// True if a server has got the request, or may have.
  bool HasBeenSent() const { return m_arrivals > 0 || m_may_have_run || m_stream_begun; }
  /// How long the caller still waits for the first data of a response.
  Common::Milliseconds PatienceLeft(Common::TimePoint now) const;
  /// The current attempt, until its first event.
  ReplicaAttempt Attempt() const { return m_attempt; }
  /// The server that has the request, or is about to get it; null if there is none.
  const ServerPtr& AssignedServer() const { return m_server; }
  /// True if the request is on a direct connection and its server has sent nothing for so long that
  /// the path to the server should be checked.
  bool IsSilentOnDirectPath(Common::TimePoint now) const;
  /// Sends the request elsewhere if it waits on a direct connection to a server that this VM can no
  /// longer connect to, and it may run again or none of it has been sent.
  void LeaveDirectPath();
  /// True if as many connections broke in this attempt as servers may crash under it.
  bool MustNotCrashMore() const { return m_broken_connections >= MAX_CRASHES_PER_ATTEMPT; }
  /// True while the request waits for units of its account's limit, before it looks for a server.
  bool AwaitsAllowance() const { return m_awaits_allowance; }
  /// Tries again to take the units of the account's limit that the request waits for.
  void RetryAllowance();
  bool IsDone() const { return m_done; }
  const Artifact& RequestedArtifact() const { return m_artifact; }
  const PoolId& SelectedPool() const { return m_pool; }
  /// The priority of the caller's account; if that has none, of the route.
  int Priority() const { return m_priority; }
  Common::TimePoint ArrivedAt() const { return m_arrived; }
  Common::TimePoint Deadline() const { return m_deadline; }
  const std::string& Id() const { return m_id; }
  /// Routing key of the artifact and all parts of the prompt but the last, so that requests whose
  /// prompts begin with the same parts go to the same server.
  const std::string& AffinityKey() const { return m_affinity; }
  /// True if the route allows the request to be sent to the server: to a new server while fewer
  /// than `max_servers` have been tried, then to the tried ones again. A server that rejected the
  /// request with a Retry-After is always allowed again.
  bool MaySendTo(const InstanceId& instance) const;
  /// The parts of the prompt that other requests may have too.
  const Crashes::SharedParts& PromptParts() const { return m_prompt_parts; }
  /// True if the current server has written events for some time, so that it does not crash on the
  /// prompt.
  bool HasWritten() const { return m_has_written; }
  const Route& MatchedRoute() const { return m_route; }
  /// Identifies the request when its caller retries it. Computed on first use.
  const Crashes::Fingerprint& Fingerprint();
  /// How much longer the request may wait for a server.
  Common::Milliseconds WaitLeft(Common::TimePoint now) const;
  /// Refuses the request if it waits for a server that will not take it in time and no other server
  /// can serve it.
  void RecheckWait();
  /// True if the route or the caller's account restricts the regions in which the request may run.
  bool HasAllowedRegions() const;
  /// True if both the route and the caller's account allow the request to run in the region.
  bool MayRunIn(const Common::RegionId& region) const;
  /// Redirects the request to another server if it is assigned to one of `servers`, which should
  /// get no requests for the reason `why`, and none of its bytes have been sent yet.
  void WithdrawUnsent(const std::set<ServerPtr>& servers, std::string_view why);
  /// True if the request resumes a stream, and the software version that began it is known.
  bool IsBoundToVersion() const { return m_stream_version.has_value(); }
  /// True if the request resumes a stream whose version is known, and no server has got it yet.
  bool IsUnsentContinuation() const { return IsBoundToVersion() && m_arrivals == 0; }
  /// False if the request resumes a stream that a server with other software began.
  bool MayContinueAt(const PoolId& pool, const SoftwareVersion& version) const
  {
    return !m_stream_version || *m_stream_version == KeyOf(pool, version);
  }
  bool MayContinueAt(const ServerEntry& server) const
  {
    return MayContinueAt(server.pool, server.version);
  }
  /// True if the request waits for the origin of this stream.
  bool AwaitsOrigin(StreamKey stream) const { return m_awaits_origin && m_stream == stream; }
  /// Goes on with the origin, which another daemon knew.
  void LearnOrigin(const StreamOrigins::Entry& entry, const OriginEvidence& evidence);
  /// Goes on if only one version can have begun the stream. Refuses the request if several can and
  /// no more replies are expected.
  void LearnNoOrigin(const OriginEvidence& evidence);
  /// Goes on if the request waits for the origin of its stream, and the versions that the servers
  /// have had are known now and are only one.
  void RecheckOrigin();
  /// Goes on if the request waits for what the servers' newest entries show.
  void RecheckProof();
  Crashes::RequestIdentity Identity() const;

  /// Ends the request if it is blocked because servers crashed while they ran it, unless a server
  /// has already begun to respond.
  void EndIfBlocked();

  /// Gives up the response that is being received because it needs too much memory.
  void FailOversizedResponse(std::string_view why);

  /// Ends the request with an error because the process shuts down.
  void CancelForShutdown();

  HeadAction OnResponseHead(Http::MessageHead& head) override;
  void OnInterimHead(Http::MessageHead& head) override;
  void OnResponseBody(std::string_view bytes) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(Http::ExchangeError breakage) override;

private:
  static constexpr int STATUS_BAD_GATEWAY = 502;
  static constexpr int STATUS_UNAVAILABLE = 503;
  static constexpr int STATUS_GATEWAY_TIMEOUT = 504;
  /// Lower bound for the stall timeout of a stream, whatever the targets of its route.
  static constexpr Common::Milliseconds MIN_STREAM_STALL_TIMEOUT{1000};

  /// Identifies the caller's account; false if the request has ended.
  bool AuthenticateCaller(const Configuration& configuration);
  /// Checks that the key is still valid; false if the request has ended.
  bool VerifyKey();
  void Deny(int status, std::string_view why);
  /// Takes the units that the request costs from its account's limit and begins to send it;
  /// otherwise waits for units or refuses the request.
  void TakeAllowance();
  void RefuseAllowance(Accounts::UsageVerdict verdict);
  /// Returns the request's units to its account if it has not run.
  void ReturnAllowance();
  /// Ends the request and returns true if it is blocked.
  bool RefuseIfBlocked();
  /// Ends the request and returns true if the process stops, and may end it while a server runs it:
  /// it may run once only and need not end before.
  bool RefuseIfStopIsFirst();
  /// Records that the current server writes on the prompt.
  void NoteWritten();
  /// Ends the request if too many servers have crashed under it in this attempt. Going on would let
  /// it crash further ones before other daemons know of it, together with the requests that its
  /// servers had beside it.
  bool FailAfterCrashes();
  /// Returns true if the caller resumes a stream and this daemon does not know which software
  /// version began it. The request then waits for the replies of other daemons, or has ended.
  bool MustAwaitOrigin();
  /// From now on the request may go only to servers of the version that began the stream.
  void BindToOrigin(const StreamOrigins::Entry& entry, OriginSource source);
  /// Does the same with the only version that the pool's servers have had, and returns true.
  /// Returns false if they had several, or may have had others that are not known here.
  bool BindToOnlyVersion();
  /// True if this daemon, perhaps together with one that replied, knows all versions that the pool
  /// has had, or no other one could.
  bool IsHistoryKnown() const;
  /// True if no server that was listed when the request arrived is missing here. Otherwise the
  /// request is called back after the next proof. Without other daemons, nothing can be missing.
  bool KnowsServersAtArrival();
  /// The versions that the pools have had in which the stream may have begun.
  std::set<SoftwareVersion> RecentVersions() const;
  /// The pools in which the stream that the caller resumes may have begun.
  std::set<PoolId> PoolsOfStream() const;
  void AwaitOriginUntilExpiry();
  void OnOriginWaitExpired();
  void RefuseUnknownOrigin();
  /// Ends the wait for the origin and looks for a server.
  void ContinueWithOrigin();
  void LogOrigin(const StreamOrigins::Entry* entry) const;
  /// Records at regular intervals that the stream is still running.
  void NoteStream();
  /// Draws among the route's pools with servers that may continue the stream, if there are any.
  void SelectPoolOfVersion();
  /// Looks for a server, after the account's limit has been checked.
  void FindServer();
  /// The values of the key headers in the order in which they appear.
  std::vector<std::string_view> Keys() const;
  void ReadHeaders();
  void StartTimers();
  /// What ties the responses of servers to this request.
  Http::RequestIdentity Identified() const;
  /// Sends the request over `m_connection`.
  void Send(const ServerPtr& server);
  Common::Milliseconds TimeLeft() const;

  // Handling of responses.
  void HandleRejection();
  void HandleCompleteResponse();
  /// Records that the server has completed the request, once that is certain.
  void NotePlainSuccess();
  /// Time since the response head arrived; unset before.
  std::optional<Common::Milliseconds> ResponseTime() const;
  /// Records that a connection to the server was refused or not established in time.
  void NoteConnectFailure(bool timed_out, bool through_helper);
  /// Records the bytes that the response takes in memory. Fails it if they are too many.
  void BoundBufferedBytes();
  bool IsValidResponse(const Http::MessageHead& head) const;
  /// True if the response came from a different server process than the one addressed.
  bool IsFromOtherInstance() const;
  void ForwardEvents(const std::string& events);
  /// True if the end of the stream that was received cannot be that of a complete one: it lies
  /// inside an event, or the connection ended before the first event.
  bool LooksBrokenOff() const;
  /// Begins the caller's response to a stream.
  void BeginStream();
  void FinishStream();
  /// Checks whether the server crashed when its connection ended between two events of a stream
  /// without a stated end, which then is not complete.
  void CheckUnstatedEnd();
  void OnCrashCheck(CrashDetector::CheckResult result);
  /// Ends the caller's response to a stream.
  void EndStream();
  /// Resumes a stream that the caller gets in chunks, after a server sent its continuation without
  /// a stated end: the next server sends what is left and states the end. If the continuation
  /// brought no event, no server is expected to state it.
  void ResumeToFindEnd();
  /// Forwards the saved response in full, or the error that stands for it.
  void ForwardSavedResponse();
  /// Forgets the saved response.
  void DropSavedResponse();

  // Handling of failed attempts.
  void AttemptFailed(std::string_view why, bool may_have_run);
  /// The beginning of the caller's list of prompt parts.
  std::string_view PromptPartsForLog() const;
  bool MayTryAgain(bool may_have_run) const;
  /// True if the route allows the request to be sent to one more server.
  bool MayTryNewServer() const;
  void WaitForServer();
  /// Ends the request and returns true if it cannot be served before its caller disconnects.
  bool RefuseEarly();
  /// True if the request continues a stream, no known server may continue it, and entries newer
  /// than the request, which are on their way, may show one. It is called back once they are here.
  bool AwaitsNewerEntries();
  /// Ends the request and returns true if it continues a stream that no server may continue any
  /// more.
  bool EndIfVersionIsGone();
  void LogEarlyRefusal(const EarlyRefusal& refusal) const;
  void OnWaitExpired();
  void OnDeadline();
  void OnStall(Common::Milliseconds span);
  void ArmStallTimer(Common::Milliseconds span);

  /// Takes back an attempt of which no byte was sent.
  void ForgetAttempt();
  /// Ends a request that no server will serve any more. Alone decides what its caller gets: nothing
  /// further of a stream that has begun, else the saved response of a server, else
  /// `failure_status` if the request may have run, else a refusal.
  void EndUnserved(std::string_view why, int failure_status = STATUS_BAD_GATEWAY);
  /// True if the connection has sent anything, or an earlier attempt was sent to a server that has
  /// not confirmed that the request did not run.
  bool MayHaveRun() const;
  /// Refuses a request that has not run.
  void Refuse(std::string_view why);
  /// What the request waits for, for the log: "units" of its account's limit, the "origin" of its
  /// stream, a "load" of its model, a "place" at a server or a "connection"; empty if for none.
  std::string_view AwaitedResource() const;
  /// The value of the Retry-After header in seconds.
  std::string RetryAfter() const;
  void EndWith(Outcome outcome, int status, std::string_view why);
  void ReleaseServer();
  void DropConnection();

  Dispatcher& m_dispatcher;
  std::shared_ptr<Http::ServerConnection> m_caller;
  Http::ReceivedRequest m_request;
  Route m_route;
  PoolId m_pool;
  Accounts::AccountName m_account; ///< Empty if the route needs no key.
  /// The account from the configuration that was in force when the request arrived.
  std::shared_ptr<const Accounts::Account> m_account_config;
  double m_cost = 0; ///< In the units of the account's limit.
  bool m_charged = false;
  bool m_awaits_allowance = false;
  int m_priority = 0;
  Artifact m_artifact;
  std::string m_id;
  std::string m_affinity;
  Crashes::SharedParts m_prompt_parts;
  std::optional<Crashes::Fingerprint> m_fingerprint;
  Common::TimePoint m_arrived;
  Common::TimePoint m_deadline;
  Common::Milliseconds m_idle_timeout{0}; ///< How long the caller waits without receiving data.
  Common::OwnedTimer m_deadline_timer;
  Common::OwnedTimer m_wait_timer;
  Common::OwnedTimer m_stall_timer;

  ServerPtr m_server;
  std::shared_ptr<Http::OriginConnection> m_connection;
  /// Of the last attempt, for the log: its connection, and how many requests that had carried with
  /// this one.
  std::uint64_t m_connection_number = 0;
  int m_connection_requests = 0;
  /// Bytes of the request that were not sent when the response of the last server ended.
  std::size_t m_request_unsent = 0;
  /// The daemon through which `m_connection` was opened; unset if it is direct or was kept.
  std::optional<Http::Endpoint> m_helper;
  std::set<InstanceId> m_tried_servers;
  /// Those of m_tried_servers that rejected the request with a Retry-After.
  std::set<InstanceId> m_deferred_by;
  Common::TimePoint m_sent_at; ///< To the current server.
  ReplicaAttempt m_attempt = ReplicaAttempt::None;
  /// When the response head of the current server arrived.
  std::optional<Common::TimePoint> m_response_began_at;
  int m_broken_connections = 0; ///< While a server had the request.
  int m_arrivals = 0; ///< How often the request has reached, or may have reached, a server.
  bool m_may_have_run = false;
  bool m_waiting = false;
  bool m_done = false;

  Http::MessageHead m_head; ///< Of the current response.
  ServerSignals m_signals;  ///< Of the current response.
  bool m_is_stream = false;
  std::string m_body;
  /// The response to forward: the latest one, or a server's first 5xx response while the request is
  /// retried elsewhere. Unset once the caller's response has begun.
  std::optional<Http::MessageHead> m_saved_head;
  std::string m_saved_body;
  EventSplitter m_events;
  bool m_stream_begun = false; ///< Bytes of the stream have been sent to the caller.
  Http::BodyFraming m_framing = Http::BodyFraming::Chunked; ///< Of the begun stream.
  /// When the current server sent its first event.
  std::optional<Common::TimePoint> m_writing_since;
  bool m_has_written = false;
  /// The request is sent to find out whether a blocked part of its prompt crashes servers.
  bool m_is_probe = false;
  bool m_received_events = false; ///< The current server has sent events that the caller lacked.
  /// Version of the servers' software that began the stream; unset before.
  std::optional<VersionKey> m_stream_version;
  StreamKey m_stream{};
  /// Of a resumed stream, if it is known.
  std::optional<StreamOrigin> m_origin;
  OriginSource m_origin_source = OriginSource::NotResumed;
  OriginEvidence m_origin_evidence;
  Common::TimePoint m_stream_noted_at;
  /// The request that brought the first event of the stream that the caller resumes; empty if the
  /// caller does not name it.
  std::string m_resumes;
  bool m_awaits_origin = false;
  std::optional<Common::Milliseconds> m_first_event_after;
  Common::TimePoint m_last_event_at;
  Common::TimePoint m_last_progress_at;
  Common::Milliseconds m_longest_pause{0};
  std::string m_last_reason;
  /// How long the caller should wait before it retries a refused request; unset: a short default.
  std::optional<Common::Milliseconds> m_retry_after;
};
} // namespace Gateway
