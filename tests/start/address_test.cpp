// An address that is taken when the program starts.
#include "ingress/ingress.hpp"
#include "start/rig.hpp"

using slatejunction::ingress::Ingress;

TEST_CASE("an address that is taken for a moment is tried again until it is free", "[start]") {
    Start start;
    const bool admin = GENERATE(false, true);
    std::optional<Taken> taken(std::in_place, admin ? start.admin : start.port);
    start.run();
    REQUIRE(start.says(admin ? "warning: can't listen on admin_addr: "
                             : "warning: can't listen on NODE_LISTEN: "));
    REQUIRE(start.alive());
    SECTION("free again") {
        taken.reset();
        REQUIRE(start.ready());
        REQUIRE(ask(start.admin, "GET", "/v1/readyz").starts_with("HTTP/1.1 200"));
        start.process.signal(SIGTERM);
        REQUIRE(start.status() == 0);
    }
    SECTION("told to end meanwhile") {
        start.process.signal(SIGHUP);   // waits for the loop, which does not come
        start.process.signal(SIGTERM);
        REQUIRE(start.status(5) == 0);
    }
}

TEST_CASE("an address that stays taken, or is not this machine's, ends the start in time", "[start]") {
    Start taken, elsewhere;
    const Taken by(taken.port);
    elsewhere.environment["NODE_LISTEN"] = "192.0.2.1:8080";
    taken.run(), elsewhere.run();
    for (Start* one : {&taken, &elsewhere}) {
        REQUIRE(one->status(Ingress::listen_retry_bound_s() + 10) == 2);
        REQUIRE(one->says("error: can't listen on NODE_LISTEN: "));
    }
}
