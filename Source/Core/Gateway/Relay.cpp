// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/Relay.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "Common/Log.h"
#include "Common/Mechanisms.h"
#include "Common/Random.h"
#include "Common/Text.h"
#include "Gateway/Dispatcher.h"
#include "Gateway/Forwarding.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;

/// The least urgent rank that a backend server knows.
constexpr int MAX_URGENCY = 9;
/// A caller leaves a stream that is silent for the longest of these: fixed, times the latency
/// target, times the gap target. The platform's page on requests gives the figures.
constexpr Milliseconds CALLER_PATIENCE{2000};
constexpr int CALLER_PATIENCE_TARGETS = 4;
constexpr int CALLER_PATIENCE_GAPS = 8;
/// The part of that patience that a request may wait for a server, so that the refusal still
/// reaches somebody.
constexpr double WAIT_SHARE_OF_PATIENCE = 0.7;
/// The part of the time to its deadline that a request may wait: holding an unserved request for
/// more than half of it costs the caller its chance elsewhere.
constexpr double WAIT_SHARE_OF_DEADLINE = 0.45;
/// Less time than this is not worth another attempt.
constexpr Milliseconds MIN_ATTEMPT_TIME{40};
/// A repeatable request without any answer for so many latency targets goes to another server.
constexpr double SILENCE_TARGETS = 2.5;
constexpr Milliseconds MIN_STREAM_SILENCE{1000};
/// A stream that pauses for so many gap targets is continued elsewhere.
constexpr int SILENCE_GAPS = 4;
/// A server that has left the platform's list may still finish its work; one that is silent for so
/// long besides is taken for dead.
constexpr Milliseconds GONE_SERVER_SILENCE{1900};
/// When a refused caller should come back: a disk load takes about a second.
constexpr std::string_view RETRY_AFTER_LOAD_S = "0.5";
constexpr std::string_view RETRY_AFTER_S = "0.1";
/// So long a request waits for units of its account's limit: the holder of the order lease answers
/// within some 10 ms; where it is gone, units flow in by themselves within a second. Replayed with
/// a holder that is missed for 4.5 s, 0.8 s refused 7 of 100 units inside the limit.
constexpr Milliseconds ALLOWANCE_PATIENCE{1500};
/// Without a proof that the keys are current: a store that was lost is asked about once a second.
constexpr Milliseconds RETRY_AFTER_PROOF{1000};

std::optional<std::int64_t> ParseNumber(const std::string* text)
{
  if (text == nullptr)
    return std::nullopt;
  std::int64_t number = 0;
  const auto read = std::from_chars(text->data(), text->data() + text->size(), number);
  if (read.ec != std::errc())
    return std::nullopt;
  return number;
}

/// The prompt's parts without the last, which no other request shares.
std::string SharedParts(const std::string& parts)
{
  const auto comma = parts.rfind(',');
  return comma == std::string::npos ? parts : parts.substr(0, comma);
}

const PoolId& PickPool(const std::vector<WeightedPool>& pools)
{
  std::int64_t total = 0;
  for (const WeightedPool& entry : pools)
    total += std::max<std::int64_t>(entry.weight, 0);
  if (total <= 0)
    return pools.front().pool;
  auto draw =
      static_cast<std::int64_t>(Common::SharedRandom()() % static_cast<std::uint64_t>(total));
  for (const WeightedPool& entry : pools)
  {
    draw -= std::max<std::int64_t>(entry.weight, 0);
    if (draw < 0)
      return entry.pool;
  }
  return pools.back().pool;
}

/// How long a caller stays without a word; for a whole answer until its deadline.
Milliseconds CallerPatience(const Route& route)
{
  if (route.repeatability != Repeatability::Streaming)
    return Milliseconds::max();
  return std::max({CALLER_PATIENCE, route.latency_target * CALLER_PATIENCE_TARGETS,
                   route.gap_target * CALLER_PATIENCE_GAPS});
}
} // namespace

std::string_view ToString(Outcome outcome)
{
  switch (outcome)
  {
  case Outcome::Answered:
    return "answered";
  case Outcome::Refused:
    return "refused";
  case Outcome::Failed:
    return "failed";
  case Outcome::BrokenOff:
    return "broken_off";
  case Outcome::CallerGone:
    return "caller_gone";
  case Outcome::NoRoute:
    return "no_route";
  case Outcome::Denied:
    return "denied";
  case Outcome::OverLimit:
    return "over_limit";
  case Outcome::Blocked:
    return "blocked";
  }
  return "unknown";
}

