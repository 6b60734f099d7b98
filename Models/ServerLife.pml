/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * Orders to a backend server that starts again under its id. Stands for
 * Source/Core/Orders/OrderManager.cpp.
 *
 * The server has two places. It carries out a load or an unload whose expected sequence is its own,
 * then counts one more. Orders may go unanswered and be carried out any time later, also in the
 * next life, which begins empty and counts from zero. The holder of the order lease plans by what
 * the last report told, and gives one order at a time.
 *
 * Proved: no order loads beyond the server's places, and a report always brings the holder's
 * sequence back to the server's.
 * guards: NO_START NO_ROOM ONLY_THE_LIFE_BEFORE */

#define PLACES 2
#define ORDERS 7  /* that the holder gives in all */
#define RESTARTS 2
#define UNDER_WAY 3

byte held = 0;     /* models that the server holds; which ones does not matter */
byte sequence = 0; /* orders that it has taken in this life */
byte life = 0;

/* Orders that the server may still carry out. */
bool waits[UNDER_WAY];
bool is_load[UNDER_WAY];
byte expects[UNDER_WAY];

/* What the holder believes. */
byte known_life = 0;
byte known_held = 0;
byte known_sequence = 0;
bool open = false; /* its last order is unanswered */
/* Loads that were not answered, and of which life they were sent in. They count until they cannot
 * come any more: in the program for as long as a server is known to carry out orders late. */
bool unanswered[UNDER_WAY];
byte sent_in[UNDER_WAY];

byte given = 0;
byte place;

#define Free() \
  ((!waits[0] && !unanswered[0]) || (!waits[1] && !unanswered[1]) || (!waits[2] && !unanswered[2]))

inline Carry(n)
{
  waits[n] = false;
  if
  :: expects[n] == sequence && is_load[n] ->
     assert(held < PLACES);
     held++; sequence++
  :: expects[n] == sequence && !is_load[n] && held > 0 ->
     held--; sequence++
  :: else -> skip /* rejected */
  fi
}

proctype Server()
{
  byte restarts = 0;
  do
  :: atomic { restarts < RESTARTS -> restarts++; life++; held = 0; sequence = 0 }
  :: atomic { waits[0] -> Carry(0) }
  :: atomic { waits[1] -> Carry(1) }
  :: atomic { waits[2] -> Carry(2) }
  od
}

inline Send(load)
{
  if
  :: !waits[0] && !unanswered[0] -> place = 0
  :: !waits[1] && !unanswered[1] -> place = 1
  :: !waits[2] && !unanswered[2] -> place = 2
  fi;
  waits[place] = true;
  is_load[place] = load;
  expects[place] = known_sequence;
  unanswered[place] = load;
  sent_in[place] = known_life;
  open = true;
  given++
}

/* A report tells life, sequence and models as of one moment. */
inline Look()
{
#ifdef NO_START
  known_life = life;
#endif
  if
  :: known_life != life ->
     /* All that was believed is void, but for the loads that may still come. */
     open = false;
     known_life = life;
     known_sequence = sequence
  :: known_life == life && sequence > known_sequence -> known_sequence = sequence; open = false
  :: else -> skip
  fi;
  known_held = held;
  assert(known_sequence == sequence);
  place = 0;
  do
  :: place < UNDER_WAY ->
     if
     :: !waits[place] -> unanswered[place] = false
     :: else -> skip
     fi;
     place++
  :: else -> break
  od
}

proctype Holder()
{
  byte reserved;
  do
  :: atomic { Look() }
  :: atomic {
       !open && given < ORDERS && Free() ->
       reserved = 0;
#ifndef NO_ROOM
       place = 0;
       do
       :: place < UNDER_WAY ->
          if
          :: unanswered[place] && expects[place] >= known_sequence &&
#ifdef ONLY_THE_LIFE_BEFORE
             sent_in[place] + 1 == known_life
#else
             sent_in[place] != known_life
#endif
             -> reserved++
          :: else -> skip
          fi;
          place++
       :: else -> break
       od;
#endif
       if
       :: known_held + reserved < PLACES -> Send(true)
       :: known_held > 0 -> Send(false)
       :: else -> skip
       fi
     }
  od
}

init
{
  run Server();
  run Holder()
}
