// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "Common/Failure.h"
#include "Http/IdleConnections.h"

namespace Http
{
/// A whole answer in memory.
struct WholeAnswer
{
  int status = 0;
  std::vector<HeaderField> headers;
  std::string body;

  const std::string* Find(std::string_view name) const;
};

/// A whole request in memory.
struct WholeRequest
{
  std::string method;
  std::string target;
  std::vector<HeaderField> headers;
  std::string body;
};

/// The bytes of a request with its Host and Content-Length.
std::string Serialise(const WholeRequest& request, const Endpoint& peer);

/// How long a peer may be silent within a call. The whole of an answer has no limit: its size has
/// no bound, and where that met a fixed time, a row of 1,073 KB never came over a link of 10
/// Mbit/s.
struct Patience
{
  Common::Milliseconds before_head; ///< From the call to the head of the answer.
  Common::Milliseconds within_body; ///< From any byte of the answer to the next.
};

/// Calls with whole answers to one peer, over connections that are kept. A call is never repeated:
/// failures are NotSent where no byte went out, else Timeout, OutcomeUnknown or Protocol.
class Channel
{
public:
  using Callback = std::function<void(Common::Result<WholeAnswer>)>;

  explicit Channel(const Endpoint& peer, const KernelLimits& limits = {});
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  const Endpoint& Peer() const { return m_peer; }
  /// Nothing of the request goes out at `before` or later; it then fails with NotSent.
  void Call(const WholeRequest& request, const Patience& patience, Callback callback,
            Common::TimePoint before = ANY_TIME);
  /// Resets all calls on their way, without an answer to their callers.
  void Abandon();

private:
  class PendingCall;

  void Finish(PendingCall* call, Common::Result<WholeAnswer> result);

  Endpoint m_peer;
  KernelLimits m_limits;
  IdleConnections m_idle;
  std::list<std::unique_ptr<PendingCall>> m_pending;
};
} // namespace Http
