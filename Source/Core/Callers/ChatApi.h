// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include "Callers/ChatRelay.h"

namespace Callers
{
/// A parsed chat request, or why it is none. `model` in the body names a model, a version or an
/// adapter of the table.
Common::Result<ChatRequest> ParseChat(Gateway& gateway, CallContext context,
                                      const std::string& body, bool* stream);

/// POST /v1/chat/completions and GET /v1/models, in the published form.
class ChatApi
{
public:
  ChatApi(Gateway& gateway, ChatRelay& relay) : m_gateway(gateway), m_relay(relay) {}

  Common::Task<void> Complete(Http::ExchangePtr exchange);
  Common::Task<void> ListModels(Http::ExchangePtr exchange);

private:
  Gateway& m_gateway;
  ChatRelay& m_relay;
};
} // namespace Callers
