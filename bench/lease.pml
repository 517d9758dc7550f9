/* The leases' protocol (docs/design/fleet.md) for spin: three voters, two seekers, time in ticks, messages lost, late
 * and overtaken, voters that forget. Written beside the program, from the design alone.
 *
 *   bench/lease-spin      the whole, and with each planted fault (MARGIN, MINORITY, ANSWER, AMNESIA), which must be found
 *
 * Not in it: drift of clocks (a holder counts U ticks, a voter T > U), doubled messages and renewals; tests/lease/model_checker.hpp has them.
 * A message that is lost is one that never comes: nothing has to be done for it. */
#define V 3
#define S 2
#define T 3          /* ticks that a grant lives */
#ifdef MARGIN
#define U 4          /* ticks that a holder counts, from before it asked */
#else
#define U 2
#endif
#ifdef MINORITY
#define ENOUGH 1
#else
#define ENOUGH 2
#endif
#ifdef AMNESIA
#define WAIT 0
#else
#define WAIT 4       /* ticks that a voter is silent after it forgot: longer than a hold */
#endif
#ifndef ROUNDS
#define ROUNDS 2     /* of a seeker, in all */
#endif
#ifndef FORGETS
#define FORGETS 0
#endif
#define AT(s, v) ((s) * V + (v))
#define COUNT(b) (((b) & 1) + (((b) >> 1) & 1) + (((b) >> 2) & 1))

/* voters */
byte holder[V], life[V], seen[V], quiet[V], number[V], owner[V];
/* seekers; mode: 0 idle, 1 learning, 2 taking, 3 holding; age: since the last ask, learnt: since the one of the first round */
byte mode[S], age[S], learnt[S], round[S], high[S], num[S], got[S];
/* one ask and one grant under way for each pair; 0: none */
byte ask[S * V], askn[S * V], ans[S * V], ansn[S * V];
byte gained, forgets;     /* the highest number that was ever gained */
bool breach;

/* An ask goes out; where an older one is under way either of the two may be the one that comes. */
#define SEND(s, v, n) \
    if \
    :: ask[AT(s, v)] = round[s]; askn[AT(s, v)] = n \
    :: ask[AT(s, v)] != 0 -> skip \
    fi; \
    ans[AT(s, v)] = 0; ansn[AT(s, v)] = 0

#define REST(s) mode[s] = 0; age[s] = 0; learnt[s] = 0; got[s] = 0; num[s] = 0; high[s] = 0; \
    ans[AT(s, 0)] = 0; ansn[AT(s, 0)] = 0; ans[AT(s, 1)] = 0; ansn[AT(s, 1)] = 0; ans[AT(s, 2)] = 0; ansn[AT(s, 2)] = 0

#define FREE(s, v) ((holder[v] == s + 1 && ask[AT(s, v)] >= seen[v]) || (holder[v] != s + 1 && life[v] == 0))
#define NEW(s, v) (askn[AT(s, v)] == 0 || askn[AT(s, v)] > number[v] || (askn[AT(s, v)] == number[v] && owner[v] == s + 1))
#ifdef ANSWER
#define STILL(s) true
#define KEEP(s) (mode[s] == 2 -> T + 2 : U)
#else
#define STILL(s) (learnt[s] < U)
#define KEEP(s) U
#endif

/* A voter gets an ask; one that it denies is gone. */
#define HEAR(s, v) \
    :: atomic { (ask[AT(s, v)] != 0 && quiet[v] == 0 && FREE(s, v) && NEW(s, v)) -> \
        holder[v] = s + 1; seen[v] = ask[AT(s, v)]; life[v] = T; \
        if \
        :: askn[AT(s, v)] != 0 -> number[v] = askn[AT(s, v)]; owner[v] = s + 1 \
        :: else \
        fi; \
        if \
        :: ask[AT(s, v)] == round[s] && mode[s] != 0 && mode[s] != 3 -> ans[AT(s, v)] = 1; ansn[AT(s, v)] = number[v] \
        :: else \
        fi; \
        ask[AT(s, v)] = 0; askn[AT(s, v)] = 0 }

/* A seeker gets a grant of its round. */
#define GET(s, v) \
    :: atomic { (ans[AT(s, v)] != 0) -> \
        ans[AT(s, v)] = 0; got[s] = got[s] | (1 << v); \
        if :: ansn[AT(s, v)] > high[s] -> high[s] = ansn[AT(s, v)] :: else fi; \
        ansn[AT(s, v)] = 0; \
        if \
        :: COUNT(got[s]) >= ENOUGH && mode[s] == 1 -> \
            mode[s] = 2; num[s] = high[s] + 1; high[s] = 0; got[s] = 0; round[s]++; age[s] = 0; \
            SEND(s, 0, num[s]); SEND(s, 1, num[s]); SEND(s, 2, num[s]) \
        :: COUNT(got[s]) >= ENOUGH && mode[s] == 2 && STILL(s) -> \
            if :: num[s] <= gained -> breach = true :: else -> gained = num[s] fi; \
            breach = breach || mode[1 - s] == 3; \
            mode[s] = 3; learnt[s] = 0; got[s] = 0; num[s] = 0; high[s] = 0; AGED(s) \
        :: else \
        fi }
#ifdef ANSWER
#define AGED(s) age[s] = 0
#else
#define AGED(s) skip
#endif

#define SEEK(s) \
    :: atomic { (mode[s] == 0 && round[s] + 2 <= ROUNDS) -> \
        mode[s] = 1; round[s]++; SEND(s, 0, 0); SEND(s, 1, 0); SEND(s, 2, 0) } \
    :: atomic { (mode[s] == 1 || mode[s] == 2) -> REST(s) }

#define FORGET(v) \
    :: atomic { (forgets < FORGETS && quiet[v] == 0) -> \
        forgets++; holder[v] = 0; life[v] = 0; seen[v] = 0; owner[v] = 0; quiet[v] = WAIT; \
        if :: number[v] < gained -> number[v] = gained :: else fi }

#define OLDER(s) \
    if :: mode[s] != 0 -> age[s]++ :: else fi; \
    if :: mode[s] == 2 -> learnt[s]++ :: else fi; \
    if :: mode[s] == 1 -> learnt[s]++ :: else fi; \
    if :: mode[s] != 0 && age[s] >= KEEP(s) -> REST(s) :: else fi; \
    if :: (mode[s] == 1 || mode[s] == 2) && !STILL(s) -> REST(s) :: else fi
#define FADE(v) \
    if :: life[v] > 0 -> life[v]-- :: else fi; \
    if :: life[v] == 0 -> holder[v] = 0; seen[v] = 0 :: else fi; \
    if :: quiet[v] > 0 -> quiet[v]-- :: else fi

active proctype world() {
    do
    SEEK(0) SEEK(1)
    HEAR(0, 0) HEAR(0, 1) HEAR(0, 2) HEAR(1, 0) HEAR(1, 1) HEAR(1, 2)
    GET(0, 0) GET(0, 1) GET(0, 2) GET(1, 0) GET(1, 1) GET(1, 2)
    FORGET(0) FORGET(1) FORGET(2)
    /* Time goes on while anybody waits for it. */
    :: d_step { (mode[0] + mode[1] + life[0] + life[1] + life[2] + quiet[0] + quiet[1] + quiet[2] != 0) ->
        OLDER(0); OLDER(1); FADE(0); FADE(1); FADE(2) }
    od
}

ltl one { [] (!breach) }
