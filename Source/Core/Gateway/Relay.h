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
#include "Gateway/EventSplitter.h"
#include "Gateway/ServerDirectory.h"
#include "Gateway/ServerSignals.h"
#include "Gateway/Types.h"
#include "Http/OriginConnection.h"
#include "Http/ServerConnection.h"

namespace Gateway
{
class Dispatcher;

/// A request that is refused at once.
struct EarlyRefusal
{
  Common::Milliseconds come_back_after{0};
  std::string_view why;
  /// With the shortest wait, where holders have a limit or want no requests yet.
  ServerPtr holder;
};

/// Why a request ended, for logs and counters.
enum class Outcome
{
  Answered,  ///< A backend server's answer was passed on whole.
  Refused,   ///< Given up before it ran; the caller may come back.
  Failed,    ///< Given up after it may have run.
  BrokenOff, ///< The stream was cut after its beginning had gone out.
  CallerGone,
  NoRoute,
  Denied,    ///< The caller has no key that allows it.
  OverLimit, ///< The caller's account has used up its limit.
  Blocked,   ///< Servers that ran it have ended.
};
std::string_view ToString(Outcome outcome);

/// Carries one request to a backend server and the answer back. Holds all state of the request;
/// what is shared (servers, budget, configuration) belongs to the dispatcher.
class Relay : public Http::AnswerEvents, public std::enable_shared_from_this<Relay>
{
public:
  Relay(Dispatcher& dispatcher, std::shared_ptr<Http::ServerConnection> caller,
        Http::ReceivedRequest request);
  ~Relay() override;

  /// Finds the route and sends the request, or lets it wait for a server.
  void Start();
  /// Tries to send a waiting request; called when servers or models have changed.
  void TryDispatch();

  bool IsWaiting() const { return m_waiting; }
  /// Waits for units of its account's limit, and for nothing else yet.
  bool AwaitsAllowance() const { return m_awaits_allowance; }
  /// Units may have come.
  void TryAllowance();
  bool IsDone() const { return m_done; }
  const Artifact& Wanted() const { return m_artifact; }
  const PoolId& WantedPool() const { return m_pool; }
  /// Of the caller's account; where it has none, of the route.
  int Priority() const { return m_priority; }
  Common::TimePoint ArrivedAt() const { return m_arrived; }
  Common::TimePoint Deadline() const { return m_deadline; }
  const std::string& Id() const { return m_id; }
  /// Tokens-independent key that keeps requests with the same prompt beginning together.
  const std::string& AffinityKey() const { return m_affinity; }
  /// True where the request may be sent to the server, as far as its route says: to each server
  /// once, to so many at most, and then to the same again; and again to one that has named the time
  /// when it takes it.
  bool MayGoTo(const InstanceId& instance) const;
  const Route& MatchedRoute() const { return m_route; }
  /// By which the request is recognised when it comes again. Made when it is first asked for.
  const Crashes::Fingerprint& Fingerprint();
  /// How much longer it waits for a server.
  Common::Milliseconds WaitLeft(Common::TimePoint now) const;
  /// It waits for a server with a limit that will have no time for it: refused where it cannot be
  /// served elsewhere either.
  void ReviewWait();
  /// These servers have named a Retry-After: if this request has not gone out to one of them yet,
  /// it goes elsewhere.
  void WithdrawUnsent(const std::set<ServerPtr>& servers);
  Crashes::RequestIdentity Identity() const;

  /// Servers have ended under the request: it is not sent again, nor waited for.
  void EndIfBlocked();

  /// The process stops: what is not finished is given up now.
  void GiveUpForStop();

  Verdict OnAnswerHead(Http::MessageHead& head) override;
  void OnInterimHead(Http::MessageHead& head) override;
  void OnAnswerBody(std::string_view bytes) override;
  void OnAnswerEnd() override;
  void OnAnswerBroken(Http::Breakage breakage) override;

private:
  /// A stream that is silent for less is left alone, whatever its route aims at.
  static constexpr Common::Milliseconds MIN_STREAM_SILENCE{1000};

