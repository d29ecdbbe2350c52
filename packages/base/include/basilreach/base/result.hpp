#ifndef BASILREACH_BASE_RESULT_HPP
#define BASILREACH_BASE_RESULT_HPP

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace basilreach
{

// Either a value of type T or an error of type E. Accessing the one that is not
// there terminates the process instead of throwing, so that no exception
// crosses an interface that returns a result.
template <class T, class E>
using result =
    boost::outcome_v2::basic_result<T, E, boost::outcome_v2::policy::terminate>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

} // namespace basilreach

#endif