Relay::Relay(Dispatcher& dispatcher, std::shared_ptr<Http::ServerConnection> caller,
             Http::ReceivedRequest request)
    : m_dispatcher(dispatcher),
      m_caller(std::move(caller)),
      m_request(std::move(request)),
      m_arrived(Common::Now())
{
}

Relay::~Relay()
{
  DropConnection();
  ReleaseServer();
}

void Relay::Start()
{
  const auto guard = shared_from_this();
  m_caller->OnPeerGone([this] {
    EndWith(Outcome::CallerGone, 0, "the caller closed its connection");
  });
  const auto& configuration = m_dispatcher.CurrentConfiguration();
  const std::string* id = m_request.head.Find(m_dispatcher.Settings().names.request_id);
  m_id = id == nullptr ? "" : *id;
  if (!configuration)
  {
    Refuse("no configuration is known yet");
    return;
  }
  const std::string* host = m_request.head.Find("Host");
  const std::string& target = m_request.head.target;
  const Route* route = host == nullptr
                           ? nullptr
                           : configuration->FindRoute(*host, target.substr(0, target.find('?')));
  if (route == nullptr)
  {
    EndWith(Outcome::NoRoute, 404, "no route");
    return;
  }
  m_route = *route;
  m_priority = m_route.priority;
  if (!AdmitCaller(*configuration))
    return;
  m_pool = PickPool(m_route.pools);
  m_patience = CallerPatience(m_route);
  ReadHeaders();
  if (AnswerIfBlocked())
    return;
  StartTimers();
  TakeAllowance();
}

const Crashes::Fingerprint& Relay::Fingerprint()
{
  if (!m_fingerprint)
    m_fingerprint = Crashes::FingerprintOf(Identity());
  return *m_fingerprint;
}

Crashes::RequestIdentity Relay::Identity() const
{
  const Http::MessageHead& head = m_request.head;
  const std::string* host = head.Find("Host");
  return {m_account.Get(), head.method,
          host == nullptr ? std::string_view() : std::string_view(*host), head.target,
          m_request.body};
}

bool Relay::AnswerIfBlocked()
{
  const Crashes::Judgement judgement = m_dispatcher.JudgeCrashes(*this);
  if (!judgement.blocked)
    return false;
  m_come_back_after = judgement.blocked_for;
  const std::string why =
      std::to_string(judgement.endings) + " servers ended that had this request";
  if (m_stream_begun)
    EndWith(Outcome::BrokenOff, 0, why);
  else
    // It may have run in this attempt, and then there is no word that it did not.
    EndWith(Outcome::Blocked, m_may_have_run || m_connection ? 502 : 503, why);
  return true;
}

void Relay::EndIfBlocked()
{
  const auto guard = shared_from_this();
  // A server that has begun to answer is left to go on: what it makes may clear the request.
  if (!m_done && !m_server_spoke_at)
    AnswerIfBlocked();
}

void Relay::Begin()
{
  m_dispatcher.NoteArrival(*this);
  TryDispatch();
}

void Relay::TakeAllowance()
{
  if (!m_limited || !m_limited->limit.IsLimited())
  {
    Begin();
    return;
  }
  m_cost = Accounts::CostOf(m_limited->limit,
                            m_request.head.Find(m_dispatcher.Settings().names.token_counts));
  const auto verdict =
      m_dispatcher.Allowances().Take(*m_limited, m_cost, Common::Now(), !m_awaits_allowance);
  if (verdict == Accounts::UsageVerdict::Taken)
  {
    m_charged = true;
    Begin();
    return;
  }
  if (verdict != Accounts::UsageVerdict::Ask)
  {
    RefuseAllowance(verdict);
    return;
  }
  m_awaits_allowance = true;
  m_dispatcher.Allowances().BeginWait(m_account, m_cost);
  m_wait_timer.Start(ALLOWANCE_PATIENCE, [this] {
    RefuseAllowance(Accounts::UsageVerdict::Over);
  });
  m_dispatcher.RequestAllowance();
}