  /// Finds out who calls; false where the request has been answered.
  bool AdmitCaller(const Configuration& configuration);
  /// The key still allows the request; false where the request has been answered.
  bool KeyStillAllows();
  void Deny(int status, std::string_view why);
  /// Takes the request's units of its account's limit and sends the request; or lets it wait for
  /// units, or refuses it.
  void TakeAllowance();
  void RefuseAllowance(Accounts::UsageVerdict verdict);
  /// The request has not run: others may have its units.
  void ReturnAllowance();
  /// True where the request is blocked; it has been answered then.
  bool AnswerIfBlocked();
  /// Accepted by all limits: finds a server.
  void Begin();
  /// The values of the key headers, in their order.
  std::vector<std::string_view> Keys() const;
  void ReadHeaders();
  void StartTimers();
  void Send(const ServerPtr& server);
  Common::Milliseconds TimeLeft() const;

  // What came back.
  void HandleRejection();
  void HandleWholeAnswer();
  bool IsSound(const Http::MessageHead& head) const;
  /// Another process than the request was sent to has answered.
  bool IsOfAnotherInstance() const;
  void ForwardEvents(const std::string& events);
  void FinishStream();
  void PassAnswerOn();

  // What to do when an attempt has failed.
  void AttemptFailed(std::string_view why, bool may_have_run);
  bool MayTryAgain(bool may_have_run) const;
  /// The route allows it one more server.
  bool MayGoToAnother() const;
  void Wait();
  /// True where the request has ended, as it cannot be served before its caller leaves.
  bool RefuseEarly();
  void LogEarlyRefusal(const EarlyRefusal& refusal) const;
  void OnWaitExpired();
  void OnDeadline();
  void OnSilence(Common::Milliseconds span);
  void ArmSilenceTimer(Common::Milliseconds span);

  void Refuse(std::string_view why);
  void Fail(int status, std::string_view why);
  /// Seconds, for the header of that name.
  std::string RetryAfter() const;
  void EndWith(Outcome outcome, int status, std::string_view why);
  void ReleaseServer();
  void DropConnection();

  Dispatcher& m_dispatcher;
  std::shared_ptr<Http::ServerConnection> m_caller;
  Http::ReceivedRequest m_request;
  Route m_route;
  PoolId m_pool;
  Accounts::AccountName m_account; ///< Empty where no key is asked for.
  /// The account as the configuration had it when the request came.
  std::shared_ptr<const Accounts::Account> m_limited;
  double m_cost = 0; ///< In the units of the account's limit.
  bool m_charged = false;
  bool m_awaits_allowance = false;
  int m_priority = 0;
  Artifact m_artifact;
  std::string m_id;
  std::string m_affinity;
  std::optional<Crashes::Fingerprint> m_fingerprint;
  Common::TimePoint m_arrived;
  Common::TimePoint m_deadline;
  Common::Milliseconds m_patience{0}; ///< So long the caller stays without a word.
  Common::OwnedTimer m_deadline_timer;
  Common::OwnedTimer m_wait_timer;
  Common::OwnedTimer m_silence_timer;

  ServerPtr m_server;
  std::shared_ptr<Http::OriginConnection> m_connection;
  std::set<InstanceId> m_tried;
  std::set<InstanceId> m_deferred_by; ///< Of these, who rejected it and named a time to come again.
  Common::TimePoint m_sent_at;        ///< To the server that has the request now.
  /// The first word of that server.
  std::optional<Common::TimePoint> m_server_spoke_at;
  int m_arrivals = 0; ///< Times the request has reached, or may have reached, a server.
  bool m_may_have_run = false;
  bool m_waiting = false;
  bool m_done = false;

  Http::MessageHead m_head; ///< Of the answer at hand.
  ServerSignals m_signals;  ///< The same answer's.
  bool m_is_stream = false;
  std::string m_body;
  /// The answer to pass on: the last one, or a server's first failure while it is repeated
  /// elsewhere.
  std::optional<Http::MessageHead> m_kept_head;
  std::string m_kept_body;
  EventSplitter m_events;
  bool m_stream_begun = false; ///< Bytes of the stream have gone to the caller.
  std::optional<Common::Milliseconds> m_first_event_after;
  Common::TimePoint m_last_event_at;
  Common::TimePoint m_silence_since;
  Common::Milliseconds m_longest_pause{0};
  std::string m_last_reason;
  /// After a refusal the request should come back then; where it is not set, soon.
  std::optional<Common::Milliseconds> m_come_back_after;
};
} // namespace Gateway
