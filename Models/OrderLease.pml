/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * The lease of the daemon that sends orders to backend servers. Models Source/Core/Orders/LeaseManager.h.
 *
 * Two daemons. Time passes in ticks at any point, so a daemon may be suspended between any two of its
 * steps. The response to a write to the store may be delayed or lost. An order is sent some time after it
 * was decided on, because its connection has to be established first. It is dropped if the lease has
 * expired by then.
 *
 * Verified: the server never receives orders of two daemons within PAUSE ticks, and fences never
 * decrease.
 *
 * Each name below is a switch that removes one guard.
 * guards: NO_CHECK_WHEN_LEAVING COUNT_FROM_ANSWER NO_PAUSE BLIND_WRITE NO_WAIT NO_ORDERING_MARK */

#define DURATION 1
#define PAUSE 2
#define LAST_TICK 4
#define MAX_WRITES 4
#define NO_DAEMON 2
#define RELEASED 3

byte now = 0;
byte writes = 0;

/* When the lease is lost, the connections of orders that have not been sent are reset. */
#ifdef NO_CHECK_WHEN_LEAVING
#define DROP_ORDERS skip
#else
#define DROP_ORDERS pending = false
#endif

/* The row in the store. */
byte row_version = 0;
byte row_holder = NO_DAEMON;
bool row_ordering = false; /* its holder has completed the pause */

/* Last order that the server received. */
byte last_sender = NO_DAEMON;
byte last_order_at = 0;
byte last_fence = 0;

proctype Clock()
{
  do
  :: now < LAST_TICK -> now++
  :: now == LAST_TICK -> break
  od
}

proctype Daemon(byte self)
{
  byte seen_version = 0;
  byte seen_holder = NO_DAEMON;
  bool seen_ordering = false;
  byte seen_at = 0;
  byte sent_at;
  byte expected;
  byte valid_until = 0;
  byte orders_from = 0;
  byte fence = 0;
  bool pending = false; /* an order was decided on and has not been sent */
  bool response_received;
  bool written;
  bool after_other_holder;
  bool ordering;

  do
  :: now == LAST_TICK -> break

  /* Reads the row. */
  :: atomic {
       row_version != seen_version ->
       seen_version = row_version;
       seen_holder = row_holder;
       seen_ordering = row_ordering;
       seen_at = now
     }

  /* Acquires or renews the lease. */
  :: writes < MAX_WRITES && ((fence != 0 && now < valid_until) ||
#ifdef NO_WAIT
     true
#else
     seen_holder >= NO_DAEMON || seen_holder == self || now > seen_at + DURATION
#endif
     ) ->
     atomic {
#ifdef NO_ORDERING_MARK
       after_other_holder = (seen_holder != NO_DAEMON && seen_holder != self);
#else
       after_other_holder = (seen_holder != NO_DAEMON && !(seen_holder == self && seen_ordering));
#endif
       ordering = (fence != 0 && now >= orders_from);
       expected = seen_version;
       sent_at = now
     };
     atomic {
       writes++;
#ifdef BLIND_WRITE
       written = true;
#else
       written = (row_version == expected);
#endif
       if
       :: written -> row_version++; row_holder = self; row_ordering = ordering
       :: else -> skip
       fi;
       /* The response is delayed or lost. */
       if
       :: response_received = true
       :: response_received = false
       fi
     };
     atomic {
        if
        :: written && response_received ->
          seen_version = expected + 1;
          seen_holder = self;
          seen_ordering = ordering;
          seen_at = now;
#ifdef COUNT_FROM_ANSWER
          valid_until = now + DURATION;
#else
          valid_until = sent_at + DURATION;
#endif
          if
          :: fence == 0 ->
             fence = expected + 1;
#ifdef NO_PAUSE
             orders_from = now
#else
             orders_from = (after_other_holder -> now + PAUSE : now)
#endif
          :: else -> skip
          fi
        :: else -> skip
        fi;
        expected = 0;
        sent_at = 0;
        written = false;
        response_received = false;
        after_other_holder = false;
        ordering = false
     }

  /* Releases the lease. */
  :: writes < MAX_WRITES && fence != 0 && seen_holder == self ->
     atomic {
       fence = 0;
       DROP_ORDERS;
       writes++;
       if
       :: row_version == seen_version -> row_version++; row_holder = RELEASED; row_ordering = false
       :: else -> skip
       fi
     }

  /* The lease has expired, or another daemon holds the row. */
  :: atomic { fence != 0 && (now >= valid_until || seen_holder != self) -> fence = 0; DROP_ORDERS }

  /* Decides on an order. */
  :: atomic { !pending && fence != 0 && now < valid_until && now >= orders_from -> pending = true }

  /* The order is sent and arrives. */
  :: atomic {
#ifdef NO_CHECK_WHEN_LEAVING
       pending ->
#else
       pending && now < valid_until ->
#endif
       assert(last_sender == NO_DAEMON || last_sender == self || now >= last_order_at + PAUSE);
       assert(fence == 0 || fence >= last_fence);
       last_sender = self;
       last_order_at = now;
       last_fence = (fence > last_fence -> fence : last_fence);
       pending = false
     }
  od
}

init
{
  atomic {
    run Clock();
    run Daemon(0);
    run Daemon(1)
  }
}
