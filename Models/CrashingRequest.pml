/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * A request that ends every server that runs it comes again at any daemon. Stands for
 * Source/Core/Crashes/CrashLedger.cpp, what Orders/Hub.cpp does with it, and Orders/CrashArchive.cpp.
 *
 * Each daemon remembers the endings that it saw and heard of. It reports what it saw to the holder
 * until that has confirmed it; reports, confirmations and the holder's words may be lost, or come
 * late and again. The holder may change at any time: the next one has only what it knew itself.
 * Once either one daemon or all of them are killed at any moment; when the row is written all may
 * be killed again. Who starts knows what the row keeps.
 *
 * Proved: when all words have come through after the third ending, the request is sent never again
 * where nobody was killed before, and three times more at most, for all time, where some were.
 * guards: EACH_ALONE NOT_TOLD_AGAIN NOTHING_KEPT */

#define DAEMONS 2
#define LIMIT 3
#define LIVES 7
#define LATE_ALLOWED 3

byte ended = 0;            /* lives of servers; life i is bit i of the sets below */
byte own[DAEMONS];         /* seen by the daemon itself */
byte known[DAEMONS];       /* and heard of */
byte confirmed[DAEMONS];   /* of what it saw, by the present holder */
byte added_up = 0;         /* by the holder */
byte row = 0;              /* in the store */
byte late = 0;             /* sendings when all daemons had to know */
bool told = false;         /* all words came through after the third ending */
bool lost_something = false;
byte killed_later = 0;
byte holder_changes = 0;

#define Count(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1) + \
                  (((s) >> 4) & 1) + (((s) >> 5) & 1) + (((s) >> 6) & 1))
#define Missing(have, want) ((have | want) != have)
#define IsBlocked(d) (Count(known[d]) >= LIMIT)

#ifdef EACH_ALONE
#define AllTold() (true)
#else
#define AllTold() (!Missing(confirmed[0], own[0]) && !Missing(confirmed[1], own[1]) && \
                   !Missing(known[0], added_up) && !Missing(known[1], added_up) && \
                   (Count(added_up) < LIMIT || row != 0))
#endif

inline Forget(d)
{
  own[d] = 0;
  confirmed[d] = 0;
#ifdef NOTHING_KEPT
  known[d] = 0;
#else
  known[d] = row;
#endif
}

proctype Daemon(byte d)
{
end:
  do
  :: atomic {
       ended < LIVES && !IsBlocked(d) && (!told || AllTold()) ->
       if
       :: told -> late++; assert(late <= LATE_ALLOWED); assert(lost_something)
       :: else
       fi;
       own[d] = own[d] | (1 << ended);
       known[d] = known[d] | (1 << ended);
       ended++
     }
#ifndef EACH_ALONE
  :: atomic { /* a report arrives; its confirmation may be lost */
       Missing(confirmed[d], own[d]) ->
       added_up = added_up | own[d];
       if
       :: confirmed[d] = own[d]
       :: skip
       fi
     }
  :: atomic { Missing(known[d], added_up) -> known[d] = known[d] | added_up }
#endif
  :: atomic { !lost_something -> lost_something = true; Forget(d) }
  :: atomic { /* it takes the lease */
       holder_changes < 1 ->
       holder_changes++;
       added_up = known[d];
#ifndef NOT_TOLD_AGAIN
       confirmed[0] = 0;
       confirmed[1] = 0
#endif
     }
  od
}

proctype Store()
{
end:
  do
  :: atomic { Count(added_up) >= LIMIT && row != added_up -> row = added_up }
  od
}

proctype Time()
{
end:
  do
  :: atomic { !told && ended >= LIMIT && AllTold() -> told = true }
  :: atomic {
       if
       :: row != 0 && killed_later < 1 -> killed_later++
       :: !lost_something -> lost_something = true
       fi;
       Forget(0);
       Forget(1);
       added_up = known[0]
     }
  od
}

init
{
  atomic {
    run Daemon(0);
    run Daemon(1);
    run Store();
    run Time()
  }
}
