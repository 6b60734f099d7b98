// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <memory>
#include <set>
#include <string>
#include <variant>

#include "Callers/CallContext.h"
#include "Http/Client.h"

namespace Callers
{
/// A chat completion request to be sent to a backend server.
struct ChatRequest
{
  CallContext context;
  Table::Artifact artifact;
  std::string body; ///< JSON; `model` is the id of the artifact.
  std::string affinity;
};

/// A complete response.
struct ChatResponse
{
  std::string body;
  Common::VmId server;
};

/// Sends chat completions to backend servers. Generation is repeatable: a failed attempt is retried
/// as long as no byte of a response was sent to the caller, within the deadline, the retry budget
/// and the maximum number of attempts.
class ChatRelay
{
public:
  explicit ChatRelay(ApiContext& api_context) : m_api_context(api_context) {}

  Common::Task<std::variant<ChatResponse, CallFailure>> FetchResponse(ChatRequest request);
  /// Streams the response to the caller. On failure, sends the error to the caller as well.
  Common::Task<void> StreamResponse(ChatRequest request, Http::ExchangePtr exchange);

private:
  struct Opened
  {
    Serving::Grant grant;
    std::unique_ptr<Http::ResponseStream> stream;
  };
  using Attempt = std::variant<Opened, CallFailure>;
  /// The attempts made for one request so far.
  struct AttemptHistory
  {
    int attempts = 0;
    std::set<Common::VmId> failed;
  };

  /// Routes and sends the request until a backend server starts a response with this request's id.
  Common::Task<Attempt> Open(ChatRequest request, AttemptHistory* history);
  /// Returns whether another attempt is allowed. If so, consumes a token of the retry budget.
  bool MayRetry(const CallContext& context, const AttemptHistory& history);
  Common::Task<std::variant<std::string, CallFailure>>
  ReadCompleteResponse(Http::ResponseStream& stream, CallContext context);
  Common::Task<void> ForwardStream(Http::ResponseStream& stream, std::string first,
                                   CallContext context, Http::ExchangePtr exchange);
  Common::Milliseconds StallTimeout() const;

  ApiContext& m_api_context;
};
} // namespace Callers