void Relay::TryAllowance()
{
  if (!m_awaits_allowance)
    return;
  const auto guard = shared_from_this();
  const auto verdict = m_dispatcher.Allowances().Take(*m_limited, m_cost, Common::Now(), false);
  if (verdict != Accounts::UsageVerdict::Taken)
    return;
  m_awaits_allowance = false;
  m_wait_timer.Stop();
  m_dispatcher.Allowances().EndWait(m_account, m_cost);
  m_charged = true;
  Begin();
}

void Relay::RefuseAllowance(Accounts::UsageVerdict verdict)
{
  const auto guard = shared_from_this();
  m_dispatcher.Allowances().NoteRefused(m_account, m_cost);
  m_come_back_after = m_dispatcher.Allowances().ComeBackAfter(*m_limited, m_cost, Common::Now());
  if (verdict == Accounts::UsageVerdict::Over)
    EndWith(Outcome::OverLimit, 429, "the account is over its limit");
  else
    EndWith(Outcome::Refused, 503, "the account's limit cannot be checked");
}

void Relay::ReturnAllowance()
{
  if (std::exchange(m_awaits_allowance, false))
    m_dispatcher.Allowances().EndWait(m_account, m_cost);
  if (std::exchange(m_charged, false) && !m_may_have_run && !m_connection)
    m_dispatcher.Allowances().GiveBack(m_account, m_cost);
}

std::vector<std::string_view> Relay::Keys() const
{
  const std::string& name = m_dispatcher.Settings().names.key;
  std::vector<std::string_view> keys;
  for (const Http::HeaderField& field : m_request.head.headers)
    if (Http::EqualIgnoringCase(field.name, name))
      keys.push_back(Common::WithoutTrailingBlanks(field.value));
  return keys;
}

bool Relay::AdmitCaller(const Configuration& configuration)
{
  const auto keys = Keys();
  const Accounts::Caller caller =
      Accounts::Identify(configuration.accounts.get(), m_route.open_to_all, keys);
  switch (caller.identity)
  {
  case Accounts::Identity::NotAsked:
    return true;
  case Accounts::Identity::Missing:
    Deny(401, "the request has no key");
    return false;
  case Accounts::Identity::Unknown:
    Deny(401, "no account holds the key");
    return false;
  case Accounts::Identity::Conflicting:
    Deny(400, "the request has keys that differ");
    return false;
  case Accounts::Identity::Known:
    break;
  }
  m_account = caller.account->name;
  m_limited = std::shared_ptr<const Accounts::Account>(configuration.accounts, caller.account);
  m_priority = caller.account->priority.value_or(m_route.priority);
  return KeyStillAllows();
}

bool Relay::KeyStillAllows()
{
  if (m_account.Empty())
    return true;
  const auto& accounts = m_dispatcher.CurrentConfiguration()->accounts;
  const auto keys = Keys();
  const Accounts::Account* account = accounts ? accounts->Find(keys.front()) : nullptr;
  if (accounts && (account == nullptr || account->name != m_account))
  {
    constexpr std::string_view WHY = "the key was taken away";
    if (m_stream_begun || m_may_have_run)
      AttemptFailed(WHY, m_may_have_run);
    else
      Deny(401, WHY);
    return false;
  }
  const auto now = Common::Now();
  if (m_dispatcher.Keys().Stands(now))
    return true;
  const auto age = m_dispatcher.Keys().Age(now);
  m_come_back_after = RETRY_AFTER_PROOF;
  Common::LogEvent(Common::LogLevel::Warning, "key-not-proven",
                   {{"id", m_id},
                    {"account", m_account},
                    {"configuration", m_dispatcher.CurrentConfiguration()->version},
                    {"proof_age_ms", age ? age->count() : -1}});
  AttemptFailed("the keys are not known to be current", m_may_have_run);
  return false;
}

void Relay::Deny(int status, std::string_view why)
{
  EndWith(Outcome::Denied, status, why);
}

void Relay::ReadHeaders()
{
  const HeaderNames& names = m_dispatcher.Settings().names;
  const Http::MessageHead& head = m_request.head;
  const auto left = ParseNumber(head.Find(names.time_left_ms));
  const Milliseconds patience =
      left ? Milliseconds(std::max<std::int64_t>(*left, 0)) : m_route.timeout;
  m_deadline = m_arrived + std::min(patience, m_route.timeout);
  const std::string* model = m_route.uses_model ? head.Find(names.model) : nullptr;
  if (model != nullptr)
  {
    const auto slash = model->find('/');
    m_artifact.model = ModelId(model->substr(0, slash));
    if (slash != std::string::npos)
      m_artifact.adapter = AdapterId(model->substr(slash + 1));
  }
  const std::string* parts = head.Find(names.prompt_parts);
  if (parts != nullptr)
    m_affinity = m_artifact.ToString() + ":" + SharedParts(*parts);
  if (const auto last_event = ParseNumber(head.Find(names.last_event_id)))
    m_events.StartAfter(*last_event);
}

