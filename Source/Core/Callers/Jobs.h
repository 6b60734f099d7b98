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

/// A bulk job as stored in the platform.
struct Job
{
  std::string id;
  Common::ServiceId service;
  JobState state = JobState::Open;
  std::int64_t attempt = 0;
  Common::VmId holder;
  Common::Incarnation holder_incarnation;
  std::string result_key; ///< In the object store; set if `state` is Done.
  std::string error;      ///< Set if `state` is Failed.
};

std::string SerializeJob(const Job& job);
std::optional<Job> ParseJob(const std::string& text);

/// Accepts and runs bulk jobs. A job is accepted only after it is stored. Each attempt to run it
/// has a number, and only one result is committed. The daemon that accepted a job runs it. If that
/// daemon is gone, unresponsive or stopping, the owner of the job's shard takes the job over; the
/// owner is chosen by rendezvous hashing over the live daemons.
class Jobs
{
public:
  Jobs(ApiContext& api_context, ChatRelay& relay, Common::Milliseconds scan_interval);

  /// Starts the periodic scan for jobs that no daemon is running.
  void Start();

  /// POST /v1/jobs, GET /v1/jobs/ID and GET /v1/jobs/ID/result.
  Common::Task<void> Serve(Http::ExchangePtr exchange);

  std::size_t Running() const { return m_running.size(); }

private:
  Common::Task<void> Submit(Http::ExchangePtr exchange);
  Common::Task<void> LookUp(Http::ExchangePtr exchange, std::string id, bool result);
  Common::Task<void> Scan();
  Common::Task<void> ScanShard(int shard);
  Common::Task<void> TryTakeOver(std::string id);
  Common::Task<void> Run(Job job, std::int64_t version);
  Common::Task<bool> RunAttempt(Job job, std::int64_t version);
  Common::Task<bool> CommitFinalState(Job job, std::int64_t version);
  Common::Task<std::variant<ChatResponse, CallFailure>> Complete(Job job, std::string body);

  ApiContext& m_api_context;
  ChatRelay& m_relay;
  Common::Milliseconds m_scan_interval;
  std::set<std::string> m_running;
};
} // namespace Callers
