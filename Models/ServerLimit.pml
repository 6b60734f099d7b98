/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * A server takes RATE requests in a tick from all daemons together. Stands for
 * Source/Core/RateLimits/PermitAllocator.cpp and LocalPermits.cpp, and what Orders/PermitExchange.cpp does with them.
 *
 * The holder of a lease hands out permits for single requests from a bucket; a permit is void when the tick after
 * the one in which it was asked for is over. It may be lost, or lie in a socket until its daemon runs again. The holder
 * may be cut off from all others at any moment; the next one begins when the lease and the pause are over, with an
 * empty bucket. A daemon that hears no holder may send where it is the standby that the last one named, a request in
 * each second tick. Daemons are suspended and start again at any moment.
 *
 * Proved: in no window of WINDOW ticks does the server get more than one and a half times what it
 * allows.
 * guards: NO_END EACH_ITS_OWN FULL_BUCKET */

#define DAEMONS 2
#define RATE 2
#define WINDOW 4
#ifdef NO_END
#define TICKS 8
#define PERMITS 4   /* of one daemon at once */
#else
#define TICKS 6
#define PERMITS 2
#endif
#define LEASE 3     /* ticks from a holder's loss until the next one hands out */

#define ALLOWED (RATE * WINDOW + RATE * WINDOW / 2)

byte now = 0;
byte sent[WINDOW];            /* in each tick of the window */
byte next_holder_in = 0;
byte bucket = 0;
byte standby = 0;             /* named by the last holder that was heard */
bool suspended[DAEMONS];
byte permits[DAEMONS];        /* in its socket or in its hands */
byte asked_in[DAEMONS];       /* tick of the ask that they answer */
bool unheard = false;         /* no holder speaks */
byte sent_alone[DAEMONS];     /* as a standby, in this tick or the one before */
byte losses = 0;

inline Count()
{
  sent[now % WINDOW]++;
  assert(sent[0] + sent[1] + sent[2] + sent[3] <= ALLOWED)
}

proctype Daemon(byte d)
{
end:
  do
  :: atomic { /* asks, and gets a permit, or its answer is lost */
       next_holder_in == 0 && bucket > 0 && !suspended[d] && permits[d] < PERMITS &&
#ifdef NO_END
       true ->
#else
       (permits[d] == 0 || asked_in[d] == now) ->
#endif
       bucket--;
       if
       :: permits[d]++; asked_in[d] = now
       :: skip
       fi
     }
  :: atomic { /* uses it */
       !suspended[d] && permits[d] > 0 ->
       permits[d]--;
       if
#ifdef NO_END
       :: true -> Count()
#else
       :: now <= asked_in[d] + 1 -> Count()
       :: else
#endif
       fi;
       if
       :: permits[d] == 0 -> asked_in[d] = 0
       :: else
       fi
     }
  :: atomic { /* hears no holder */
#ifdef EACH_ITS_OWN
       !suspended[d] && unheard && sent_alone[d] < RATE ->
#else
       !suspended[d] && unheard && sent_alone[d] == 0 && standby == d ->
#endif
       sent_alone[d]++;
       Count()
     }
  :: atomic { /* stands still, and runs again */
       losses < 2 -> losses++; suspended[d] = true
     }
  :: suspended[d] -> suspended[d] = false
  :: atomic { /* starts again: what it had is gone */
       losses < 2 -> losses++;
       permits[d] = 0;
       asked_in[d] = 0;
       suspended[d] = false
     }
  od
}

proctype Clock()
{
  byte d;
end:
  do
  :: atomic {
       now < TICKS ->
       now++;
       sent[now % WINDOW] = 0;
       if
       :: next_holder_in > 0 ->
          next_holder_in--;
          if
          :: next_holder_in == 0 ->
#ifdef FULL_BUCKET
             bucket = RATE * WINDOW
#else
             bucket = 0
#endif
          :: else
          fi
       :: else ->
          if
          :: bucket + RATE <= RATE + 1 -> bucket = bucket + RATE
          :: else -> bucket = RATE + 1
          fi
       fi;
       unheard = (next_holder_in > 0);
       if
#ifdef EACH_ITS_OWN
       :: true ->
#else
       :: now % 2 == 0 ->
#endif
          for (d : 0 .. DAEMONS - 1) {
            sent_alone[d] = 0
          }
#ifndef EACH_ITS_OWN
       :: else
#endif
       fi;
       d = 0
     }
  :: atomic { /* the holder is cut off from all others, and stops when its lease is over */
       losses < 2 && next_holder_in == 0 -> losses++;
       next_holder_in = LEASE
     }
  :: atomic { /* another daemon is the standby; the one before may not have been told */
       next_holder_in == 0 -> standby = (standby + 1) % DAEMONS
     }
  od
}

init
{
  byte d;
  atomic {
    for (d : 0 .. DAEMONS - 1) {
      run Daemon(d)
    }
    run Clock()
  }
}
