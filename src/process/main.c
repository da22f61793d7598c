#include <stdio.h>

int main(int argc, char **argv)
{
	(void)argc;
	(void)argv;
	puts("damaskyard " DY_VERSION);
	return 0;
}
