/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * A server announces in its responses that it is draining, while its entry still calls it ready. Models
 * Source/Core/Gateway/DrainState.cpp, DrainRegistry.cpp and the conditions that ServerDirectory keeps.
 *
 * A daemon that has passed such a response on may, for GRACE more ticks, send to the server requests that no other
 * server takes; a request reaches the server within a tick. The entry may lapse and return as ready at any moment.
 * Daemons report the draining servers that they know to the holder of the order lease, and the holder sends updates to
 * all daemons. Messages are lost, duplicated, delayed and reordered. The holder changes at any moment, to a daemon that
 * may not know of the draining server yet.
 *
 * Verified: no request reaches the server later than BOUND ticks after its daemon has passed the announcement on; a
 * daemon stops reporting only while the last holder that it received an update from knows that the server is draining.
 * guards: NO_END ENTRY_OVERRULES LAPSE_FORGETS CONFIRM_ANY */

#define DAEMONS 2
#define GRACE 1
#define BOUND 2
#define TICKS 6
#define TENURES 3
#define NONE 255

byte now = 0;
bool announces = false;       /* the server, in all its responses */
byte passed_at[DAEMONS];      /* when the daemon first passed an announcement on; NONE: not yet */
byte known_at[DAEMONS];       /* the same time, as the daemon remembers it */
byte sent_at[DAEMONS];        /* its request that has not arrived yet; NONE: none */

byte tenure = 1;
byte holder = 0;
byte heard[DAEMONS];          /* latest tenure known to the daemon */
byte told_in[DAEMONS];        /* latest tenure whose holder told the daemon that the server is draining */
bool knows[DAEMONS];          /* from a response, a report or an update */
/* Messages stay in the network, which covers duplicated, delayed and reordered ones. */
bool report_to[TENURES + 1];  /* report to the holder of a tenure: the server is draining */
bool news_of[TENURES + 1];    /* update of the holder of a tenure: the server is draining */
bool empty_news_of[TENURES + 1]; /* update without the server */

inline Learn(d)
{
  if
  :: passed_at[d] == NONE -> passed_at[d] = now
  :: else
  fi;
  if
  :: known_at[d] == NONE -> known_at[d] = now
  :: else
  fi;
  if
  :: !knows[d] -> knows[d] = true; told_in[d] = 0
  :: else
  fi
}

proctype Daemon(byte d)
{
  byte by;
end:
  do
  :: atomic { /* sends a request */
       sent_at[d] == NONE && now < TICKS &&
#ifndef NO_END
       (known_at[d] == NONE || now < known_at[d] + GRACE) &&
#endif
       true -> sent_at[d] = now
     }
  :: atomic { /* the request arrives, and its response returns */
       sent_at[d] != NONE ->
       assert(passed_at[d] == NONE || now <= passed_at[d] + BOUND);
       sent_at[d] = NONE;
       if
       :: announces -> Learn(d)
       :: else
       fi
     }
  :: atomic { /* the entry is received again, as ready */
       known_at[d] != NONE ->
#ifdef ENTRY_OVERRULES
       known_at[d] = NONE;
#endif
       skip
     }
  :: atomic { /* the entry lapses and returns */
       known_at[d] != NONE ->
#ifdef LAPSE_FORGETS
       known_at[d] = NONE;
#endif
       skip
     }
  :: atomic { /* reports to the last holder known to it */
       knows[d] && told_in[d] < heard[d] -> report_to[heard[d]] = true
     }
  :: atomic { /* as the holder, receives a report */
       d == holder && report_to[tenure] && !knows[d] -> knows[d] = true; told_in[d] = tenure
     }
  :: atomic { /* as the holder, sends an update to all */
       d == holder ->
       heard[d] = tenure;
       if
       :: knows[d] -> news_of[tenure] = true; told_in[d] = tenure
       :: else -> empty_news_of[tenure] = true
       fi
     }
  :: atomic { /* receives an update with the server, of any holder */
       d != holder ->
       if
       :: news_of[1] -> by = 1
       :: news_of[2] -> by = 2
       :: news_of[3] -> by = 3
       fi;
       knows[d] = true;
       if
       :: by > heard[d] -> heard[d] = by
       :: else
       fi;
#ifdef CONFIRM_ANY
       told_in[d] = heard[d];
#else
       if
       :: by > told_in[d] -> told_in[d] = by
       :: else
       fi;
#endif
       by = 0
     }
  :: atomic { /* receives an update without the server */
       d != holder ->
       if
       :: empty_news_of[1] && heard[d] < 1 -> heard[d] = 1
       :: empty_news_of[2] && heard[d] < 2 -> heard[d] = 2
       :: empty_news_of[3] && heard[d] < 3 -> heard[d] = 3
       fi
     }
  od
}

proctype World()
{
end:
  do
  :: atomic { /* time passes; what has been sent arrives within a tick */
       now < TICKS && (sent_at[0] == NONE || sent_at[0] == now) &&
       (sent_at[1] == NONE || sent_at[1] == now) -> now++
     }
  :: announces = true
  :: atomic { /* the holder changes */
       tenure < TENURES ->
       tenure++;
       holder = 1 - holder
     }
  :: atomic { /* if a daemon has stopped reporting to the current holder, the holder knows */
       d_step {
         assert(!(knows[0] && holder == 1 && heard[0] == tenure && told_in[0] == tenure) || knows[1]);
         assert(!(knows[1] && holder == 0 && heard[1] == tenure && told_in[1] == tenure) || knows[0])
       }
     }
  od
}

init
{
  byte d;
  atomic {
    for (d : 0 .. DAEMONS - 1) {
      passed_at[d] = NONE;
      known_at[d] = NONE;
      sent_at[d] = NONE
    }
    run Daemon(0);
    run Daemon(1);
    run World()
  }
}
