# cassiastile_module(NAME DEPS... [SERIAL NAMES...])
#
# Defines the static library cassiastile_NAME from the sources of the calling
# folder, and the test program NAME_test from its *_test.cpp and *_bench.cpp
# files. Each test case becomes a ctest entry. For each of SERIAL, X_test.cpp and
# X_bench.cpp make a program X_test of their own, whose test cases run one at a
# time, apart from all others; not in builds with sanitizers, whose use of memory
# is not the program's own.
include(GoogleTest)

function(cassiastile_module name)
  cmake_parse_arguments(PARSE_ARGV 1 module "" "" "SERIAL")
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  # *_bench.cpp files hold code that several tests of a module share.
  file(GLOB tests CONFIGURE_DEPENDS *_test.cpp *_bench.cpp)
  if(tests)
    list(REMOVE_ITEM sources ${tests})
  endif()
  if(sources)
    add_library(cassiastile_${name} STATIC ${sources})
    target_link_libraries(cassiastile_${name} PUBLIC cassiastile_common ${module_UNPARSED_ARGUMENTS})
  else()
    add_library(cassiastile_${name} INTERFACE)
    target_link_libraries(cassiastile_${name} INTERFACE cassiastile_common ${module_UNPARSED_ARGUMENTS})
  endif()
  foreach(serial ${module_SERIAL})
    set(serial_files ${tests})
    list(FILTER serial_files INCLUDE REGEX "/${serial}_(test|bench)[.]cpp$")
    list(REMOVE_ITEM tests ${serial_files})
    if(CASSIASTILE_TESTS AND NOT CASSIASTILE_SANITIZE)
      add_executable(${serial}_test ${serial_files})
      target_link_libraries(${serial}_test PRIVATE cassiastile_${name} GTest::gmock GTest::gtest_main)
      gtest_discover_tests(${serial}_test TEST_PREFIX ${name}. NO_PRETTY_VALUES DISCOVERY_TIMEOUT 60
                           PROPERTIES TIMEOUT 120 RUN_SERIAL TRUE)
    endif()
  endforeach()
  if(tests AND CASSIASTILE_TESTS)
    add_executable(${name}_test ${tests})
    target_link_libraries(${name}_test PRIVATE cassiastile_${name} GTest::gmock GTest::gtest_main rapidcheck)
    target_compile_definitions(${name}_test PRIVATE CASSIASTILE_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
    # Sanitizers slow the tests down by up to a factor of fifty.
    set(seconds 120)
    if(CASSIASTILE_SANITIZE)
      set(seconds 1200)
    endif()
    gtest_discover_tests(${name}_test TEST_PREFIX ${name}. DISCOVERY_TIMEOUT 60 PROPERTIES TIMEOUT ${seconds})
  endif()
endfunction()
