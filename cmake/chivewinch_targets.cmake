add_library(chivewinch_options INTERFACE)
# missing-field-initializers is off since designated initialisers omit members that keep their default. The other
# warnings are off since GCC 12 reports false positives: maybe-uninitialized inside std::optional, restrict in the
# concatenation of std::string and, under sanitizers, mismatched-new-delete for the frames of Boost.Asio's coroutines.
target_compile_options(chivewinch_options INTERFACE
    -Wall -Wextra -Wpedantic -Werror -Wno-missing-field-initializers -Wno-maybe-uninitialized -Wno-restrict
    -Wno-mismatched-new-delete)
target_include_directories(chivewinch_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
if(CHIVEWINCH_SANITIZE)
    # Sanitizer reports need line numbers only. The unity source of src/group compiles in 34 s, with -O2 -g in 67 s.
    target_compile_options(chivewinch_options INTERFACE -O1 -g1)
endif()
if(CHIVEWINCH_SANITIZE STREQUAL "address")
    target_compile_options(chivewinch_options INTERFACE -fsanitize=address,undefined
        -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
    target_link_options(chivewinch_options INTERFACE -fsanitize=address,undefined)
elseif(CHIVEWINCH_SANITIZE STREQUAL "thread")
    # GCC reports atomic_thread_fence in Boost.Asio headers as unsupported by ThreadSanitizer.
    target_compile_options(chivewinch_options INTERFACE -fsanitize=thread -Wno-tsan)
    target_link_options(chivewinch_options INTERFACE -fsanitize=thread)
endif()

# In unity sources, GCC warns about types without linkage, such as a coroutine's frame that holds a lambda, in every
# included source.
target_compile_options(chivewinch_options INTERFACE $<$<BOOL:$<TARGET_PROPERTY:UNITY_BUILD>>:-Wno-subobject-linkage>)

# Separate compilation of Boost.Asio and Boost.Beast shortens the build: src/http/client.cpp compiles in 16 s instead of
# 19 s with header-only Boost, and in 53 s instead of 69 s under AddressSanitizer.
add_library(chivewinch_boost STATIC ${CMAKE_SOURCE_DIR}/cmake/boost_asio_beast.cpp)
target_link_libraries(chivewinch_boost PRIVATE chivewinch_options Threads::Threads)

# Adds a NOLINT comment before each source that a unity source includes, since these includes are intended.
function(chivewinch_mark_unity target)
    set_target_properties(${target} PROPERTIES
        UNITY_BUILD_CODE_BEFORE_INCLUDE "// NOLINTNEXTLINE(bugprone-suspicious-include)")
endfunction()

# chivewinch_library(NAME [DEPENDS module...] [LINK target...])
# Library chivewinch_NAME from all sources of the current folder.
function(chivewinch_library name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;LINK" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS *.cpp *.cc)
    set(library chivewinch_${name})
    if(sources)
        add_library(${library} STATIC ${sources})
        chivewinch_mark_unity(${library})
        set(scope PUBLIC)
    else()
        add_library(${library} INTERFACE)
        set(scope INTERFACE)
    endif()
    list(TRANSFORM ARG_DEPENDS PREPEND chivewinch_)
    target_link_libraries(${library} ${scope} chivewinch_options chivewinch_boost Threads::Threads ${ARG_DEPENDS} ${ARG_LINK})
endfunction()

# chivewinch_program(NAME [DEPENDS module...] [LINK target...])
# Executable chivewinch-NAME from all sources of the current folder.
function(chivewinch_program name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;LINK" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS *.cpp)
    list(TRANSFORM ARG_DEPENDS PREPEND chivewinch_)
    add_executable(chivewinch-${name} ${sources})
    chivewinch_mark_unity(chivewinch-${name})
    target_include_directories(chivewinch-${name} PRIVATE ${CMAKE_SOURCE_DIR}/app)
    target_link_libraries(chivewinch-${name} PRIVATE chivewinch_options ${ARG_DEPENDS} ${ARG_LINK})
endfunction()

# chivewinch_test(NAME [DEPENDS module...] [LINK target...] [TIMEOUT seconds] [COST seconds])
# Test program NAME_test from all sources of the current folder. COST is the time of its longest test case. CTest
# starts modules with a higher COST first.
function(chivewinch_test name)
    cmake_parse_arguments(ARG "" "TIMEOUT;COST" "DEPENDS;LINK" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS *.cpp)
    list(TRANSFORM ARG_DEPENDS PREPEND chivewinch_)
    add_executable(${name}_test ${sources})
    # A unity build parses the headers once. They take longer to compile than the tests themselves.
    set_target_properties(${name}_test PROPERTIES UNITY_BUILD ON)
    target_include_directories(${name}_test PRIVATE ${CMAKE_SOURCE_DIR}/tests ${CMAKE_SOURCE_DIR}/app)
    target_link_libraries(${name}_test PRIVATE chivewinch_options ${ARG_DEPENDS} ${ARG_LINK} GTest::gmock GTest::gtest_main rapidcheck)
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 300)
    endif()
    if(NOT ARG_COST)
        set(ARG_COST 1)
    endif()
    # One CTest entry for each test case, so that long test cases of a module run in parallel.
    gtest_discover_tests(${name}_test TEST_PREFIX ${name}. DISCOVERY_MODE PRE_TEST
        PROPERTIES TIMEOUT ${ARG_TIMEOUT} COST ${ARG_COST} LABELS ${name})
endfunction()

# chivewinch_benchmark(NAME SOURCE): the module is the name without "_bench".
function(chivewinch_benchmark name source)
    string(REPLACE "_bench" "" module ${name})
    add_executable(${name} ${source})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/bench)
    target_link_libraries(${name} PRIVATE chivewinch_options benchmark::benchmark nlohmann_json::nlohmann_json)
    if(TARGET chivewinch_${module})
        target_link_libraries(${name} PRIVATE chivewinch_${module})
    endif()
endfunction()
