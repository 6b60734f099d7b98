/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * A server announces its end in its answers while its entry goes on calling it ready. Stands for
 * Source/Core/Gateway/DrainState.cpp, DrainRegistry.cpp and the conditions that ServerDirectory keeps.
 *
 * A daemon that has passed such an answer on may send to the server for GRACE more ticks what no other server takes;
 * a request reaches the server within a tick. The entry may lapse and come again, as ready, at any moment. Daemons tell
 * the holder of the lease what they know, and the holder tells all; messages are lost, doubled, late and out of order,
 * and the holder changes at any moment, to a daemon that may know nothing yet.
 *
 * Proved: no request reaches the server later than BOUND ticks after its daemon has passed the announcement on; a
 * daemon stops telling only while the holder that it heard last knows.
 * guards: NO_END ENTRY_OVERRULES LAPSE_FORGETS CONFIRM_ANY */

#define DAEMONS 2
#define GRACE 1
#define BOUND 2
#define TICKS 6
#define TENURES 3
#define NONE 255

byte now = 0;
bool announces = false;       /* the server, in all its answers */
byte passed_at[DAEMONS];      /* when the daemon first passed an announcement on; NONE: it has not */
byte known_at[DAEMONS];       /* what the daemon keeps of it */
byte sent_at[DAEMONS];        /* its request that has not arrived yet */

byte tenure = 1;
byte holder = 0;
byte heard[DAEMONS];          /* the last tenure that the daemon heard of */
byte told_in[DAEMONS];        /* the last tenure whose holder told it that the server leaves */
bool knows[DAEMONS];          /* by an answer or by news */
/* Messages stay in the network: that covers doubled, late and reordered ones. */
bool report_to[TENURES + 1];  /* to the holder of a tenure: the server leaves */
bool news_of[TENURES + 1];    /* of the holder of a tenure: the server leaves */
bool empty_news_of[TENURES + 1];

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
  :: atomic { /* sends */
       sent_at[d] == NONE && now < TICKS &&
#ifndef NO_END
       (known_at[d] == NONE || now < known_at[d] + GRACE) &&
#endif
       true -> sent_at[d] = now
     }
  :: atomic { /* the request arrives and is answered */
       sent_at[d] != NONE ->
       assert(passed_at[d] == NONE || now <= passed_at[d] + BOUND);
       sent_at[d] = NONE;
       if
       :: announces -> Learn(d)
       :: else
       fi
     }
  :: atomic { /* the entry comes again, as ready */
       known_at[d] != NONE ->
#ifdef ENTRY_OVERRULES
       known_at[d] = NONE;
#endif
       skip
     }
  :: atomic { /* the entry lapses and comes again */
       known_at[d] != NONE ->
#ifdef LAPSE_FORGETS
       known_at[d] = NONE;
#endif
       skip
     }
  :: atomic { /* tells the holder that it heard last */
       knows[d] && told_in[d] < heard[d] -> report_to[heard[d]] = true
     }
  :: atomic { /* as the holder, takes a report */
       d == holder && report_to[tenure] && !knows[d] -> knows[d] = true; told_in[d] = tenure
     }
  :: atomic { /* as the holder, tells all */
       d == holder ->
       heard[d] = tenure;
       if
       :: knows[d] -> news_of[tenure] = true; told_in[d] = tenure
       :: else -> empty_news_of[tenure] = true
       fi
     }
  :: atomic { /* hears news, of whichever holder */
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
  :: atomic { /* hears news without it */
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
  :: atomic { /* time goes on; what has been sent arrives within a tick */
       now < TICKS && (sent_at[0] == NONE || sent_at[0] == now) &&
       (sent_at[1] == NONE || sent_at[1] == now) -> now++
     }
  :: announces = true
  :: atomic { /* another holder */
       tenure < TENURES ->
       tenure++;
       holder = 1 - holder
     }
  :: atomic { /* who stops telling can rely on the holder that it heard last */
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
