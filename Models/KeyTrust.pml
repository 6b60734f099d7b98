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
bool reading = false;
bool responded = false; /* the store has replied; the response is in transit */
byte read_at = 0;
bool response_revoked = false;
bool holder_knows_revoked = false; /* that the key is revoked */
byte holder_proof = NEVER;
byte received_report = NEVER;
byte received_at = 0;

/* An update in transit to the daemon. */
bool update = false;
bool update_revoked;
byte update_age;
byte update_report;
byte update_held;

/* The daemon. */
byte reports = 0;
byte sent_at[REPORTS];
byte report_in_transit = NEVER;
bool daemon_knows_revoked = false;
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
  :: atomic { !reading -> reading = true; responded = false; read_at = now }
  :: atomic { reading && !responded -> responded = true; response_revoked = revoked }
  :: atomic { reading && responded ->
       reading = false;
       holder_knows_revoked = holder_knows_revoked || response_revoked;
#ifdef PROOF_FROM_ANSWER
       holder_proof = now
#else
       holder_proof = read_at
#endif
     }
  :: atomic { report_in_transit != NEVER ->
       received_report = report_in_transit; report_in_transit = NEVER; received_at = now }
  :: atomic { !update && holder_proof != NEVER && received_report != NEVER ->
       update = true;
       update_revoked = holder_knows_revoked;
       update_age = now - holder_proof;
       update_report = received_report;
       update_held = now - received_at }
  :: now == END_OF_TIME -> break
  od
}

inline ApplyUpdate()
{
  update = false;
  daemon_knows_revoked = daemon_knows_revoked || update_revoked;
#ifdef AGE_FROM_ARRIVAL
  proof = now - update_age;
#else
  /* The update was written no earlier than this; its age may reach back to before the start. */
  proof = sent_at[update_report] + update_held;
  proof = (proof > update_age -> proof - update_age : 0);
#endif
  daemon_proof = (daemon_proof == NEVER -> proof : Max(daemon_proof, proof))
}

proctype Daemon()
{
  byte proof;
  byte restarts = 0;
  do
  :: atomic { reports < REPORTS && report_in_transit == NEVER ->
       sent_at[reports] = now; report_in_transit = reports; reports++ }
  :: atomic { update -> ApplyUpdate() }
  :: atomic { update -> update = false /* lost */ }
  :: atomic { restarts < 1 ->
       restarts++;
       daemon_knows_revoked = false;
       update = false;
#ifdef START_TRUSTS
       daemon_proof = now
#else
       daemon_proof = NEVER
#endif
     }
  :: atomic { !daemon_knows_revoked && daemon_proof != NEVER && now - daemon_proof <= LIMIT ->
       /* A request arrives now and runs with the key. */
       assert(!revoked || now - revoked_at <= LIMIT) }
  :: now == END_OF_TIME -> break
  od
}

init
{
  atomic { run Clock(); run Operator(); run Holder(); run Daemon() }
}