void Relay::StartTimers()
{
  m_deadline_timer.Start(TimeLeft(), [this] {
    OnDeadline();
  });
}

Milliseconds Relay::TimeLeft() const
{
  const auto left = std::chrono::floor<Milliseconds>(m_deadline - Common::Now());
  return std::max(left, Milliseconds(0));
}

void Relay::TryDispatch()
{
  if (m_done || m_connection)
    return;
  const auto guard = shared_from_this();
  if (AnswerIfBlocked())
    return;
  const ServerPtr server =
      m_dispatcher.IsHeldBack(*this) ? nullptr : m_dispatcher.ChooseServer(*this);
  if (!server)
  {
    Wait();
    return;
  }
  if (!KeyStillAllows())
    return;
  const bool is_repeat = m_arrivals > 0;
  if (is_repeat && !m_dispatcher.Budget().Take(m_pool, Common::Now()))
  {
    AttemptFailed("the retry budget is spent", m_may_have_run);
    return;
  }
  Send(server);
}

void Relay::Wait()
{
  if (!MayGoToAnother() && !m_waiting)
  {
    // Only the servers that have seen the request may get it again, and they cannot serve it.
    const auto now = Common::Now();
    const bool hopeful = std::ranges::any_of(m_tried, [&](const InstanceId& instance) {
      const ServerPtr server = m_dispatcher.Servers().Find(instance);
      return server && server->MayServe(m_artifact, now);
    });
    if (!hopeful)
    {
      AttemptFailed("no further server may be asked", m_may_have_run);
      return;
    }
  }
  if (m_waiting)
    return;
  if (RefuseEarly())
    return;
  m_waiting = true;
  m_wait_timer.Start(WaitLeft(Common::Now()), [this] {
    OnWaitExpired();
  });
  m_dispatcher.RequestDemand();
}

Milliseconds Relay::WaitLeft(Common::TimePoint now) const
{
  auto limit =
      std::chrono::duration_cast<Milliseconds>((m_deadline - m_arrived) * WAIT_SHARE_OF_DEADLINE);
  limit = std::min(limit,
                   std::chrono::duration_cast<Milliseconds>(m_patience * WAIT_SHARE_OF_PATIENCE));
  return std::max(std::chrono::floor<Milliseconds>(m_arrived + limit - now), Milliseconds(0));
}

bool Relay::RefuseEarly()
{
  const auto refusal = m_dispatcher.WhyRefuse(*this, m_patience, WaitLeft(Common::Now()));
  if (!refusal)
    return false;
  if (m_may_have_run)
  {
    // Whether a load comes in time is an estimate, but what a server names is known.
    if (refusal->holder)
      OnWaitExpired();
    return refusal->holder != nullptr;
  }
  m_come_back_after = refusal->come_back_after;
  LogEarlyRefusal(*refusal);
  m_dispatcher.ExpectReturn(*this, refusal->come_back_after);
  Refuse(refusal->why);
  return true;
}

void Relay::LogEarlyRefusal(const EarlyRefusal& refusal) const
{
  if (!refusal.holder)
    return;
  const auto now = Common::Now();
  const Server& holder = *refusal.holder;
  if (holder.GetBackoff().IsNamed(now))
    Common::LogEvent(Common::LogLevel::Info, "refused-for-backoff",
                     {{"id", m_id},
                      {"artifact", m_artifact.ToString()},
                      {"instance", holder.Entry().instance},
                      {"left_ms", holder.GetBackoff().Left(now).count()},
                      {"patience_ms", WaitLeft(now).count()},
                      {"come_back_ms", refusal.come_back_after.count()}});
  else if (const auto& limit = holder.Limit())
    Common::LogEvent(
        Common::LogLevel::Info, "refused-for-limit",
        {{"id", m_id},
         {"artifact", m_artifact.ToString()},
         {"instance", holder.Entry().instance},
         {"per_second", RateLimits::Describe(limit->rate)},
         {"limit_age_ms", std::chrono::floor<Milliseconds>(now - limit->since).count()},
         {"expected_wait_ms", m_dispatcher.Limited().ExpectedWait(holder).count()},
         {"patience_ms", WaitLeft(now).count()},
         {"come_back_ms", refusal.come_back_after.count()}});
}

