// Prints docs/settings.md. Usage: settings_doc > docs/settings.md
#include "settings/ParseNodeSettings.h"

#include <iostream>

int main() { std::cout << chervil::describeSettings(); }
