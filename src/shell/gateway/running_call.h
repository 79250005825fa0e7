#pragma once

#include "sequoiawharf/time.h"

#include <boost/intrusive/list_hook.hpp>

namespace sequoiawharf
{

/// A call in flight, as an element of the list of its thread's calls, from which its destructor removes it. Used on one thread.
class running_call : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    virtual ~running_call() = default;

    /// Ends the call by the time, because the instance stops. A later time than one given before has no effect.
    virtual void stopAt(mono_time time) = 0;
};

} // namespace sequoiawharf
