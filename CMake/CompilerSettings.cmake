# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
set(CMAKE_LIBRARY_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
# The packages are linked into the daemon's library, which exports only its entry point.
set(CMAKE_POSITION_INDEPENDENT_CODE ON)
set(CMAKE_CXX_VISIBILITY_PRESET hidden)
set(CMAKE_VISIBILITY_INLINES_HIDDEN ON)

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
# Coroutines resume each other through tail calls, which GCC emits from -O2 on. Without them, the stack grows with the
# length of a stream; debug builds therefore request them explicitly.
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")
set(CMAKE_CXX_FLAGS_DEBUG "-Og -g -foptimize-sibling-calls")

add_compile_options(-Wall -Wextra -Wno-missing-field-initializers -fno-strict-aliasing)
