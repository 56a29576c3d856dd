#pragma once

#include "base/fwd.hpp"
#include "usage/fwd.hpp"