bool Relay::MayGoToAnother() const
{
  return static_cast<int>(m_tried.size()) < m_route.max_servers;
}

bool Relay::MayGoTo(const InstanceId& instance) const
{
  return m_tried.contains(instance) != MayGoToAnother() || m_deferred_by.contains(instance);
}

void Relay::WithdrawUnsent(const std::set<ServerPtr>& servers)
{
  if (m_done || !m_connection || m_connection->HasSent() || !servers.contains(m_server))
    return;
  const auto guard = shared_from_this();
  ++m_dispatcher.Counters().withdrawn;
  --m_arrivals;
  m_tried.erase(m_server->Entry().instance);
  AttemptFailed("the server wants no requests yet", m_may_have_run);
}

void Relay::ReviewWait()
{
  const auto guard = shared_from_this();
  if (m_waiting && !m_done)
    RefuseEarly();
}

void Relay::OnWaitExpired()
{
  const auto guard = shared_from_this();
  if (m_kept_head)
  {
    PassAnswerOn();
    return;
  }
  if (m_stream_begun)
    EndWith(Outcome::BrokenOff, 0, "no server could continue the stream");
  else if (m_may_have_run)
    Fail(502, "no other server in time: " + m_last_reason);
  else
    Refuse("no server could take it in time");
}

void Relay::Send(const ServerPtr& server)
{
  const auto now = Common::Now();
  m_waiting = false;
  m_wait_timer.Stop();
  m_server = server;
  m_sent_at = now;
  m_server_spoke_at.reset();
  m_server->NoteStart(m_artifact, now);
  m_is_stream = false;
  m_body.clear();
  m_events.DropPartial();
  m_connection = m_server->TakeConnection(now);
  if (!m_connection)
  {
    AttemptFailed("no socket left", m_may_have_run);
    return;
  }
  m_dispatcher.Limited().NoteSend(*m_server, now);
  m_dispatcher.CountSend(*m_server, now);
  if (m_arrivals > 0)
    ++m_dispatcher.Counters().repeats;
  if (m_stream_begun)
    ++m_dispatcher.Counters().resumed;
  ++m_arrivals;
  m_tried.insert(m_server->Entry().instance);
  const HeaderNames& names = m_dispatcher.Settings().names;
  ForwardedParts what;
  what.time_left = TimeLeft();
  what.instance = m_server->Entry().instance;
  if (m_route.uses_model)
    what.urgency = std::min(m_priority, MAX_URGENCY);
  what.account = m_account;
  if (m_stream_begun)
    what.last_event_id = m_events.LastId();
  m_connection->Send(ForwardedRequest(m_request, names, what), this,
                     m_request.head.method == "HEAD");
  const bool is_stream = m_route.repeatability == Repeatability::Streaming;
  const auto target =
      std::chrono::duration_cast<Milliseconds>(m_route.latency_target * SILENCE_TARGETS);
  ArmSilenceTimer(is_stream ? std::max(target, MIN_STREAM_SILENCE) : m_route.latency_target);
}

Http::AnswerEvents::Verdict Relay::OnAnswerHead(Http::MessageHead& head)
{
  m_server->NoteHeard(Common::Now());
  const std::string* id = head.Find(m_dispatcher.Settings().names.request_id);
  if (!m_id.empty() && (id == nullptr || *id != m_id))
  {
    Common::LogEvent(Common::LogLevel::Warning, "answer-crossed",
                     {{"id", m_id},
                      {"answer_id", id == nullptr ? "" : *id},
                      {"instance", m_server->Entry().instance}});
    return Verdict::Skip;
  }
  m_head = head;
  m_server_spoke_at = Common::Now();
  const bool is_sound = IsSound(m_head);
  m_signals = ReadSignals(m_head.status, m_head.headers, m_dispatcher.Settings().names,
                          std::chrono::system_clock::now());
  if (is_sound)
    m_dispatcher.NoteSignals(m_server, m_signals, {m_id, m_sent_at});
  const std::string* type = m_head.Find("Content-Type");
  m_is_stream = m_route.repeatability == Repeatability::Streaming && m_head.status == 200 &&
                is_sound && (type == nullptr || type->find("event-stream") != std::string::npos);
  return Verdict::Take;
}

