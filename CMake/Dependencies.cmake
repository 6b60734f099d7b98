# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# All libraries come from Debian packages, which Tools/setup.sh installs.

find_package(PkgConfig REQUIRED)
pkg_check_modules(SOUP REQUIRED IMPORTED_TARGET libsoup-3.0)
pkg_check_modules(GIO REQUIRED IMPORTED_TARGET gio-2.0)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(CPPUNIT REQUIRED IMPORTED_TARGET cppunit)
pkg_check_modules(ZSTD REQUIRED IMPORTED_TARGET libzstd)
pkg_check_modules(LUA REQUIRED IMPORTED_TARGET lua5.4)
find_package(nlohmann_json REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED COMPONENTS core)
find_package(cxxopts REQUIRED)
# Needed by the benchmarks only, which are skipped if it is missing.
find_package(benchmark CONFIG QUIET)
find_library(CSV_LIBRARY csv REQUIRED)
find_library(HTTP_PARSER_LIBRARY http_parser REQUIRED)

# Adds the static library of one package of Source/Core.
function(drumpond_package name)
  cmake_parse_arguments(PACKAGE "" "" "SOURCES;LINKS" ${ARGN})
  add_library(${name} STATIC ${PACKAGE_SOURCES})
  target_include_directories(${name} PUBLIC "${CMAKE_SOURCE_DIR}/Source/Core")
  target_link_libraries(${name} PUBLIC ${PACKAGE_LINKS})
endfunction()

# Adds a program outside Source/Core.
function(drumpond_program name)
  cmake_parse_arguments(PROGRAM "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${name} ${PROGRAM_SOURCES})
  target_include_directories(${name} PRIVATE "${CMAKE_SOURCE_DIR}/Source")
  target_link_libraries(${name} PRIVATE ${PROGRAM_LINKS})
endfunction()
