find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS program_options url)
find_package(OpenSSL REQUIRED)
find_package(Protobuf REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(nghttp2 REQUIRED IMPORTED_TARGET libnghttp2)
pkg_check_modules(log4cplus REQUIRED IMPORTED_TARGET log4cplus)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(cairo REQUIRED IMPORTED_TARGET cairo cairo-svg)
if(CHIVEWINCH_BUILD_TESTS)
    find_package(GTest REQUIRED)
    include(GoogleTest)
    find_package(rapidcheck REQUIRED)
endif()
if(CHIVEWINCH_BUILD_BENCHMARKS)
    find_package(benchmark REQUIRED)
endif()

# All targets need the same definitions. cmake/boost_asio_beast.cpp compiles the parts that separate compilation removes
# from the headers.
add_compile_definitions(BOOST_ASIO_NO_DEPRECATED BOOST_ERROR_CODE_HEADER_ONLY
    BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION)