bool Relay::IsSound(const Http::MessageHead& head) const
{
  const bool success = head.status >= 200 && head.status < 300;
  const bool signed_by_server = head.Find(m_dispatcher.Settings().names.signature) != nullptr;
  return (!success || signed_by_server) && head.Find("Content-Encoding") == nullptr;
}

bool Relay::IsOfAnotherInstance() const
{
  return m_signals.instance && *m_signals.instance != m_server->Entry().instance.Get();
}

void Relay::OnInterimHead(Http::MessageHead& head)
{
  ServerSignals signals = ReadSignals(head.status, head.headers, m_dispatcher.Settings().names,
                                      std::chrono::system_clock::now());
  if (signals.draining)
    m_dispatcher.NoteAnnouncedEnd(m_server, signals, {m_id, m_sent_at});
}

void Relay::OnAnswerBody(std::string_view bytes)
{
  m_server->NoteHeard(Common::Now());
  if (!m_is_stream)
  {
    m_body.append(bytes);
    return;
  }
  ForwardEvents(m_events.Feed(bytes));
}

void Relay::ForwardEvents(const std::string& events)
{
  if (events.empty())
    return;
  const auto gap = m_route.gap_target * SILENCE_GAPS;
  ArmSilenceTimer(std::max(gap, MIN_STREAM_SILENCE));
  if (!m_stream_begun)
  {
    m_stream_begun = true;
    m_first_event_after = std::chrono::duration_cast<Milliseconds>(Common::Now() - m_arrived);
    m_caller->BeginChunked(m_head.status, m_head.reason, ForwardedHeaders(m_head));
  }
  else
    m_longest_pause = std::max(
        m_longest_pause, std::chrono::duration_cast<Milliseconds>(Common::Now() - m_last_event_at));
  m_last_event_at = Common::Now();
  m_caller->SendChunk(events);
  if (m_caller->UnsentBytes() == 0 || !m_connection)
    return;
  // The caller reads slowly: the backend server is held up until it has caught up.
  m_connection->SetReading(false);
  m_caller->OnAllSent([this] {
    if (m_connection)
      m_connection->SetReading(true);
  });
}

void Relay::OnAnswerEnd()
{
  const auto guard = shared_from_this();
  m_silence_timer.Stop();
  if (m_connection && m_server)
    m_server->KeepConnection(std::exchange(m_connection, nullptr));
  if (m_is_stream)
    FinishStream();
  else
    HandleWholeAnswer();
}

void Relay::FinishStream()
{
  m_server->Health().NoteSuccess(Common::Now());
  m_dispatcher.NoteSurvival(*this);
  const std::string rest = m_events.Partial();
  if (!m_stream_begun)
    m_caller->BeginChunked(m_head.status, m_head.reason, ForwardedHeaders(m_head));
  m_caller->SendChunk(rest);
  m_caller->EndChunked();
  EndWith(Outcome::Answered, 0, "");
}

void Relay::HandleWholeAnswer()
{
  if (m_signals.not_run)
  {
    HandleRejection();
    return;
  }
  if (!IsSound(m_head))
  {
    m_server->Health().NoteFailure(Common::Now());
    AttemptFailed("an answer without the server's signature", true);
    return;
  }
  const bool server_failed = m_head.status >= 500;
  if (m_stream_begun)
  {
    // A continuation that is no stream cannot be joined to what the caller has.
    AttemptFailed("the continuation was answered with " + std::to_string(m_head.status), true);
    return;
  }
  if (!server_failed)
    m_server->Health().NoteSuccess(Common::Now());
  // A failure may come without a run.
  if (m_head.status >= 200 && m_head.status < 300)
    m_dispatcher.NoteSurvival(*this);
  const bool is_first_failure = server_failed && !m_kept_head;
  if (!server_failed || is_first_failure)
  {
    m_kept_head = m_head;
    m_kept_body = m_body;
  }
  if (is_first_failure && m_route.IsRepeatable())
    AttemptFailed("the server failed with " + std::to_string(m_head.status), true);
  else
    PassAnswerOn();
}

void Relay::HandleRejection()
{
  const auto now = Common::Now();
  if (m_head.status == 421 && IsOfAnotherInstance())
    m_server->NoteReplaced();
  else if (m_head.status == 421)
    m_server->NoteMissing(m_artifact, now);
  else
  {
    m_server->GetBackoff().NoteRejected(now);
    if (m_signals.backoff)
      m_deferred_by.insert(m_server->Entry().instance);
  }
  AttemptFailed("rejected with " + std::to_string(m_head.status), m_may_have_run);
}

