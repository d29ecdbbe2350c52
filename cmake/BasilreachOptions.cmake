# Build options shared by all targets.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)

set(BASILREACH_SANITIZE "" CACHE STRING
  "Comma-separated list of sanitizers, empty for none")

option(BASILREACH_DEVELOPMENT "Build tests, stand-ins and tools" ON)

add_compile_options(-Wall -Wextra -Wpedantic -Wshadow)
if(BASILREACH_DEVELOPMENT)
  add_compile_options(-Werror)
else()
  # At -O3, g++ 12 warns of overlapping copies inside its own std::string.
  add_compile_options(-Wno-restrict)
endif()
if(BASILREACH_SANITIZE)
  # With sanitizers, g++ 12 warns of uninitialised variables inside
  # Boost.Histogram.
  add_compile_options(-Wno-maybe-uninitialized)
  add_compile_options(-fsanitize=${BASILREACH_SANITIZE}
    -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${BASILREACH_SANITIZE})
endif()

find_program(BASILREACH_CCACHE ccache)
if(BASILREACH_CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${BASILREACH_CCACHE}")
endif()

find_package(Threads REQUIRED)
