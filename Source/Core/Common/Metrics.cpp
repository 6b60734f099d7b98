// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Metrics.h"

#include <prometheus/text_serializer.h>

namespace Common
{
namespace
{
/// In seconds. 0.69 is the target for the time to first token at the design load.
const prometheus::Histogram::BucketBoundaries LATENCY_BUCKETS{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.69, 1, 2.5, 5, 10, 30, 60};

double InSeconds(Milliseconds time)
{
  return static_cast<double>(time.count()) / 1000;
}
} // namespace

Metrics::Metrics()
    : m_requests(prometheus::BuildCounter()
                     .Name("drumpond_requests_total")
                     .Help("Callers' requests by kind and outcome")
                     .Register(m_registry)),
      m_resumptions(prometheus::BuildCounter()
                        .Name("drumpond_resumptions_total")
                        .Help("Streams that callers resumed by source of the origin and outcome")
                        .Register(m_registry)),
      m_attempts(prometheus::BuildCounter()
                     .Name("drumpond_backend_attempts_total")
                     .Help("Requests sent to backend servers by result")
                     .Register(m_registry)),
      m_first_token(prometheus::BuildHistogram()
                        .Name("drumpond_first_token_seconds")
                        .Help("From a request's arrival to its first token")
                        .Register(m_registry)),
      m_latency(prometheus::BuildHistogram()
                    .Name("drumpond_latency_seconds")
                    .Help("From a request's arrival to its answer or first event, by route")
                    .Register(m_registry)),
      m_pauses(prometheus::BuildHistogram()
                   .Name("drumpond_stream_pause_seconds")
                   .Help("The longest pause between two events of a stream, by route")
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

void Metrics::CountResumption(const std::string& origin, const std::string& outcome)
{
  m_resumptions.Add({{"origin", origin}, {"outcome", outcome}}).Increment();
}

void Metrics::CountAttempt(const std::string& result)
{
  m_attempts.Add({{"result", result}}).Increment();
}

void Metrics::ObserveFirstToken(Common::Milliseconds time, bool cold)
{
  m_first_token.Add({{"start", cold ? "cold" : "warm"}}, LATENCY_BUCKETS).Observe(InSeconds(time));
}

void Metrics::ObserveLatency(const std::string& route, Milliseconds time)
{
  m_latency.Add({{"route", route}}, LATENCY_BUCKETS).Observe(InSeconds(time));
}

void Metrics::ObserveLongestPause(const std::string& route, Milliseconds pause)
{
  m_pauses.Add({{"route", route}}, LATENCY_BUCKETS).Observe(InSeconds(pause));
}

void Metrics::SetGauge(const std::string& name, double value)
{
  m_state.Add({{"name", name}}).Set(value);
}

std::string Metrics::Render() const
{
  return prometheus::TextSerializer().Serialize(m_registry.Collect());
}
} // namespace Common
