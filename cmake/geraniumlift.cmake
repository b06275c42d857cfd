# Helpers shared by the modules' CMakeLists.txt files.

# Everything a unit needs that includes cpprestsdk. The definition removes the macro U, which breaks
# fmt's templates; OpenSSL is linked here because cpprestsdk's target does not carry it.
add_library(geraniumlift_cpprest INTERFACE)
target_compile_definitions(geraniumlift_cpprest INTERFACE _TURN_OFF_PLATFORM_STRING)
target_link_libraries(geraniumlift_cpprest INTERFACE cpprestsdk::cpprest OpenSSL::SSL OpenSSL::Crypto
                                                     Threads::Threads)
set_target_properties(geraniumlift_cpprest PROPERTIES EXPORT_NAME cpprest)
install(TARGETS geraniumlift_cpprest EXPORT geraniumliftTargets)

# geraniumlift_module(<name> [INTERNAL] [SOURCES ...] [LINK ...])
# Defines the library geraniumlift_<name>, header-only if it has no sources. INTERNAL ones are not
# installed.
function(geraniumlift_module Name)
  cmake_parse_arguments(Arg "INTERNAL" "" "SOURCES;LINK" ${ARGN})
  set(Target geraniumlift_${Name})
  if(Arg_SOURCES)
    add_library(${Target} STATIC ${Arg_SOURCES})
    set(Scope PUBLIC)
  else()
    add_library(${Target} INTERFACE)
    set(Scope INTERFACE)
  endif()
  add_library(geraniumlift::${Name} ALIAS ${Target})
  target_include_directories(
    ${Target} ${Scope} $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/src>
                       $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/geraniumlift>)
  target_link_libraries(${Target} ${Scope} ${Arg_LINK})
  if(Arg_INTERNAL)
    return()
  endif()
  set_target_properties(${Target} PROPERTIES EXPORT_NAME ${Name})
  install(TARGETS ${Target} EXPORT geraniumliftTargets)
  install(
    DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}/
    DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/geraniumlift/${Name}
    FILES_MATCHING
    PATTERN "*.h"
    PATTERN "tests" EXCLUDE)
endfunction()

# geraniumlift_test(<name> SOURCES ... LINK ...)
# Defines a Criterion test program and registers it with CTest. RC_PARAMS fixes RapidCheck's seed, so
# that the verdict is the same every time.
function(geraniumlift_test Name)
  if(NOT GERANIUMLIFT_TESTS)
    return()
  endif()
  cmake_parse_arguments(Arg "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${Name} ${Arg_SOURCES})
  target_include_directories(${Name} PRIVATE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/testing)
  target_link_libraries(${Name} PRIVATE ${Arg_LINK} PkgConfig::criterion)
  add_test(NAME ${Name} COMMAND ${Name} --verbose=0)
  set_tests_properties(${Name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=7" TIMEOUT 300)
endfunction()
