// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/Exception.h>
#include <cppunit/SourceLine.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include "Common/Log.h"
#include "UnitTests/Fuzz.h"

namespace
{
/// Number of inputs for each decoder if `--fuzz` is given without ROUNDS.
constexpr int DEFAULT_FUZZ_ROUNDS = 20000;

/// Strips the anonymous namespace that all test classes are in.
std::string ShortName(const std::string& name)
{
  constexpr std::string_view PREFIX = "(anonymous namespace)::";
  return name.starts_with(PREFIX) ? name.substr(PREFIX.size()) : name;
}
} // namespace

int main(int argc, char** argv)
{
  if (argc > 1 && std::string_view(argv[1]) == "--fuzz")
    return UnitTests::RunFuzz(argc > 2 ? std::atoi(argv[2]) : DEFAULT_FUZZ_ROUNDS) == 0 ? 0 : 1;
  Common::InitLog(argv[0]);
  Common::MuteLog();
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  // The optional argument is the name of a single test, as printed by a run of all tests.
  runner.run(result, argc > 1 ? argv[1] : "");
  // All suites print failures as "FAIL NAME ...", which is matched against KNOWN-RED.txt.
  for (const CppUnit::TestFailure* failure : collector.failures())
    std::cout << "FAIL " << ShortName(failure->failedTestName()) << " at "
              << failure->sourceLine().fileName() << ":" << failure->sourceLine().lineNumber()
              << "\n"
              << failure->thrownException()->message().details();
  const int failed = collector.testFailuresTotal();
  std::cout << collector.runTests() - failed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}
