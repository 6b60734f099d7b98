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
 * suspended daemon cannot be distinguished from a slow one. Server 0 checks fencing numbers, server 1 ignores
 * them.
 *
 * Verified: there are never more loaded replicas than slots, and nothing is loaded without a claim.
 * guards: NO_CLAIM NO_FENCE NO_QUARANTINE */

#define NONE 9
#define CHECKS(server) ((server) == 0)

byte claimed = NONE;  /* the server of the claim on the slot */
byte claim_order;     /* number of the order that the claim permits */
bool claim_loaded;    /* its order is known to have completed */
bool claim_fenced;    /* the server has confirmed a number above the claim's */
byte row_fence[2];    /* in the platform's row of the server */
byte server_fence[2]; /* highest number that the server has seen */
bool loaded[2];
bool terminated[2];

/* Index of an order: number of the daemon * 2 + its attempt. */
mtype = { unsent, in_transit, arrived };
mtype order[4] = unsent;
byte order_fence[4];
byte order_server[4];

#define HOLDER (claim_order / 2)
#define FREE_CLAIM atomic { claimed = NONE; claim_loaded = false; claim_fenced = false }

proctype Daemon(byte id)
{
  byte attempt = 0, number, server;
  do
  :: attempt < 2 ->
     number = id * 2 + attempt;
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
     :: order[number] = in_transit
     :: atomic { terminated[id] = true; break }
     fi;
     attempt++
  :: atomic { terminated[id] = true; break }
  od
}

proctype Servers()
{
  byte number, server;
end:
  do
  :: atomic {
       if
       :: order[0] == in_transit -> number = 0
       :: order[1] == in_transit -> number = 1
       :: order[2] == in_transit -> number = 2
       :: order[3] == in_transit -> number = 3
       fi;
       order[number] = arrived;
       server = order_server[number];
       if
       :: CHECKS(server) && order_fence[number] < server_fence[server] -> skip
       :: else ->
          loaded[server] = true;
          if
          :: order_fence[number] > server_fence[server] -> server_fence[server] = order_fence[number]
          :: else -> skip
          fi
       fi
     }
  od
}

proctype Reconciler()
{
end:
  do
  :: atomic { claimed != NONE && !claim_loaded && loaded[claimed] -> claim_loaded = true }
  :: atomic { claimed != NONE && claim_loaded -> loaded[claimed] = false; FREE_CLAIM }
  :: atomic { claimed != NONE && !claim_loaded && !claim_fenced && CHECKS(claimed) ->
#ifndef NO_FENCE
       row_fence[claimed]++; server_fence[claimed] = row_fence[claimed];
#endif
       claim_fenced = true }
  :: atomic { claimed != NONE && !claim_loaded && claim_fenced && !loaded[claimed] -> FREE_CLAIM }
  :: atomic { claimed != NONE && !claim_loaded && !CHECKS(claimed) && !loaded[claimed] &&
#ifdef NO_QUARANTINE
       true
#else
       terminated[HOLDER] && order[claim_order] != in_transit
#endif
       -> FREE_CLAIM }
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
  atomic { run Daemon(0); run Daemon(1); run Servers(); run Reconciler() }
}
