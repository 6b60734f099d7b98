// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/ConnectionProbe.h"

#include <utility>

#include "Common/Loop.h"
#include "Http/Tunnel.h"

namespace Gateway
{
namespace
{
using Common::Milliseconds;

/// Time limit for a direct connection. A timeout is inconclusive: the server may be on the other
/// side of a network partition.
constexpr Milliseconds DIRECT_TIMEOUT{400};
/// Through a helper, which applies the limit of a direct connection itself.
constexpr Milliseconds HELPER_TIMEOUT = DIRECT_TIMEOUT * 2;

ConnectionProbe::Outcome OutcomeOf(Http::TunnelStatus status)
{
  switch (status)
  {
  case Http::TunnelStatus::Open:
    return ConnectionProbe::Outcome::Accepted;
  case Http::TunnelStatus::Refused:
    return ConnectionProbe::Outcome::Refused;
  case Http::TunnelStatus::TimedOut:
    return ConnectionProbe::Outcome::Inconclusive;
  case Http::TunnelStatus::NoPath:
  case Http::TunnelStatus::Busy:
    break;
  }
  return ConnectionProbe::Outcome::HelperFailed;
}
} // namespace

ConnectionProbe::ConnectionProbe(const Http::Endpoint& server, Milliseconds hold_time,
                                 OutcomeHandler on_outcome)
    : m_through_helper(false),
      m_hold_time(hold_time),
      m_on_outcome(std::move(on_outcome)),
      m_stream(Http::TcpStream::Connect(server, this))
{
  m_timer.Start(m_stream ? DIRECT_TIMEOUT : Milliseconds(0), [this] {
    Report(Outcome::Inconclusive);
  });
}

ConnectionProbe::ConnectionProbe(const Http::Endpoint& helper, const std::string& open_message,
                                 OutcomeHandler on_outcome)
    : m_through_helper(true),
      m_hold_time(PATH_HOLD_TIME),
      m_on_outcome(std::move(on_outcome)),
      m_stream(Http::TcpStream::Connect(helper, this))
{
  if (m_stream)
    m_stream->Write(open_message);
  m_timer.Start(m_stream ? HELPER_TIMEOUT : Milliseconds(0), [this] {
    Report(Outcome::HelperFailed);
  });
}

void ConnectionProbe::Report(Outcome outcome)
{
  // The handler may destroy this object, but not itself while it runs.
  const OutcomeHandler on_outcome = std::move(m_on_outcome);
  on_outcome(outcome);
}

void ConnectionProbe::OnConnected()
{
  if (!m_through_helper)
    Hold();
}

void ConnectionProbe::Hold()
{
  m_open = true;
  m_timer.Start(m_hold_time, [this] {
    m_finished = true;
    Report(Outcome::Accepted);
  });
}

void ConnectionProbe::OnBytes(std::string_view bytes)
{
  if (!m_through_helper || m_finished || m_open)
    return;
  const auto status = Http::DecodeTunnelStatus(bytes.front());
  if (status == Http::TunnelStatus::Open)
    Hold();
  else
    FinishLater(status ? OutcomeOf(*status) : Outcome::HelperFailed);
}

void ConnectionProbe::OnEnd(Http::StreamEnd)
{
  if (m_finished)
    return;
  if (m_open)
    FinishLater(Outcome::Broken);
  else if (m_through_helper)
    FinishLater(Outcome::HelperFailed);
  else
    FinishLater(m_stream->IsRefusedHere() ? Outcome::Inconclusive : Outcome::Refused);
}

void ConnectionProbe::FinishLater(Outcome outcome)
{
  m_finished = true;
  m_timer.Start(Milliseconds(0), [this, outcome] {
    Report(outcome);
  });
}
} // namespace Gateway
