// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/Relay.h"

#include <algorithm>
#include <charconv>
#include <iterator>
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

/// The least urgent value that backend servers accept in the urgency header.
constexpr int MAX_URGENCY = 9;
/// A caller disconnects from a stream on which it receives nothing for the longest of: a fixed
/// time, a multiple of the latency target, a multiple of the gap target. The values are those in
/// the platform's documentation of requests.
constexpr Milliseconds CALLER_IDLE_TIMEOUT{2000};
constexpr int CALLER_IDLE_LATENCY_TARGETS = 4;
constexpr int CALLER_IDLE_GAP_TARGETS = 8;
/// No further attempt is made with less time than this before the deadline.
constexpr Milliseconds MIN_ATTEMPT_TIME{40};
/// A streaming request that has no response after this many latency targets is retried at another
/// server if it is repeatable. For other requests it is one latency target.
constexpr double STALL_LATENCY_TARGETS = 2.5;
/// A server that the platform no longer lists may still finish its work; if it also sends nothing
/// for this long, it is considered to have failed.
constexpr Milliseconds UNLISTED_SERVER_TIMEOUT{1900};
/// After this time without data from a server, the path to it is checked. Longer than the usual
/// time to a first event.
constexpr Milliseconds PATH_CHECK_AFTER{400};
/// Retry-After of a refused request whose model no server holds (a load from disk takes about a
/// second), and of other refused requests.
constexpr std::string_view RETRY_AFTER_LOAD_S = "0.5";
constexpr std::string_view RETRY_AFTER_S = "0.1";
/// A new connection goes to another daemon.
constexpr Milliseconds RETRY_AFTER_STOP{100};

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

/// All parts of the prompt but the last, which is specific to the request.
std::string SharedPromptParts(const std::string& parts)
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

/// How the response states the end of its body.
std::string_view BodyEnd(const Http::MessageHead& response)
{
  if (response.status == 0)
    return "";
  if (response.ends_with_connection)
    return "connection";
  return response.chunked ? "chunks" : "length";
}

