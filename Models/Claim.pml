/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * Claims of replica slots, fencing, late orders and quarantine. Models Source/Core/Decisions/Reconcile.cpp
 * and Source/Core/Serving/{ClaimLedger,ServerRow,ServerController}.cpp.
 *
 * One replica slot, two backend servers, two daemons with two claims each. A daemon claims the slot
 * for a server by one compare-and-set and then sends one load order at any later time. The network
 * may delay the order for any time, and the daemon may terminate in between. A reconciler settles the
 * claim from the server's reports. It may treat the holder as unresponsive at any moment, because a
 * suspended daemon cannot be told from a slow one. Server 0 checks fencing numbers, server 1 ignores
 * them.
 *
 * Verified: there are never more loaded replicas than slots, and nothing is loaded without a claim.
 * guards: NO_CLAIM NO_FENCE NO_QUARANTINE */

#define NONE 9
#define CHECKS(server) ((server) == 0)

byte claimed = NONE;     /* the server of the claim on the slot */
byte claim_order;        /* number of the order that the claim permits */
bool claim_loaded;       /* its order is known to have completed */
bool claim_fenced;       /* the server has confirmed a number above the claim's */
byte row_fence[2];       /* in the platform's row of the server */
byte engine_fence[2];    /* highest number that the server has seen */
bool loaded[2];
bool dead[2];

/* Index of an order: number of the daemon * 2 + its attempt. */
mtype = { unsent, flying, arrived };
mtype order[4] = unsent;
byte order_fence[4];
byte order_server[4];

#define HOLDER (claim_order / 2)
#define FREE atomic { claimed = NONE; claim_loaded = false; claim_fenced = false }

proctype Daemon(byte me)
{
  byte try = 0, number, server;
  do
  :: try < 2 ->
     number = me * 2 + try;
     if :: server = 0 :: server = 1 fi;
     atomic {
#ifdef NO_CLAIM
       row_fence[server]++
#else
       claimed == NONE ->
       claimed = server; claim_order = number; claim_loaded = false; claim_fenced = false;
       row_fence[server]++
#endif
       ; order_fence[number] = row_fence[server]; order_server[number] = server
     }
     /* The daemon may be suspended here without noticing. */
     if
     :: order[number] = flying
     :: atomic { dead[me] = true; break }
     fi;
     try++
  :: atomic { dead[me] = true; break }
  od
}

proctype Engine()
{
  byte number, server;
end:
  do
  :: atomic {
       if
       :: order[0] == flying -> number = 0
       :: order[1] == flying -> number = 1
       :: order[2] == flying -> number = 2
       :: order[3] == flying -> number = 3
       fi;
       order[number] = arrived;
       server = order_server[number];
       if
       :: CHECKS(server) && order_fence[number] < engine_fence[server] -> skip
       :: else ->
          loaded[server] = true;
          if
          :: order_fence[number] > engine_fence[server] -> engine_fence[server] = order_fence[number]
          :: else -> skip
          fi
       fi
     }
  od
}

proctype Keeper()
{
end:
  do
  :: atomic { claimed != NONE && !claim_loaded && loaded[claimed] -> claim_loaded = true }
  :: atomic { claimed != NONE && claim_loaded -> loaded[claimed] = false; FREE }
  :: atomic { claimed != NONE && !claim_loaded && !claim_fenced && CHECKS(claimed) ->
#ifndef NO_FENCE
       row_fence[claimed]++; engine_fence[claimed] = row_fence[claimed];
#endif
       claim_fenced = true }
  :: atomic { claimed != NONE && !claim_loaded && claim_fenced && !loaded[claimed] -> FREE }
  :: atomic { claimed != NONE && !claim_loaded && !CHECKS(claimed) && !loaded[claimed] &&
#ifdef NO_QUARANTINE
       true
#else
       dead[HOLDER] && order[claim_order] != flying
#endif
       -> FREE }
  od
}

active proctype Monitor()
{
  assert(!(loaded[0] && loaded[1]));
  assert(!(loaded[0] && claimed != 0));
  assert(!(loaded[1] && claimed != 1))
}

init
{
  atomic { run Daemon(0); run Daemon(1); run Engine(); run Keeper() }
}
