set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

# OFF builds only the programs, without the packages that only tests need.
option(CASSIASTILE_TESTS "Build tests, examples and measurements" ON)

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM AND CASSIASTILE_TESTS)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

set(CASSIASTILE_SANITIZE "" CACHE STRING "Sanitizer list, such as address,undefined or thread")
if(CASSIASTILE_SANITIZE)
  add_compile_options(-fsanitize=${CASSIASTILE_SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${CASSIASTILE_SANITIZE})
endif()

find_package(Threads REQUIRED)
find_package(CURL REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost REQUIRED COMPONENTS program_options)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(fmt REQUIRED)
if(CASSIASTILE_TESTS)
  find_package(GTest REQUIRED)
  find_package(benchmark REQUIRED)
  find_package(rapidcheck CONFIG REQUIRED)
endif()

# Compile and link settings shared by all targets.
add_library(cassiastile_common INTERFACE)
target_include_directories(cassiastile_common INTERFACE ${PROJECT_SOURCE_DIR}/include)
target_compile_definitions(cassiastile_common INTERFACE ASIO_STANDALONE)
target_compile_options(cassiastile_common INTERFACE -Wall -Wextra -Wshadow)
target_link_libraries(cassiastile_common INTERFACE Threads::Threads nlohmann_json::nlohmann_json fmt::fmt)
