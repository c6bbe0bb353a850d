#include "cli/commandline.h"

int main(int argc, char **argv)
{
    return static_cast<int>(Cardamomhill::runCommandLine(argc, argv));
}
