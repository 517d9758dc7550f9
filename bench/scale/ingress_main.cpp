// slatejunction-scale-ingress: what one ingress costs by the sizes of what it knows. The product's own
// code.
#include "command.hpp"

int main(int argc, char** argv) {
    using namespace slatejunction::scale;
    return command({{"backends", backends},
                    {"configuration", configuration},
                    {"requests", requests},
                    {"quotas", quotas}},
                   argc, argv);
}
