// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "Common/Units.h"

namespace Common
{
/// The Prometheus metrics of this daemon.
class Metrics
{
public:
  Metrics();

  /// Counts a completed request of a caller; `outcome` is "ok" or the type of the error.
  void CountRequest(const std::string& kind, const std::string& outcome);
  /// Counts a stream that a caller resumed. `origin`: how the software version that began it was
  /// found out; `outcome`: "continued", or how the request ended.
  void CountResumption(const std::string& origin, const std::string& outcome);
  /// Counts a request to a backend server; `result` is "ok", "declined", "not_sent", "broken" or
  /// "crossed".
  void CountAttempt(const std::string& result);
  void ObserveFirstToken(Milliseconds time, bool cold);
  /// Records the time from the arrival of a request to its response or first stream event.
  void ObserveLatency(const std::string& route, Milliseconds time);
  /// Records the longest pause between two events of a stream.
  void ObserveLongestPause(const std::string& route, Milliseconds pause);
  void SetGauge(const std::string& name, double value);
  /// Returns all metrics in the text format of Prometheus.
  std::string Render() const;

private:
  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_requests;
  prometheus::Family<prometheus::Counter>& m_resumptions;
  prometheus::Family<prometheus::Counter>& m_attempts;
  prometheus::Family<prometheus::Histogram>& m_first_token;
  prometheus::Family<prometheus::Histogram>& m_latency;
  prometheus::Family<prometheus::Histogram>& m_pauses;
  prometheus::Family<prometheus::Gauge>& m_state;
};
} // namespace Common
