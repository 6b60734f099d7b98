// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>
#include <set>
#include <string>

#include "Callers/ChatApi.h"

namespace Callers
{
enum class JobState
{
  Open,
  Done,
  Failed,
};

/// A bulk job as it stands in the platform.
struct Job
{
  std::string id;
  Common::ServiceId service;
  JobState state = JobState::Open;
  std::int64_t attempt = 0;
  Common::VmId holder;
  Common::Incarnation holder_incarnation;
  std::string result_key; ///< In the object store, where done.
  std::string error;      ///< Where failed.
};

std::string SerializeJob(const Job& job);
std::optional<Job> ParseJob(const std::string& text);

/// Bulk jobs: accepted only after they are stored, run under an attempt number, with one result
/// committed. The daemon that accepted a job runs it; a job whose daemon is gone or silent is taken
/// over by the daemon that hashing gives its shard to.
class Jobs
{
public:
  Jobs(Gateway& gateway, ChatRelay& relay, Common::Milliseconds scan_interval);

  /// Begins to look for jobs that nobody runs.
  void Start();

  /// POST /v1/jobs, GET /v1/jobs/ID and GET /v1/jobs/ID/result.
  Common::Task<void> Serve(Http::ExchangePtr exchange);

  std::size_t Running() const { return m_running.size(); }

private:
  Common::Task<void> Submit(Http::ExchangePtr exchange);
  Common::Task<void> LookUp(Http::ExchangePtr exchange, std::string id, bool result);
  Common::Task<void> Scan();
  Common::Task<void> ScanShard(int shard);
  Common::Task<void> Consider(std::string id);
  Common::Task<void> Run(Job job, std::int64_t version);
  Common::Task<bool> RunOnce(Job job, std::int64_t version);
  Common::Task<bool> Finish(Job job, std::int64_t version);
  Common::Task<std::variant<ChatAnswer, CallFailure>> Complete(Job job, std::string body);

  Gateway& m_gateway;
  ChatRelay& m_relay;
  Common::Milliseconds m_scan_interval;
  std::set<std::string> m_running;
};
} // namespace Callers
