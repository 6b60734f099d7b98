// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// drumpond-load: load generator. Sends chat requests to daemons or directly to backend servers, and
// bulk jobs to daemons, and prints the measurements as one JSON line. The requests follow a trace
// that is generated from a seed, in an open loop: each is sent on time, however slow the responses
// are. With --streams it runs a closed loop instead.

#include <array>
#include <cmath>
#include <iostream>
#include <map>
#include <sstream>

#include <cxxopts.hpp>
#include <glib.h>

#include "Common/Loop.h"
#include "Common/Random.h"
#include "Http/Client.h"
#include "LoadTool/Samples.h"

namespace
{
using Common::Json;
using Common::Milliseconds;
using Common::Now;
using Common::Random;
using Common::Task;
using Common::TimePoint;

/// Number of last bytes of a stream to keep; must hold its end marker, "[DONE]" and two newlines.
constexpr std::size_t TAIL_BYTES = 16;

struct Options
{
  std::vector<std::string> targets;
  std::vector<std::string> models;
  double rate = 10; ///< Chat requests per second.
  double seconds = 10;
  double exponent = 1.0;  ///< Of the power law of model popularity.
  double burst_every = 0; ///< Seconds between bursts; 0: none.
  int burst_size = 12;
  int tokens = 8;  ///< Per response.
  int streams = 0; ///< Number of streams in a closed loop; 0: open loop with a trace.
  std::int64_t deadline_ms = 30000;
  std::uint64_t seed = 1;
  double jobs_rate = 0; ///< Bulk jobs per second.
  std::string label;
};

/// A request of the trace.
struct Arrival
{
  double at_s = 0;        ///< Since the start of the trace.
  std::size_t model = 0;  ///< Index in `Options::models`.
  std::size_t target = 0; ///< Index in `Options::targets`.
  bool job = false;       ///< A bulk job instead of a chat request.
};

/// Returns a random number in [0, 1).
double Uniform(Random& random)
{
  return static_cast<double>(random() >> 11) * 0x1.0p-53;
}

/// Selects models at random, weighted by a power law of their rank.
class ModelPopularity
{
public:
  ModelPopularity(std::size_t count, double exponent)
  {
    for (std::size_t rank = 1; rank <= count; ++rank)
      m_cumulative_weights.push_back(
          (m_cumulative_weights.empty() ? 0 : m_cumulative_weights.back()) +
          std::pow(static_cast<double>(rank), -exponent));
  }
  std::size_t Draw(Random& random) const
  {
    const double value = Uniform(random) * m_cumulative_weights.back();
    return static_cast<std::size_t>(std::ranges::lower_bound(m_cumulative_weights, value) -
                                    m_cumulative_weights.begin());
  }

private:
  std::vector<double> m_cumulative_weights;
};

/// Generates the trace: chat requests and jobs as Poisson arrivals, and bursts of chat requests for
/// one rarely used model, spread over all targets.
std::vector<Arrival> MakeTrace(const Options& options)
{
  Random random(options.seed);
  const ModelPopularity popularity(options.models.size(), options.exponent);
  std::vector<Arrival> trace;
  const auto add_poisson_arrivals = [&](double rate, bool job) {
    for (double at = 0; rate > 0;)
    {
      at -= std::log(1 - Uniform(random)) / rate;
      if (at >= options.seconds)
        return;
      trace.push_back({at, popularity.Draw(random), random() % options.targets.size(), job});
    }
  };
  add_poisson_arrivals(options.rate, false);
  add_poisson_arrivals(options.jobs_rate, true);
  for (double at = options.burst_every; options.burst_every > 0 && at < options.seconds;
       at += options.burst_every)
  {
    // Bursts request one of the less popular half of the models, which are rarely loaded.
    const std::size_t half = options.models.size() / 2;
    const std::size_t model = half + random() % (options.models.size() - half);
    for (int number = 0; number < options.burst_size; ++number)
      trace.push_back(
          {at, model, static_cast<std::size_t>(number) % options.targets.size(), false});
  }
  std::ranges::sort(trace, {}, &Arrival::at_s);
  return trace;
}

struct Measurements
{
  /// Time to the first chunk if the response header X-Drumpond-Start is "cold": no replica was
  /// available when the request arrived.
  LoadTool::Samples cold;
  LoadTool::Samples warm; ///< Time to the first chunk of all other responses.
  LoadTool::Samples between_chunks;
  LoadTool::Samples refusal; ///< Time to a response with a status other than 200.
  std::map<std::string, int> outcomes;
  std::int64_t tokens = 0;
  int late_first_tokens = 0; ///< Responses whose first chunk came after the deadline.
  int open_requests = 0;
};

double MillisecondsSince(TimePoint start_time)
{
  return std::chrono::duration<double, std::milli>(Now() - start_time).count();
}

class LoadGenerator
{
public:
  explicit LoadGenerator(const Options& options) : m_options(options) {}

