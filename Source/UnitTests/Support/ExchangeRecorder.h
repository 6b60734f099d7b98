// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>
#include <string>

#include "Http/OriginConnection.h"

namespace UnitTests
{
/// Accepts every response and records how the exchange ended.
class ExchangeRecorder : public Http::ResponseHandler
{
public:
  HeadAction OnResponseHead(Http::MessageHead&) override { return HeadAction::Accept; }
  void OnResponseBody(std::string_view bytes) override { body.append(bytes); }
  void OnResponseEnd() override { ended = true; }
  void OnExchangeFailed(Http::ExchangeError got) override { error = got; }

  std::string body;
  bool ended = false;
  std::optional<Http::ExchangeError> error;
};
} // namespace UnitTests
