#pragma once

#include <boost/random/mersenne_twister.hpp>

namespace geraniumlift::base {

/// Seeded random numbers for decisions. Boost's generators and distributions give the same numbers
/// on every machine; the distributions of the standard library do not.
using RandomEngine = boost::random::mt19937_64;

} // namespace geraniumlift::base
