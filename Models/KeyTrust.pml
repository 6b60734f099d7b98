/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * How long a daemon accepts a client key after an operator may have revoked it. Models
 * Source/Core/Accounts/KeyFreshness.cpp, Orders/TableFollower.h and the echo in Orders/Hub.cpp.
 *
 * The holder of the order lease queries the store; the response may be in transit for any time. The
 * holder writes updates for the daemon, each with the holder's configuration, the age of its proof and the
 * echo of the daemon's last report. Updates may be lost, or wait in the daemon's socket for any time, for
 * instance while the daemon is suspended. The daemon may restart with an old configuration from any
 * source. Time may pass between any two steps.
 *
 * Verified: no request that arrives more than LIMIT after the key was revoked runs with it.
 * guards: AGE_FROM_ARRIVAL PROOF_FROM_ANSWER START_TRUSTS */

#define LIMIT 1
#define END_OF_TIME 4
#define REPORTS 2
#define NEVER 255

byte now = 1;
bool revoked = false;
byte revoked_at = 0;

/* The holder. */
bool asking = false;
bool answered = false;   /* the store has replied; the response is in transit */
byte asked_at = 0;
bool answer_revoked = false;
bool holder_knows = false; /* that the key is revoked */
byte holder_proof = NEVER;
byte heard_report = NEVER;
byte heard_at = 0;

/* An update in transit to the daemon. */
bool word = false;
bool word_revoked;
byte word_age;
byte word_report;
byte word_held;

/* The daemon. */
byte reports = 0;
byte sent_at[REPORTS];
byte report_under_way = NEVER;
bool daemon_knows = false;
byte daemon_proof = NEVER;

#define Max(a, b) ((a) > (b) -> (a) : (b))

proctype Clock()
{
  do
  :: now < END_OF_TIME -> now++
  :: else -> break
  od
}

proctype Operator()
{
  atomic { revoked = true; revoked_at = now }
}

proctype Holder()
{
  do
  :: atomic { !asking -> asking = true; answered = false; asked_at = now }
  :: atomic { asking && !answered -> answered = true; answer_revoked = revoked }
  :: atomic { asking && answered ->
       asking = false;
       holder_knows = holder_knows || answer_revoked;
#ifdef PROOF_FROM_ANSWER
       holder_proof = now
#else
       holder_proof = asked_at
#endif
     }
  :: atomic { report_under_way != NEVER ->
       heard_report = report_under_way; report_under_way = NEVER; heard_at = now }
  :: atomic { !word && holder_proof != NEVER && heard_report != NEVER ->
       word = true;
       word_revoked = holder_knows;
       word_age = now - holder_proof;
       word_report = heard_report;
       word_held = now - heard_at }
  :: now == END_OF_TIME -> break
  od
}

inline TakeWord()
{
  word = false;
  daemon_knows = daemon_knows || word_revoked;
#ifdef AGE_FROM_ARRIVAL
  proof = now - word_age;
#else
  /* The update was written no earlier than this; its age may reach back to before the start. */
  proof = sent_at[word_report] + word_held;
  proof = (proof > word_age -> proof - word_age : 0);
#endif
  daemon_proof = (daemon_proof == NEVER -> proof : Max(daemon_proof, proof))
}

proctype Daemon()
{
  byte proof;
  byte starts = 0;
  do
  :: atomic { reports < REPORTS && report_under_way == NEVER ->
       sent_at[reports] = now; report_under_way = reports; reports++ }
  :: atomic { word -> TakeWord() }
  :: atomic { word -> word = false /* lost */ }
  :: atomic { starts < 1 ->
       starts++;
       daemon_knows = false;
       word = false;
#ifdef START_TRUSTS
       daemon_proof = now
#else
       daemon_proof = NEVER
#endif
     }
  :: atomic { !daemon_knows && daemon_proof != NEVER && now - daemon_proof <= LIMIT ->
       /* A request arrives now and runs with the key. */
       assert(!revoked || now - revoked_at <= LIMIT) }
  :: now == END_OF_TIME -> break
  od
}

init
{
  atomic { run Clock(); run Operator(); run Holder(); run Daemon() }
}
