// Prints docs/result-codes.md. Usage: result_codes_doc > docs/result-codes.md
#include "base/ResultCode.h"

#include <iostream>

int main() { std::cout << chervil::describeResultCodes(); }