  Task<void> SendChat(std::string target, std::string model)
  {
    ++m_measurements.open_requests;
    Http::Request request;
    request.method = "POST";
    request.url = target + "/v1/chat/completions";
    request.headers["X-Deadline-Ms"] = std::to_string(m_options.deadline_ms);
    request.headers["X-Request-Id"] = Common::NewId("l-");
    request.timeout = Milliseconds(m_options.deadline_ms + 5000);
    const Json message = {{"role", "user"}, {"content", "hello " + model}};
    const Json body = {{"model", model},
                       {"stream", true},
                       {"max_tokens", m_options.tokens},
                       {"messages", Json::array({message})}};
    request.body = Common::DumpJson(body);
    const TimePoint start_time = Now();
    auto opened = co_await m_client.Open(std::move(request));
    if (!opened)
      CountOutcome("broken");
    else if ((*opened)->Status() != 200)
      co_await ReadRefusal(**opened, start_time);
    else
      co_await ReadStream(**opened, start_time);
    --m_measurements.open_requests;
  }

  Task<void> SendJob(std::string target, std::string model)
  {
    ++m_measurements.open_requests;
    Http::Request request;
    request.method = "POST";
    request.url = target + "/v1/jobs";
    const Json message = {{"role", "user"}, {"content", "plan"}};
    const Json body = {{"model", model}, {"messages", Json::array({message})}};
    request.body = Common::DumpJson(body);
    const auto response = co_await m_client.Send(std::move(request));
    CountOutcome(response && response->status == 202 ? "job_accepted" : "job_refused");
    --m_measurements.open_requests;
  }

  const Measurements& GetMeasurements() const { return m_measurements; }

private:
  void CountOutcome(const std::string& outcome) { ++m_measurements.outcomes[outcome]; }

  Task<void> ReadRefusal(Http::ResponseStream& stream, TimePoint start_time)
  {
    CountOutcome("status_" + std::to_string(stream.Status()));
    m_measurements.refusal.Add(MillisecondsSince(start_time));
    co_await stream.Read(Milliseconds(1000));
  }

  Task<void> ReadStream(Http::ResponseStream& stream, TimePoint start_time)
  {
    bool first = true;
    std::string tail;
    TimePoint last = start_time;
    while (true)
    {
      auto chunk = co_await stream.Read(Milliseconds(20000));
      if (!chunk || chunk->empty())
        break;
      const auto& headers = stream.GetHeaders();
      const auto start = headers.find("x-drumpond-start");
      const bool cold = start != headers.end() && start->second == "cold";
      if (first)
        (cold ? m_measurements.cold : m_measurements.warm).Add(MillisecondsSince(start_time));
      else
        m_measurements.between_chunks.Add(MillisecondsSince(last));
      if (first && MillisecondsSince(start_time) > static_cast<double>(m_options.deadline_ms))
        ++m_measurements.late_first_tokens;
      first = false;
      last = Now();
      for (std::size_t at = chunk->find("data: "); at != std::string::npos;
           at = chunk->find("data: ", at + 1))
        ++m_measurements.tokens;
      tail += *chunk;
      if (tail.size() > TAIL_BYTES)
        tail.erase(0, tail.size() - TAIL_BYTES);
    }
    CountOutcome(tail.ends_with("[DONE]\n\n") ? "ok" : "broken");
  }