/// How long a caller of a stream waits without receiving anything; a caller of a complete response
/// waits until its deadline.
Milliseconds CallerIdleTimeout(const Route& route)
{
  if (route.repeatability != Repeatability::Streaming)
    return Milliseconds::max();
  return std::max({CALLER_IDLE_TIMEOUT, route.latency_target * CALLER_IDLE_LATENCY_TARGETS,
                   route.gap_target * CALLER_IDLE_GAP_TARGETS});
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
  m_caller->OnPeerDisconnected([this] {
    EndWith(Outcome::CallerGone, 0, "the caller closed its connection");
  });
  const auto& configuration = m_dispatcher.CurrentConfiguration();
  const std::string* id = m_request.head.Find(m_dispatcher.Settings().names.request_id);
  m_id = id == nullptr ? "" : Common::TrimTrailingBlanks(*id);
  if (!configuration)
  {
    Refuse("no configuration has been received yet");
    return;
  }
  const std::string* host = m_request.head.Find("Host");
  const std::string& target = m_request.head.target;
  const Route* route = host == nullptr
                           ? nullptr
                           : configuration->FindRoute(*host, target.substr(0, target.find('?')));
  if (route == nullptr)
  {
    EndWith(Outcome::NoRoute, 404, "no route matches the host and path");
    return;
  }
  m_route = *route;
  m_priority = m_route.priority;
  if (!AuthenticateCaller(*configuration))
    return;
  m_pool = PickPool(m_route.pools);
  m_idle_timeout = CallerIdleTimeout(m_route);
  ReadHeaders();
  if (RefuseIfBlocked())
    return;
  StartTimers();
  if (MustAwaitOrigin())
    return;
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

bool Relay::RefuseIfBlocked()
{
  Crashes::BlockStatus block_status = m_dispatcher.GetBlockStatus(*this);
  std::string_view cause = "this request";
  if (!block_status.blocked && !(m_is_probe && m_connection))
  {
    block_status = m_dispatcher.GetPartStatus(*this);
    cause = "requests with a part of this prompt";
  }
  if (!block_status.blocked)
    return false;
  m_retry_after = block_status.retry_after;
  const std::string why = std::to_string(block_status.server_crashes) +
                          " servers crashed while they had " + std::string(cause);
  // If it may have run, also in this attempt, the status must not promise that it did not.
  if (m_stream_begun || m_saved_head)
    EndUnserved(why);
  else
    EndWith(Outcome::Blocked, MayHaveRun() ? STATUS_BAD_GATEWAY : STATUS_UNAVAILABLE, why);
  return true;
}

bool Relay::RefuseIfStopIsFirst()
{
  if (m_route.IsRepeatable() || MayHaveRun() || m_deadline <= m_dispatcher.StopEndsAt())
    return false;
  m_retry_after = RETRY_AFTER_STOP;
  Refuse("this process stops before the request must have ended");
  return true;
}

bool Relay::FailAfterCrashes()
{
  if (!MustNotCrashMore() ||
      m_dispatcher.GetBlockStatus(*this).server_crashes < MAX_CRASHES_PER_ATTEMPT)
    return false;
  EndUnserved("several servers crashed while they had this request");
  return true;
}

void Relay::EndIfBlocked()
{
  const auto guard = shared_from_this();
  // A server that has begun to respond may finish: a success would unblock the request.
  if (!m_done && !m_response_began_at)
    RefuseIfBlocked();
}

void Relay::SelectPoolOfVersion()
{
  std::vector<WeightedPool> pools;
  std::ranges::copy_if(m_route.pools, std::back_inserter(pools), [this](const WeightedPool& entry) {
    return std::ranges::any_of(m_dispatcher.Servers().InPool(entry.pool),
                               [this](const auto& server) {
                                 return MayContinueAt(server->Entry());
                               });
  });
  if (!pools.empty())
    m_pool = PickPool(pools);
}

void Relay::FindServer()
{
  if (IsBoundToVersion())
    SelectPoolOfVersion();
  m_dispatcher.NoteArrival(*this);
  TryDispatch();
}

void Relay::ReadHeaders()
{
  const HeaderNames& names = m_dispatcher.Settings().names;
  const Http::MessageHead& head = m_request.head;
  const auto left = ParseNumber(head.Find(names.time_left_ms));
  const Milliseconds time_left =
      left ? Milliseconds(std::max<std::int64_t>(*left, 0)) : m_route.timeout;
  m_deadline = m_arrived + std::min(time_left, m_route.timeout);
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
  {
    m_affinity = m_artifact.ToString() + ":" + SharedPromptParts(*parts);
    m_prompt_parts = Crashes::ReadSharedParts(*parts, m_account.Get());
  }
  if (const auto last_event = ParseNumber(head.Find(names.last_event_id)))
    m_events.StartAfter(*last_event);
  // Without an event that the caller has, the stream begins anew, whatever attempt the caller
  // names.
  const std::string* resumes = m_events.LastId() ? head.Find(names.resumes) : nullptr;
  m_resumes = resumes == nullptr ? "" : Common::TrimTrailingBlanks(*resumes);
  m_stream = KeyOf(m_account, m_resumes.empty() ? m_id : m_resumes);
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
  if (RefuseIfBlocked() || FailAfterCrashes() || RefuseIfStopIsFirst())
    return;
  const ServerPtr server =
      m_dispatcher.MustAwaitCrashCheck(*this) ? nullptr : m_dispatcher.ChooseServer(*this);
  if (!server)
  {
    WaitForServer();
    return;
  }
  if (!VerifyKey())
    return;
  const auto now = Common::Now();
  const bool is_repeat = m_arrivals > 0;
  if (is_repeat && m_dispatcher.Budget().Left(m_pool, now) < 1)
  {
    AttemptFailed("the retry budget is exhausted", m_may_have_run);
    return;
  }
  const auto helper = m_dispatcher.Paths().HelperFor(*server, now);
  auto connection = server->TakeConnection(now, Identified(), helper);
  if (!connection)
  {
    // Nothing was sent. The next dispatch tries again, until the wait is over.
    m_last_reason = "no socket available";
    WaitForServer();
    return;
  }
  if (is_repeat)
    m_dispatcher.Budget().Take(m_pool, now);
  m_helper = helper;
  m_connection = std::move(connection);
  Send(server);
}

Http::RequestIdentity Relay::Identified() const
{
  return {Http::RequestId(m_id), m_request.head.method != "HEAD"};
}

void Relay::Send(const ServerPtr& server)
{
  const auto now = Common::Now();
  m_waiting = false;
  m_wait_timer.Stop();
  m_server = server;
  m_sent_at = now;
  m_response_began_at.reset();
  m_server->NoteStart(m_artifact, now);
  m_is_stream = false;
  m_received_events = false;
  m_writing_since.reset();
  m_has_written = false;
  m_is_probe = false;
  m_body.clear();
  m_events.DropPartial();
  m_connection_number = m_connection->Number();
  m_connection_requests = m_connection->Requests() + 1;
  m_request_unsent = 0;
  m_is_probe = m_dispatcher.Parts().NoteSent(m_prompt_parts, m_server->Entry().version.Get(), now);
  m_dispatcher.Limited().NoteSend(*m_server, now);
  m_dispatcher.CountSend(*m_server, now);
  if (m_connection->IsTunnel())
    ++m_dispatcher.Counters().through_helpers;
  if (m_arrivals > 0)
    ++m_dispatcher.Counters().retries;
  if (m_stream_begun)
    ++m_dispatcher.Counters().resumed;
  ++m_arrivals;
  m_tried_servers.insert(m_server->Entry().instance);
  const HeaderNames& names = m_dispatcher.Settings().names;
  AddedHeaders added;
  added.time_left = TimeLeft();
  added.instance = m_server->Entry().instance;
  if (m_route.uses_model)
    added.urgency = std::min(m_priority, MAX_URGENCY);
  added.account = m_account;
  if (m_stream_begun)
    added.last_event_id = m_events.LastId();
  m_attempt =
      m_dispatcher.Late().NoteSent(*m_server, m_artifact.model, m_route.latency_target, now);
  m_connection->SendIdentified(Identified(), ForwardedRequest(m_request, names, added), this);
  const bool is_stream = m_route.repeatability == Repeatability::Streaming;
  const auto target =
      std::chrono::duration_cast<Milliseconds>(m_route.latency_target * STALL_LATENCY_TARGETS);
  ArmStallTimer(is_stream ? std::max(target, MIN_STREAM_STALL_TIMEOUT) : m_route.latency_target);
}

void Relay::AttemptFailed(std::string_view why, bool may_have_run)
{
  const auto guard = shared_from_this();
  m_last_reason = why;
  m_may_have_run = m_may_have_run || may_have_run;
  m_stall_timer.Stop();
  if (m_server)
    Common::LogEvent(Common::LogLevel::Warning, "attempt-failed",
                     {{"id", m_id},
                      {"route", m_route.name},
                      {"fingerprint", Fingerprint().ToString()},
                      {"artifact", m_artifact.ToString()},
                      {"prompt_parts", PromptPartsForLog()},
                      {"instance", m_server->Entry().instance},
                      {"why", why},
                      {"may_have_run", may_have_run},
                      {"attempt", m_arrivals},
                      {"connection", m_connection_number},
                      {"on_connection", m_connection_requests},
                      {"request_unsent", m_request_unsent},
                      {"stream_begun", m_stream_begun},
                      {"budget", m_dispatcher.Budget().Left(m_pool, Common::Now())}});
  const bool had_server = m_server != nullptr;
  DropConnection();
  ReleaseServer();
  if (had_server && MayTryAgain(m_may_have_run))
  {
    TryDispatch();
    return;
  }
  EndUnserved(why);
}

void Relay::EndUnserved(std::string_view why, int failure_status)
{
  if (m_stream_begun)
    EndWith(Outcome::BrokenOff, 0, why);
  else if (m_saved_head)
    ForwardSavedResponse();
  else if (MayHaveRun())
    EndWith(Outcome::Failed, failure_status, why);
  else
    Refuse(why);
}

bool Relay::MayHaveRun() const
{
  return m_may_have_run || (m_connection && m_connection->HasSent());
}

std::string_view Relay::PromptPartsForLog() const
{
  constexpr std::size_t MAX_BYTES = 200;
  const std::string* parts = m_request.head.Find(m_dispatcher.Settings().names.prompt_parts);
  return parts == nullptr ? std::string_view() : std::string_view(*parts).substr(0, MAX_BYTES);
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

void Relay::ForwardSavedResponse()
{
  m_head = *m_saved_head;
  // These statuses promise that the request did not run. They are not forwarded unless the server
  // has confirmed it with its own header; those responses are handled as rejections.
  const bool claims_not_run = m_head.status == 503 || m_head.status == 429 || m_head.status == 408;
  if (claims_not_run)
  {
    EndWith(Outcome::Failed, STATUS_BAD_GATEWAY,
            "the server sent status " + std::to_string(m_head.status) +
                " without confirming that the request did not run");
    return;
  }
  if (m_head.ends_with_connection)
  {
    m_caller->BeginBody(m_head.status, m_head.reason, ForwardedHeaders(m_head),
                        Http::BodyFraming::UntilClose);
    m_caller->SendBody(m_saved_body);
    m_caller->EndBody();
  }
  else
    m_caller->Respond(m_head.status, m_head.reason, ForwardedHeaders(m_head), m_saved_body);
  EndWith(Outcome::Answered, 0, "");
}

void Relay::DropSavedResponse()
{
  m_saved_head.reset();
  m_saved_body = {};
}

void Relay::ArmStallTimer(Milliseconds span)
{
  m_last_progress_at = Common::Now();
  m_stall_timer.Start(span, [this, span] {
    OnStall(span);
  });
}

void Relay::OnStall(Milliseconds span)
{
  const auto guard = shared_from_this();
  if (!m_connection)
    return;
  const auto now = Common::Now();
  if (!m_connection->IsTunnel())
    m_dispatcher.Paths().CheckDirectPath(m_server, now);
  const bool is_unlisted = m_dispatcher.Servers().Find(m_server->Entry().instance) == nullptr;
  if (is_unlisted && now - m_last_progress_at >= UNLISTED_SERVER_TIMEOUT)
  {
    AttemptFailed("the server is no longer listed and has sent nothing", true);
    return;
  }
  const bool can_retry = MayTryAgain(true) && m_dispatcher.ChooseServer(*this) != nullptr &&
                         m_dispatcher.Budget().Left(m_pool, now) >= 1;
  if (can_retry)
  {
    m_server->Health().NoteFailure(now);
    AttemptFailed("the server has sent nothing for too long", true);
    return;
  }
  m_stall_timer.Start(span, [this, span] {
    OnStall(span);
  });
}

bool Relay::IsSilentOnDirectPath(Common::TimePoint now) const
{
  return m_connection && m_server && !m_connection->IsTunnel() &&
         now - std::max(m_sent_at, m_server->ReceivedAt()) >= PATH_CHECK_AFTER;
}

void Relay::LeaveDirectPath()
{
  if (m_done || !m_connection || m_connection->IsTunnel())
    return;
  const auto guard = shared_from_this();
  constexpr std::string_view WHY = "the path to the server is broken";
  if (!m_connection->IsConnected())
  {
    ForgetAttempt();
    AttemptFailed(WHY, m_may_have_run);
    return;
  }
  const auto now = Common::Now();
  const bool may_repeat = MayTryAgain(true) && m_dispatcher.Budget().Left(m_pool, now) >= 1;
  if (may_repeat && IsSilentOnDirectPath(now))
    AttemptFailed(WHY, true);
}

void Relay::ForgetAttempt()
{
  --m_arrivals;
  m_tried_servers.erase(m_server->Entry().instance);
}

void Relay::OnDeadline()
{
  const auto guard = shared_from_this();
  EndUnserved("the deadline passed", STATUS_GATEWAY_TIMEOUT);
}

void Relay::CancelForShutdown()
{
  const auto guard = shared_from_this();
  EndUnserved("this process is shutting down");
}

void Relay::Refuse(std::string_view why)
{
  EndWith(Outcome::Refused, STATUS_UNAVAILABLE, why);
}

void Relay::EndWith(Outcome outcome, int status, std::string_view why)
{
  if (m_done)
    return;
  const auto guard = shared_from_this();
  const std::string_view awaited = AwaitedResource();
  m_done = true;
  m_waiting = false;
  if (std::exchange(m_awaits_origin, false))
    m_dispatcher.DropAwaiting(m_stream);
  if (outcome != Outcome::Answered)
    ReturnAllowance();
  m_deadline_timer.Stop();
  m_wait_timer.Stop();
  m_stall_timer.Stop();
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
       {"body_end", BodyEnd(m_head)},
       {"stream_begun", m_stream_begun},
       {"connection", m_connection_number},
       {"on_connection", m_connection_requests},
       {"request_unsent", m_request_unsent},
       {"inside_event", m_events.IsInsideEvent()},
       {"arrivals", m_arrivals},
       {"entries_age_ms",
        m_dispatcher.Servers().Age(Common::Now()).value_or(Milliseconds(-1)).count()},
       {"ms", took.count()},
       {"first_event_ms", m_first_event_after.value_or(Milliseconds(-1)).count()},
       {"target_ms", m_route.latency_target.count()},
       {"awaited", awaited}});
  Common::Metrics& metrics = m_dispatcher.GetMetrics();
  metrics.CountRequest(m_route.name, std::string(ToString(outcome)));
  if (m_origin_source != OriginSource::NotResumed)
    metrics.CountResumption(std::string(ToString(m_origin_source)),
                            m_stream_begun ? "continued" : std::string(ToString(outcome)));
  if (outcome == Outcome::Answered)
    metrics.ObserveLatency(m_route.name, m_first_event_after.value_or(took));
  if (m_stream_begun)
    metrics.ObserveLongestPause(m_route.name, m_longest_pause);
  DropConnection();
  ReleaseServer();
  if (outcome == Outcome::BrokenOff)
    m_caller->AbortResponse();
  else if (status != 0)
  {
    std::vector<Http::HeaderField> headers;
    if (status == 503 && m_dispatcher.IsCutOff())
      m_caller->CloseAfterResponse();
    if (status == 503 || status == 429)
      headers.push_back({"Retry-After", RetryAfter()});
    if (status == 401)
      headers.push_back({"WWW-Authenticate", m_dispatcher.Settings().names.key});
    m_caller->Respond(status, Http::ReasonPhrase(status), headers, "");
  }
  m_dispatcher.OnRelayFinished(this);
}

