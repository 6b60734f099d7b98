/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * The rate limit of a server: it takes RATE requests per tick from all daemons together. Models
 * Source/Core/RateLimits/PermitAllocator.cpp and LocalPermits.cpp, and their use in Orders/PermitExchange.cpp.
 *
 * The holder of the order lease grants permits for single requests from a token bucket. A permit is void after the
 * tick that follows the one in which it was requested. It may be lost, or wait in a socket while its daemon is
 * suspended. The holder may be cut off from all others at any moment; the next one begins when the lease and the pause
 * are over, with an empty bucket. A daemon without contact to a holder may send one request in every second tick if the
 * last holder named it as the standby. Daemons are suspended and restart at any moment.
 *
 * Verified: in no window of WINDOW ticks does the server receive more than one and a half times what its limit
 * allows.
 * guards: NO_END EACH_ITS_OWN FULL_BUCKET */

#define DAEMONS 2
#define RATE 2
#define WINDOW 4
#ifdef NO_END
#define TICKS 8
#define PERMITS 4 /* that one daemon may have at once */
#else
#define TICKS 6
#define PERMITS 2
#endif
#define HOLDER_CHANGE_TICKS 3 /* ticks from the loss of a holder until the next one grants permits */

#define MAX_IN_WINDOW (RATE * WINDOW + RATE * WINDOW / 2)

byte now = 0;
byte requests[WINDOW]; /* requests in each tick of the window */
byte next_holder_in = 0;
byte bucket = 0;
byte standby = 0; /* named by the last reachable holder */
bool suspended[DAEMONS];
byte permits[DAEMONS];           /* received, or waiting in its socket */
byte requested_in[DAEMONS];      /* tick in which they were requested */
bool holder_unreachable = false; /* no holder is reachable */
byte sent_as_standby[DAEMONS];   /* as a standby, in this tick or the one before */
byte faults = 0;

inline CountRequest()
{
  requests[now % WINDOW]++;
  assert(requests[0] + requests[1] + requests[2] + requests[3] <= MAX_IN_WINDOW)
}

proctype Daemon(byte d)
{
end:
  do
  :: atomic { /* requests a permit; the response arrives or is lost */
       next_holder_in == 0 && bucket > 0 && !suspended[d] && permits[d] < PERMITS &&
#ifdef NO_END
       true ->
#else
       (permits[d] == 0 || requested_in[d] == now) ->
#endif
       bucket--;
       if
       :: permits[d]++; requested_in[d] = now
       :: skip
       fi
     }
  :: atomic { /* uses a permit */
       !suspended[d] && permits[d] > 0 ->
       permits[d]--;
       if
#ifdef NO_END
       :: true -> CountRequest()
#else
       :: now <= requested_in[d] + 1 -> CountRequest()
       :: else
#endif
       fi;
       if
       :: permits[d] == 0 -> requested_in[d] = 0
       :: else
       fi
     }
  :: atomic { /* sends without a holder */
#ifdef EACH_ITS_OWN
       !suspended[d] && holder_unreachable && sent_as_standby[d] < RATE ->
#else
       !suspended[d] && holder_unreachable && sent_as_standby[d] == 0 && standby == d ->
#endif
       sent_as_standby[d]++;
       CountRequest()
     }
  :: atomic { /* is suspended, and resumes below */
       faults < 2 -> faults++; suspended[d] = true
     }
  :: suspended[d] -> suspended[d] = false
  :: atomic { /* restarts and loses its permits */
       faults < 2 -> faults++;
       permits[d] = 0;
       requested_in[d] = 0;
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
       requests[now % WINDOW] = 0;
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
       holder_unreachable = (next_holder_in > 0);
       if
#ifdef EACH_ITS_OWN
       :: true ->
#else
       :: now % 2 == 0 ->
#endif
          for (d : 0 .. DAEMONS - 1) {
            sent_as_standby[d] = 0
          }
#ifndef EACH_ITS_OWN
       :: else
#endif
       fi;
       d = 0
     }
  :: atomic { /* the holder is cut off from all others, and stops when its lease is over */
       faults < 2 && next_holder_in == 0 -> faults++;
       next_holder_in = HOLDER_CHANGE_TICKS
     }
  :: atomic { /* another daemon becomes the standby; the previous one may not have been informed */
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
