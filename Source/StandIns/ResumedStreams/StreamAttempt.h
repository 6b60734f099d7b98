// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Common/Reactor.h"
#include "Http/Channel.h"
#include "Http/OriginConnection.h"

namespace ResumedStreams
{
/// An event of a stream, with the software version of the server that wrote it.
struct StreamEvent
{
  int number = 0;
  std::string version;
};

/// How an attempt ended.
struct AttemptEnd
{
  bool complete = false;  ///< The response was received up to its end.
  bool malformed = false; ///< Bytes that are no response were received.
  int status = 0;         ///< 0: no response head was received.
  Common::Milliseconds retry_after{0};
  std::string reason; ///< Why it is not a complete stream; empty if it is.
};

/// One request for a stream, whose events are reported as they arrive.
class StreamAttempt : private Http::ResponseHandler
{
public:
  struct Callbacks
  {
    std::function<void(const StreamEvent&)> on_event;
    /// Called once, never from within the constructor. The attempt may then be destroyed.
    std::function<void(const AttemptEnd&)> on_end;
  };

  StreamAttempt(const Http::Endpoint& daemon, const Http::CompleteRequest& request,
                Callbacks callbacks);
  ~StreamAttempt() override;
  StreamAttempt(const StreamAttempt&) = delete;
  StreamAttempt& operator=(const StreamAttempt&) = delete;

  /// Closes the connection, as a caller that leaves does; `on_end` follows.
  void Leave() { Finish("the caller left"); }

private:
  HeadAction OnResponseHead(Http::MessageHead& head) override;
  void OnResponseBody(std::string_view bytes) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(Http::ExchangeError error) override;

  void AwaitBytes(Common::Milliseconds timeout);
  /// Reports the end from the main loop. Later events are dropped.
  void Finish(std::string reason);

  std::shared_ptr<Http::OriginConnection> m_connection;
  Callbacks m_callbacks;
  AttemptEnd m_end;
  std::string m_buffer; ///< The part of an event that has been received.
  bool m_finished = false;
  Common::OwnedTimer m_timer;
  Common::OwnedTimer m_end_timer;
};
} // namespace ResumedStreams
