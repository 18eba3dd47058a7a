// Entry point: picks the role or operator command.

#include <cstdio>

int main()
{
    std::puts("cactuscove");
    return 0;
}
