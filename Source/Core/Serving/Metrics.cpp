// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Serving/Metrics.h"

#include <prometheus/text_serializer.h>

namespace Serving
{
namespace
{
const prometheus::Histogram::BucketBoundaries FIRST_TOKEN_BOUNDS{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.69, 1, 2.5, 5, 10, 30, 60};
}

Metrics::Metrics()
    : m_requests(prometheus::BuildCounter()
                     .Name("drumpond_requests_total")
                     .Help("Callers' requests by kind and outcome")
                     .Register(m_registry)),
      m_attempts(prometheus::BuildCounter()
                     .Name("drumpond_backend_attempts_total")
                     .Help("Requests sent to backend servers by result")
                     .Register(m_registry)),
      m_first_token(prometheus::BuildHistogram()
                        .Name("drumpond_first_token_seconds")
                        .Help("From a request's arrival to its first token")
                        .Register(m_registry)),
      m_state(prometheus::BuildGauge()
                  .Name("drumpond_state")
                  .Help("Present sizes inside the daemon")
                  .Register(m_registry))
{
}

void Metrics::CountRequest(const std::string& kind, const std::string& outcome)
{
  m_requests.Add({{"kind", kind}, {"outcome", outcome}}).Increment();
}

void Metrics::CountAttempt(const std::string& result)
{
  m_attempts.Add({{"result", result}}).Increment();
}

void Metrics::ObserveFirstToken(Common::Milliseconds time, bool cold)
{
  m_first_token.Add({{"start", cold ? "cold" : "warm"}}, FIRST_TOKEN_BOUNDS)
      .Observe(static_cast<double>(time.count()) / 1000);
}

void Metrics::SetGauge(const std::string& name, double value)
{
  m_state.Add({{"name", name}}).Set(value);
}

std::string Metrics::Render() const
{
  return prometheus::TextSerializer().Serialize(m_registry.Collect());
}
} // namespace Serving
