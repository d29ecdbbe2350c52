# basilreach_package(NAME [SOURCES ...] [DEPENDS ...])
#
# Adds the library basilreach_NAME, alias basilreach::NAME, with its headers
# under include/. A package without sources becomes an interface library.
function(basilreach_package name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  set(target basilreach_${name})
  if(arg_SOURCES)
    add_library(${target} STATIC ${arg_SOURCES})
    set(scope PUBLIC)
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  add_library(basilreach::${name} ALIAS ${target})
  target_include_directories(${target} ${scope}
    "${CMAKE_CURRENT_SOURCE_DIR}/include")
  target_link_libraries(${target} ${scope} ${arg_DEPENDS})
endfunction()

# basilreach_known_red(PROGRAM RESULT)
#
# Sets RESULT to the doctest option that passes over the test cases of PROGRAM
# that KNOWN-RED.txt lists, in lines of the form "PROGRAM: TEST CASE".
function(basilreach_known_red program result)
  set(list "${PROJECT_SOURCE_DIR}/KNOWN-RED.txt")
  set(${result} "" PARENT_SCOPE)
  if(NOT EXISTS "${list}")
    return()
  endif()
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS "${list}")
  file(STRINGS "${list}" lines REGEX "^${program}: ")
  set(cases "")
  foreach(line IN LISTS lines)
    string(REPLACE "${program}: " "" case "${line}")
    # doctest separates test cases by commas.
    string(REPLACE "," "\\," case "${case}")
    list(APPEND cases "${case}")
  endforeach()
  if(cases)
    list(JOIN cases "," cases)
    set(${result} "--test-case-exclude=${cases}" PARENT_SCOPE)
  endif()
endfunction()

# basilreach_test(NAME SOURCES ... [DEPENDS ...])
#
# Adds NAME_test, the only doctest program of a package, and registers it with
# CTest as NAME.
function(basilreach_test name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  set(target ${name}_test)
  add_executable(${target} ${arg_SOURCES})
  target_link_libraries(${target} PRIVATE basilreach::${name} ${arg_DEPENDS})
  target_compile_definitions(${target} PRIVATE
    BASILREACH_SOURCE_DIR="${PROJECT_SOURCE_DIR}"
    BASILREACH_TEST_DIR="${CMAKE_CURRENT_SOURCE_DIR}")
  basilreach_known_red(${target} known_red)
  add_test(NAME ${name} COMMAND ${target} ${known_red})
  set_tests_properties(${name} PROPERTIES TIMEOUT 120)
endfunction()

# basilreach_add_tests()
#
# Adds the package's folder test/ if BASILREACH_DEVELOPMENT is on.
macro(basilreach_add_tests)
  if(BASILREACH_DEVELOPMENT)
    add_subdirectory(test)
  endif()
endmacro()
