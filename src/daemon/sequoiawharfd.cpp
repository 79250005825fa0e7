#include "src/daemon/daemon.h"
#include "src/shell/instance/surroundings.h"

int main(int argc, char **argv)
{
    sequoiawharf::own_surroundings outside;
    return sequoiawharf::runDaemon(argc, argv, outside);
}