  const Options& m_options;
  Http::Client m_client;
  Measurements m_measurements;
};

void RunUntil(const std::function<bool()>& condition)
{
  // The timer wakes the main loop, so that the condition is checked even without other events.
  bool ticking = true;
  std::function<void()> tick = [&] {
    if (ticking)
      Common::CallAfter(Milliseconds(5), tick);
  };
  tick();
  while (!condition())
    g_main_context_iteration(nullptr, TRUE);
  ticking = false;
  for (int step = 0; step < 3; ++step)
    g_main_context_iteration(nullptr, TRUE);
}

void RunTrace(const Options& options, LoadGenerator& generator)
{
  const auto trace = MakeTrace(options);
  std::size_t next = 0;
  const TimePoint start_time = Now();
  RunUntil([&] {
    const double now_s = MillisecondsSince(start_time) / 1000;
    while (next < trace.size() && trace[next].at_s <= now_s)
    {
      const Arrival& arrival = trace[next++];
      const std::string& target = options.targets[arrival.target];
      const std::string& model = options.models[arrival.model];
      Common::Spawn(arrival.job ? generator.SendJob(target, model)
                                : generator.SendChat(target, model));
    }
    return next == trace.size() && generator.GetMeasurements().open_requests == 0;
  });
}

/// Sends chat requests one after another until `end`.
Task<void> KeepStreaming(const Options& options, LoadGenerator& generator, std::size_t number,
                         TimePoint end)
{
  while (Now() < end)
    co_await generator.SendChat(options.targets[number % options.targets.size()],
                                options.models[number % options.models.size()]);
}

void RunStreams(const Options& options, LoadGenerator& generator)
{
  const TimePoint end = Now() + Milliseconds(static_cast<std::int64_t>(options.seconds * 1000));
  for (int number = 0; number < options.streams; ++number)
    Common::Spawn(KeepStreaming(options, generator, static_cast<std::size_t>(number), end));
  RunUntil([&] {
    return Now() >= end && generator.GetMeasurements().open_requests == 0;
  });
}

std::vector<std::string> ExpandModels(const std::string& text)
{
  std::vector<std::string> models;
  std::istringstream list(text);
  std::string item;
  while (std::getline(list, item, ','))
  {
    // NAME:COUNT stands for NAME-01 to NAME-COUNT.
    const auto colon = item.find(':');
    if (colon == std::string::npos)
    {
      models.push_back(item);
      continue;
    }
    for (int number = 1; number <= std::atoi(item.c_str() + colon + 1); ++number)
    {
      std::array<char, 16> digits{};
      std::snprintf(digits.data(), digits.size(), "-%02d", number);
      models.push_back(item.substr(0, colon) + digits.data());
    }
  }
  return models;
}

void PrintMeasurements(const Options& options, const Measurements& measurements, double elapsed_s)
{
  const Json line = {
      {"label", options.label},
      {"seed", options.seed},
      {"seconds", elapsed_s},
      {"outcomes", measurements.outcomes},
      {"late", measurements.late_first_tokens},
      {"tokens_per_s", std::round(static_cast<double>(measurements.tokens) / elapsed_s)},
      {"cold_first_token", measurements.cold.Summary()},
      {"warm_first_token", measurements.warm.Summary()},
      {"between_chunks", measurements.between_chunks.Summary()},
      {"refusal", measurements.refusal.Summary()}};
  std::cout << Common::DumpJson(line) << "\n";
}
} // namespace

int main(int argc, char** argv)
{
  cxxopts::Options parser("drumpond-load",
                          "Sends a load generated from a seed and prints measurements as JSON.");
  parser.add_options()("targets", "URLs", cxxopts::value<std::vector<std::string>>())(
      "models", "model names; NAME:COUNT stands for NAME-01 to NAME-COUNT",
      cxxopts::value<std::string>())("rate", "chat requests per second",
                                     cxxopts::value<double>()->default_value("10"))(
      "seconds", "duration of the load", cxxopts::value<double>()->default_value("10"))(
      "exponent", "exponent of the power law of model popularity",
      cxxopts::value<double>()->default_value("1"))("burst-every",
                                                    "seconds between bursts; 0: none",
                                                    cxxopts::value<double>()->default_value("0"))(
      "burst-size", "requests per burst", cxxopts::value<int>()->default_value("12"))(
      "jobs-rate", "bulk jobs per second", cxxopts::value<double>()->default_value("0"))(
      "tokens", "tokens per response", cxxopts::value<int>()->default_value("8"))(
      "streams", "concurrent streams in a closed loop, instead of a trace",
      cxxopts::value<int>()->default_value("0"))(
      "deadline-ms", "deadline", cxxopts::value<std::int64_t>()->default_value("30000"))(
      "seed", "seed of the trace", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "label", "label to include in the output",
      cxxopts::value<std::string>()->default_value(""))("help", "print this text");
  try
  {
    const cxxopts::ParseResult parsed = parser.parse(argc, argv);
    if (parsed.count("help") != 0)
    {
      std::cout << parser.help();
      return 0;
    }
    Options options;
    options.targets = parsed["targets"].as<std::vector<std::string>>();
    options.models = ExpandModels(parsed["models"].as<std::string>());
    options.rate = parsed["rate"].as<double>();
    options.seconds = parsed["seconds"].as<double>();
    options.exponent = parsed["exponent"].as<double>();
    options.burst_every = parsed["burst-every"].as<double>();
    options.burst_size = parsed["burst-size"].as<int>();
    options.jobs_rate = parsed["jobs-rate"].as<double>();
    options.tokens = parsed["tokens"].as<int>();
    options.streams = parsed["streams"].as<int>();
    options.deadline_ms = parsed["deadline-ms"].as<std::int64_t>();
    options.seed = parsed["seed"].as<std::uint64_t>();
    options.label = parsed["label"].as<std::string>();
    LoadGenerator generator(options);
    const TimePoint start_time = Now();
    if (options.streams > 0)
      RunStreams(options, generator);
    else
      RunTrace(options, generator);
    PrintMeasurements(options, generator.GetMeasurements(), MillisecondsSince(start_time) / 1000);
    return 0;
  }
  catch (const cxxopts::exceptions::exception& error)
  {
    std::cerr << "drumpond-load: " << error.what() << "\n";
    return 2;
  }
}
