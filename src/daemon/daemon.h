#pragma once

#include <string>

namespace sequoiawharf
{

class surroundings;

/// Runs an instance until it is stopped, and returns the program's exit code. defaultSettings: path of the settings file when the arguments name
/// none; if it is empty, the arguments must name one. Precondition: called once, on the main thread.
int runDaemon(int argc, char **argv, surroundings &outside, const std::string &defaultSettings = {});

} // namespace sequoiawharf
