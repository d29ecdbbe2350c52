# Settings that every target of the workspace shares.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)

set(BASILREACH_SANITIZE "" CACHE STRING
  "Comma-separated list of sanitizers, empty for none")

add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Werror)
if(BASILREACH_SANITIZE)
  # With sanitizers g++ 12 warns of uninitialised use inside Boost.Histogram.
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