std::string_view Relay::AwaitedResource() const
{
  if (m_awaits_allowance)
    return "units";
  if (m_awaits_origin)
    return "origin";
  if (m_connection)
    return m_connection->IsConnected() ? "" : "connection";
  if (!m_waiting)
    return "";
  const bool lacks_model = !m_artifact.model.Empty() && !m_dispatcher.IsHeldFor(*this);
  return lacks_model ? "load" : "place";
}

std::string Relay::RetryAfter() const
{
  if (m_retry_after)
  {
    // Random spread, so that callers that were refused together do not retry together.
    constexpr std::int64_t JITTER_DIVISOR = 10;
    const auto max_jitter = m_retry_after->count() / JITTER_DIVISOR + 1;
    const auto jitter = static_cast<std::int64_t>(Common::SharedRandom()() %
                                                  static_cast<std::uint64_t>(max_jitter));
    const std::int64_t tenths = (m_retry_after->count() + jitter + 99) / 100;
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
  }
  const bool lacks_model = !m_artifact.model.Empty() && !m_dispatcher.IsHeldFor(*this);
  return std::string(lacks_model ? RETRY_AFTER_LOAD_S : RETRY_AFTER_S);
}

void Relay::ReleaseServer()
{
  if (!m_server)
    return;
  m_dispatcher.Late().NoteEnded(std::exchange(m_attempt, ReplicaAttempt::None), Common::Now());
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
