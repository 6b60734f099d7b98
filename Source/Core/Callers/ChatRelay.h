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
/// One chat completion on its way to an engine.
struct ChatRequest
{
  CallContext context;
  Table::Artifact artifact;
  std::string body; ///< JSON with the artifact as its model.
  std::string affinity;
};

/// A whole answer.
struct ChatAnswer
{
  std::string body;
  Common::VmId server;
};

/// Sends chat completions to engines. Generation may be repeated: as long as no byte of an answer
/// went to the caller, a broken attempt is tried elsewhere, within the deadline and the budget.
class ChatRelay
{
public:
  explicit ChatRelay(Gateway& gateway) : m_gateway(gateway) {}

  Common::Task<std::variant<ChatAnswer, CallFailure>> RunWhole(ChatRequest request);
  /// Streams to the caller, and answers it in every case.
  Common::Task<void> RunStream(ChatRequest request, Http::ExchangePtr exchange);

private:
  struct Opened
  {
    Serving::Grant grant;
    std::unique_ptr<Http::ResponseStream> stream;
  };
  using Attempt = std::variant<Opened, CallFailure>;
  /// What one request has tried already.
  struct History
  {
    int attempts = 0;
    std::set<Common::VmId> failed;
  };

  /// Routes and sends until an engine begins to answer with this request's id.
  Common::Task<Attempt> Open(ChatRequest request, History* history);
  /// Whether another attempt may be made; takes it from the budget.
  bool MayRetry(const CallContext& context, const History& history);
  Common::Task<std::variant<std::string, CallFailure>> ReadWhole(Http::ResponseStream& stream,
                                                                 CallContext context);
  Common::Task<void> Relay(Http::ResponseStream& stream, std::string first, CallContext context,
                           Http::ExchangePtr exchange);
  Common::Milliseconds StallPatience() const;

  Gateway& m_gateway;
};
} // namespace Callers
