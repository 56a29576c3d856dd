add_library(chivewinch_options INTERFACE)
# Designated initialisers leave out members that keep their default. GCC 12 reports false positives of
# maybe-uninitialized inside std::optional and of restrict in the concatenation of std::string,
# and, under sanitizers, of mismatched-new-delete for the frames of Boost.Asio's coroutines.
target_compile_options(chivewinch_options INTERFACE
    -Wall -Wextra -Wpedantic -Werror -Wno-missing-field-initializers -Wno-maybe-uninitialized -Wno-restrict
    -Wno-mismatched-new-delete)
target_include_directories(chivewinch_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
if(CHIVEWINCH_SANITIZE STREQUAL "address")
    target_compile_options(chivewinch_options INTERFACE -fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
    target_link_options(chivewinch_options INTERFACE -fsanitize=address,undefined)
elseif(CHIVEWINCH_SANITIZE STREQUAL "thread")
    # GCC reports atomic_thread_fence in Boost.Asio headers as unsupported by ThreadSanitizer.
    target_compile_options(chivewinch_options INTERFACE -fsanitize=thread -Wno-tsan)
    target_link_options(chivewinch_options INTERFACE -fsanitize=thread)
endif()

# chivewinch_library(NAME [DEPENDS module...] [LINK target...])
# Library chivewinch_NAME from all sources of the current folder.
function(chivewinch_library name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;LINK" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS *.cpp *.cc)
    set(library chivewinch_${name})
    if(sources)
        add_library(${library} STATIC ${sources})
        set(scope PUBLIC)
    else()
        add_library(${library} INTERFACE)
        set(scope INTERFACE)
    endif()
    list(TRANSFORM ARG_DEPENDS PREPEND chivewinch_)
    target_link_libraries(${library} ${scope} chivewinch_options Threads::Threads ${ARG_DEPENDS} ${ARG_LINK})
endfunction()

# chivewinch_program(NAME [DEPENDS module...] [LINK target...])
# Executable chivewinch-NAME from all sources of the current folder.
function(chivewinch_program name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;LINK" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS *.cpp)
    list(TRANSFORM ARG_DEPENDS PREPEND chivewinch_)
    add_executable(chivewinch-${name} ${sources})
    target_include_directories(chivewinch-${name} PRIVATE ${CMAKE_SOURCE_DIR}/app)
    target_link_libraries(chivewinch-${name} PRIVATE chivewinch_options ${ARG_DEPENDS} ${ARG_LINK})
endfunction()

# chivewinch_test(NAME [DEPENDS module...] [LINK target...] [TIMEOUT seconds])
# Test program NAME_test from all sources of the current folder.
function(chivewinch_test name)
    cmake_parse_arguments(ARG "" "TIMEOUT" "DEPENDS;LINK" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS *.cpp)
    list(TRANSFORM ARG_DEPENDS PREPEND chivewinch_)
    add_executable(${name}_test ${sources})
    target_include_directories(${name}_test PRIVATE ${CMAKE_SOURCE_DIR}/tests ${CMAKE_SOURCE_DIR}/app)
    target_link_libraries(${name}_test PRIVATE chivewinch_options ${ARG_DEPENDS} ${ARG_LINK} GTest::gmock GTest::gtest_main rapidcheck)
    add_test(NAME ${name} COMMAND ${name}_test)
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 300)
    endif()
    set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
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
