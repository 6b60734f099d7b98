// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include "Callers/ChatRelay.h"

namespace Callers
{
/// Parses the body of a chat request and resolves its `model`, which names a model, a version or an
/// adapter in the table. Sets `stream` to whether the caller wants a streamed response.
/// Failures: InvalidInput, NotFound.
Common::Result<ChatRequest> ParseChat(ApiContext& api_context, CallContext context,
                                      const std::string& body, bool* stream);

/// POST /v1/chat/completions and GET /v1/models in the OpenAI-compatible format.
class ChatApi
{
public:
  ChatApi(ApiContext& api_context, ChatRelay& relay) : m_api_context(api_context), m_relay(relay) {}

  Common::Task<void> Complete(Http::ExchangePtr exchange);
  Common::Task<void> ListModels(Http::ExchangePtr exchange);

private:
  ApiContext& m_api_context;
  ChatRelay& m_relay;
};
} // namespace Callers