void Relay::OnAnswerBroken(Http::Breakage breakage)
{
  const auto guard = shared_from_this();
  m_connection = nullptr;
  const auto now = Common::Now();
  const bool timed_out = breakage == Http::Breakage::ConnectTimedOut;
  if (timed_out || breakage == Http::Breakage::ConnectFailed)
  {
    // One lost packet delays a connection too: only a row of them ejects the server.
    if (timed_out)
      m_server->Health().NoteFailure(now);
    else
    {
      m_server->Health().NoteUnreachable(now);
      m_dispatcher.Ends().NoteRefused(m_server);
    }
    --m_arrivals;
    m_tried.erase(m_server->Entry().instance);
    AttemptFailed("no connection", m_may_have_run);
    return;
  }
  m_server->Health().NoteFailure(now);
  if (breakage == Http::Breakage::Malformed)
  {
    AttemptFailed("malformed answer", true);
    return;
  }
  std::optional<Milliseconds> ran_for;
  if (m_server_spoke_at)
    ran_for = std::chrono::duration_cast<Milliseconds>(now - *m_server_spoke_at);
  m_dispatcher.NoteBroken(m_server, *this, m_sent_at, ran_for);
  AttemptFailed("broken answer", true);
}

void Relay::AttemptFailed(std::string_view why, bool may_have_run)
{
  const auto guard = shared_from_this();
  m_last_reason = why;
  m_may_have_run = m_may_have_run || may_have_run;
  m_silence_timer.Stop();
  if (m_server)
    Common::LogEvent(Common::LogLevel::Warning, "attempt-failed",
                     {{"id", m_id},
                      {"route", m_route.name},
                      {"fingerprint", Fingerprint().ToString()},
                      {"artifact", m_artifact.ToString()},
                      {"instance", m_server->Entry().instance},
                      {"why", why},
                      {"may_have_run", may_have_run},
                      {"attempt", m_arrivals},
                      {"budget", m_dispatcher.Budget().Left(m_pool, Common::Now())}});
  const bool had_server = m_server != nullptr;
  DropConnection();
  ReleaseServer();
  if (had_server && MayTryAgain(m_may_have_run))
  {
    TryDispatch();
    return;
  }
  if (m_kept_head)
    PassAnswerOn();
  else if (m_stream_begun)
    EndWith(Outcome::BrokenOff, 0, why);
  else if (m_may_have_run)
    Fail(502, why);
  else
    Refuse(why);
}

bool Relay::MayTryAgain(bool may_have_run) const
{
  if (TimeLeft() < MIN_ATTEMPT_TIME)
    return false;
  if (may_have_run && !m_route.IsRepeatable())
    return false;
  const bool resumes = Common::IsOn(Common::Mechanism::Resumption) && m_events.LastId();
  return !m_stream_begun || resumes;
}

void Relay::PassAnswerOn()
{
  m_head = *m_kept_head;
  // Without the server's own word that it did not run, a status that promises so is not passed on.
  const bool promises = m_head.status == 503 || m_head.status == 429 || m_head.status == 408;
  if (promises)
  {
    Fail(502, "the server gave " + std::to_string(m_head.status) + " without its word");
    return;
  }
  m_caller->Respond(m_head.status, m_head.reason, ForwardedHeaders(m_head), m_kept_body);
  EndWith(Outcome::Answered, 0, "");
}

void Relay::ArmSilenceTimer(Milliseconds span)
{
  m_silence_since = Common::Now();
  m_silence_timer.Start(span, [this, span] {
    OnSilence(span);
  });
}

void Relay::OnSilence(Milliseconds span)
{
  const auto guard = shared_from_this();
  if (!m_connection)
    return;
  const auto now = Common::Now();
  const bool gone = m_dispatcher.Servers().Find(m_server->Entry().instance) == nullptr;
  if (gone && now - m_silence_since >= GONE_SERVER_SILENCE)
  {
    AttemptFailed("the server is gone and silent", true);
    return;
  }
  const bool elsewhere = m_route.IsRepeatable() && MayTryAgain(true) &&
                         m_dispatcher.ChooseServer(*this) != nullptr &&
                         m_dispatcher.Budget().Left(m_pool, now) >= 1;
  if (elsewhere)
  {
    m_server->Health().NoteFailure(now);
    AttemptFailed("no answer from the server", true);
    return;
  }
  m_silence_timer.Start(span, [this, span] {
    OnSilence(span);
  });
}

