# cassiastile_module(NAME DEPS...)
#
# Defines the static library cassiastile_NAME from the sources of the calling
# folder, and the test program NAME_test from its *_test.cpp and *_bench.cpp
# files. Each test case becomes a ctest entry.
include(GoogleTest)

function(cassiastile_module name)
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  # *_bench.cpp files hold code that several tests of a module share.
  file(GLOB tests CONFIGURE_DEPENDS *_test.cpp *_bench.cpp)
  if(tests)
    list(REMOVE_ITEM sources ${tests})
  endif()
  if(sources)
    add_library(cassiastile_${name} STATIC ${sources})
    target_link_libraries(cassiastile_${name} PUBLIC cassiastile_common ${ARGN})
  else()
    add_library(cassiastile_${name} INTERFACE)
    target_link_libraries(cassiastile_${name} INTERFACE cassiastile_common ${ARGN})
  endif()
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