void Relay::OnDeadline()
{
  const auto guard = shared_from_this();
  if (m_stream_begun)
    EndWith(Outcome::BrokenOff, 0, "the deadline passed");
  else if (m_may_have_run || m_connection)
    Fail(504, "the deadline passed");
  else
    Refuse("the deadline passed before it ran");
}

void Relay::GiveUpForStop()
{
  const auto guard = shared_from_this();
  if (m_stream_begun)
    EndWith(Outcome::BrokenOff, 0, "this process stops");
  else if (m_may_have_run || m_connection)
    Fail(502, "this process stops");
  else
    Refuse("this process stops");
}

void Relay::Refuse(std::string_view why)
{
  EndWith(Outcome::Refused, 503, why);
}

void Relay::Fail(int status, std::string_view why)
{
  EndWith(Outcome::Failed, status, why);
}

void Relay::EndWith(Outcome outcome, int status, std::string_view why)
{
  if (m_done)
    return;
  const auto guard = shared_from_this();
  m_done = true;
  m_waiting = false;
  if (outcome != Outcome::Answered)
    ReturnAllowance();
  m_deadline_timer.Stop();
  m_wait_timer.Stop();
  m_silence_timer.Stop();
  const auto took = std::chrono::duration_cast<Milliseconds>(Common::Now() - m_arrived);
  Common::LogEvent(
      outcome == Outcome::Answered ? Common::LogLevel::Info : Common::LogLevel::Warning, "request",
      {{"id", m_id},
       {"route", m_route.name},
       {"account", m_account},
       {"fingerprint", m_fingerprint ? m_fingerprint->ToString() : ""},
       {"artifact", m_artifact.ToString()},
       {"outcome", ToString(outcome)},
       {"status", status == 0 ? m_head.status : status},
       {"why", why},
       {"instance", m_server ? m_server->Entry().instance.Get() : ""},
       {"arrivals", m_arrivals},
       {"ms", took.count()},
       {"first_event_ms", m_first_event_after.value_or(Milliseconds(-1)).count()}});
  Common::Metrics& metrics = m_dispatcher.GetMetrics();
  metrics.CountRequest(m_route.name, std::string(ToString(outcome)));
  if (outcome == Outcome::Answered)
    metrics.ObserveLatency(m_route.name, m_first_event_after.value_or(took));
  if (m_stream_begun)
    metrics.ObserveLongestPause(m_route.name, m_longest_pause);
  DropConnection();
  ReleaseServer();
  if (outcome == Outcome::BrokenOff)
    m_caller->BreakAnswer();
  else if (status != 0)
  {
    std::vector<Http::HeaderField> headers;
    if (status == 503 || status == 429)
      headers.push_back({"Retry-After", RetryAfter()});
    if (status == 401)
      headers.push_back({"WWW-Authenticate", m_dispatcher.Settings().names.key});
    m_caller->Respond(status, Http::ReasonPhrase(status), headers, "");
  }
  m_dispatcher.Finished(this);
}

std::string Relay::RetryAfter() const
{
  if (m_come_back_after)
  {
    // Spread, so that those who were refused together do not return together.
    constexpr std::int64_t SPREAD = 10;
    const auto spread = m_come_back_after->count() / SPREAD + 1;
    const auto extra =
        static_cast<std::int64_t>(Common::SharedRandom()() % static_cast<std::uint64_t>(spread));
    const std::int64_t tenths = (m_come_back_after->count() + extra + 99) / 100;
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
  }
  const bool lacks_model =
      !m_artifact.model.Empty() && !m_dispatcher.IsHeldAnywhere(m_pool, m_artifact);
  return std::string(lacks_model ? RETRY_AFTER_LOAD_S : RETRY_AFTER_S);
}

void Relay::ReleaseServer()
{
  if (!m_server)
    return;
  m_server->NoteEnd(m_artifact, m_sent_at, Common::Now());
  m_server = nullptr;
}

void Relay::DropConnection()
{
  if (!m_connection)
    return;
  m_connection->Abandon();
  m_connection = nullptr;
}
} // namespace Gateway
