#!/usr/bin/env python3
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
"""Generates the days (fault schedules) for the bench of the users. deploy/days: a few days, which every hunt (a
randomized search for failures) varies for every site. Scenarios/Days: two days for each kind of fault or planned
operation, one with it alone and one with faults of the platform's store in addition, to be run by hand. Each file is
named after what it exercises."""
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
KINDS_DIR = ROOT / "Scenarios" / "Days"
VARIED_DIR = ROOT / "deploy" / "days"

# name: (section, entries without "at")
KINDS = {
    "burst": ("faults", ['kind = "burst", x = 3.0, for_s = 6.0']),
    "retry-abuse": ("faults", ['kind = "retry_abuse", share = 0.5, x = 4.0, for_s = 8.0',
                               'kind = "answer_lost", share = 0.6, x = 0.4, for_s = 8.0']),
    "give-up": ("faults", ['kind = "give_up", share = 0.5, for_s = 6.0']),
    "srv-crash": ("faults", ['kind = "srv_crash", share = 0.3, for_s = 4.0']),
    "srv-crash-dark": ("faults", ['kind = "srv_crash", share = 0.3, for_s = 5.0, how = "dark"']),
    "srv-crash-gone": ("faults", ['kind = "srv_crash", share = 0.3, how = "gone"']),
    "srv-slow": ("faults", ['kind = "srv_slow", share = 0.4, x = 6.0, for_s = 8.0']),
    "srv-grey-errors": ("faults", ['kind = "srv_grey", share = 0.4, x = 0.5, for_s = 8.0, how = "errors"']),
    "srv-grey-shed": ("faults", ['kind = "srv_grey", share = 0.4, x = 0.5, for_s = 8.0, how = "shed"']),
    "srv-grey-hang": ("faults", ['kind = "srv_grey", share = 0.4, x = 0.5, for_s = 8.0, how = "hang"']),
    "srv-grey-reset": ("faults", ['kind = "srv_grey", share = 0.4, x = 0.5, for_s = 8.0, how = "reset"']),
    "srv-grey-mute": ("faults", ['kind = "srv_grey", share = 0.4, x = 0.5, for_s = 8.0, how = "mute"']),
    "srv-grey-slow": ("faults", ['kind = "srv_grey", share = 0.4, x = 8.0, for_s = 8.0, how = "slow"']),
    "release": ("plan", ['kind = "release", share = 1.0, x = 2.0, gap_s = 1.5']),
    "applied-late": ("faults", ['kind = "applied_late", how = "orders", x = 0.6, for_s = 10.0']),
    "applied-late-all": ("faults", ['kind = "applied_late", how = "all", x = 0.5, for_s = 10.0']),
    "scale-out": ("plan", ['kind = "scale_out", share = 0.5, gap_s = 1.0']),
    "scale-in": ("plan", ['kind = "scale_in", share = 0.4']),
    "scale-in-spot": ("plan", ['kind = "scale_in", how = "spot", share = 0.4, x = 2.0']),
    "scale-in-reclaim": ("plan", ['kind = "scale_in", how = "reclaim", x = 2.5, for_s = 5.0']),
    "answer-lost": ("faults", ['kind = "answer_lost", share = 0.8, x = 0.3, for_s = 8.0']),
    "answer-lost-reset": ("faults", ['kind = "answer_lost", share = 0.8, x = 0.3, for_s = 8.0, how = "reset"']),
    "garble": ("faults", ['kind = "garble", share = 1.0, x = 0.2, for_s = 8.0']),
    "garble-extra": ("faults", ['kind = "garble", share = 1.0, x = 0.2, for_s = 8.0, how = "extra"']),
    "garble-unframed": ("faults", ['kind = "garble", share = 1.0, x = 0.2, for_s = 8.0, how = "unframed"']),
    "garble-early": ("faults", ['kind = "garble", share = 1.0, x = 0.2, for_s = 8.0, how = "early"']),
    "garble-rot": ("faults", ['kind = "garble", share = 1.0, x = 0.2, for_s = 8.0, how = "rot"']),
    "node-kill": ("faults", ['kind = "node_kill", share = 0.4']),
    "node-kill-giver": ("faults", ['kind = "node_kill", count = 1, how = "giver"']),
    "node-kill-power": ("faults", ['kind = "node_kill", count = 1, how = "leader power", for_s = 5.0']),
    "node-freeze": ("faults", ['kind = "node_freeze", share = 0.3, for_s = 5.0']),
    "node-freeze-giver": ("faults", ['kind = "node_freeze", count = 1, how = "giver", for_s = 4.3']),
    "node-freeze-giver-short": ("faults", ['kind = "node_freeze", count = 1, how = "giver", for_s = 1.5']),
    "node-slow": ("faults", ['kind = "node_slow", share = 0.4, x = 8.0, for_s = 8.0']),
    "roll-term": ("plan", ['kind = "roll_term", share = 1.0, gap_s = 1.0']),
    "roll-term-busy": ("plan", ['kind = "roll_term", share = 1.0, how = "busy", gap_s = 0.5']),
    "roll-term-remove": ("plan", ['kind = "roll_term", share = 0.3, how = "remove", gap_s = 1.0']),
    "herd-kill": ("faults", ['kind = "herd_kill", share = 0.8']),
    "herd-kill-all": ("faults", ['kind = "herd_kill", share = 1.0, how = "power", for_s = 1.0']),
    "add-nodes": ("plan", ['kind = "add_nodes"']),
    "replace-core": ("faults", ['kind = "replace_core", how = "leader", x = 2.0']),
    "replace-planned": ("plan", ['kind = "replace_core", how = "planned", x = 2.0']),
    "after-ack-kill": ("faults", ['kind = "after_ack_kill", count = 2, how = "kill"']),
    "after-ack-taken": ("faults", ['kind = "after_ack_kill", count = 1, how = "taken"']),
    "zone-cut": ("faults", ['kind = "zone_cut", for_s = 6.0']),
    "zone-cut-meet": ("faults", ['kind = "zone_cut", for_s = 6.0, how = "drop meet"']),
    "zone-cut-reset": ("faults", ['kind = "zone_cut", for_s = 4.0, how = "reset"']),
    "core-cut-giver": ("faults", ['kind = "core_cut", count = 1, how = "giver meet", for_s = 6.0']),
    "core-cut-split": ("faults", ['kind = "core_cut", how = "split", for_s = 6.0']),
    "core-cut-one-way": ("faults", ['kind = "core_cut", count = 2, how = "one_way drain", for_s = 5.0']),
    "node-cut": ("faults", ['kind = "node_cut", share = 0.4, how = "all meet", for_s = 5.0']),
    "node-cut-servers": ("faults", ['kind = "node_cut", share = 0.4, how = "servers", for_s = 5.0']),
    "lossy": ("faults", ['kind = "lossy", x = 0.1, for_s = 8.0']),
    "platform-down": ("faults", ['kind = "platform_down", how = "silent lapse", for_s = 9.0']),
    "platform-down-busy": ("faults", ['kind = "platform_down", how = "busy lapse", for_s = 6.0']),
    "platform-down-reset": ("faults", ['kind = "platform_down", how = "reset lapse", for_s = 6.0']),
    "platform-down-nodes": ("faults", ['kind = "platform_down", how = "nodes meet drain", share = 0.5, for_s = 8.0']),
    "platform-down-leader": ("faults", ['kind = "platform_down", how = "nodes leader many race", count = 1, for_s = 8.0']),
    "platform-slow": ("faults", ['kind = "platform_slow", x = 200.0, for_s = 8.0']),
    "platform-lost": ("faults", ['kind = "platform_lost", x = 0.6, for_s = 10.0']),
    "platform-lost-late": ("faults", ['kind = "platform_lost", x = 0.6, for_s = 10.0, how = "late"']),
    "platform-compact": ("faults", ['kind = "platform_compact", for_s = 4.0, x = 6.0, how = "drain"']),
    "config-change": ("plan", ['kind = "config_change", how = "route"', 'kind = "config_change", how = "weights"']),
    "config-storm": ("plan", ['kind = "config_storm", count = 12, gap_s = 0.3']),
    "big-config": ("plan", ['kind = "big_config", count = 400']),
    "model-shift": ("plan", ['kind = "model_shift", count = 3, for_s = 3.0']),
    "srv-cut": ("faults", ['kind = "srv_cut", share = 0.4, for_s = 6.0']),
    "srv-cut-fronts": ("faults", ['kind = "srv_cut", share = 0.4, for_s = 6.0, how = "fronts", x = 0.5']),
    "srv-cut-some": ("faults", ['kind = "srv_cut", share = 0.4, for_s = 6.0, how = "some", x = 0.5']),
    "srv-cut-one-way": ("faults", ['kind = "srv_cut", share = 0.4, for_s = 6.0, how = "some one_way", x = 0.5']),
    "address-reuse": ("faults", ['kind = "replace_with_reuse", share = 0.3']),
    "address-reuse-drain": ("faults", ['kind = "replace_with_reuse", share = 0.3, how = "drain"']),
    "address-reuse-dark": ("faults", ['kind = "replace_with_reuse", share = 0.3, how = "dark"']),
    "clock-step": ("faults", ['kind = "clock_step", x = 5000, share = 0.6, for_s = 6.0, how = "ahead"',
                              'kind = "clock_step", x = 5000, share = 0.6, for_s = 6.0, how = "back"']),
    "hup": ("plan", ['kind = "hup", share = 1.0, gap_s = 2.0']),
    "reset-conns": ("faults", ['kind = "reset_conns", share = 0.8, x = 0.8']),
    # Only the grown sites of the bench support these.
    "srv-flap": ("faults", ['kind = "srv_flap", share = 0.3, gap_s = 1.5, for_s = 8.0']),
    "srv-lying-errors": ("faults", ['kind = "srv_lying_health", share = 0.3, for_s = 8.0, how = "errors"']),
    "srv-lying-hang": ("faults", ['kind = "srv_lying_health", share = 0.3, for_s = 8.0, how = "hang"']),
    "srv-lying-bad": ("faults", ['kind = "srv_lying_health", share = 0.5, for_s = 8.0, how = "bad"']),
    # The configuration becomes larger than a link of 10 Mbit/s transfers in a second.
    "big-configs": ("plan", ['kind = "big_config", count = 1400'] * 2),
}
# name: (purpose, plan, faults); @s0 and @c0 are placeholders for the first service and the first request class of a
# site.
VARIED = {
    "servers-start-again": (
        "Servers start again under their id, behind cuts and by crashes, while demand moves.",
        ['at = 1.0, kind = "model_shift", count = 1, for_s = 6.0', 'at = 13.0, kind = "model_shift", count = 2, for_s = 5.0',
         'at = 24.0, kind = "model_shift", count = 1, for_s = 5.0'],
        ['at = 4.0, kind = "node_cut", how = "servers reborn", share = 0.3, for_s = 1.5',
         'at = 10.0, kind = "node_cut", how = "servers reborn", share = 0.3, for_s = 4.0',
         'at = 17.0, kind = "srv_crash", share = 0.3, for_s = 1.0',
         'at = 20.0, kind = "node_cut", how = "servers reborn", share = 0.4, for_s = 2.0',
         'at = 26.0, kind = "applied_late", how = "orders", x = 0.5, for_s = 6.0',
         'at = 26.0, kind = "node_cut", how = "servers reborn", share = 0.3, for_s = 3.0']),
    "servers-lost": (
        "A third of the model servers is lost with the disks: what only the weight store has is wanted.",
        ['at = 1.0, kind = "model_shift", count = 1, for_s = 6.0', 'at = 20.1, kind = "model_shift", count = 1, for_s = 4.0'],
        ['at = 3.0, kind = "srv_crash", service = "@s0", share = 0.34, how = "gone"',
         'at = 9.0, kind = "platform_slow", for_s = 3.0']),
    "servers-replaced": (
        "All model servers are replaced in turn: every copy of weights on a disk goes.",
        ['at = 4.0, kind = "release", service = "@s0", share = 1.0, x = 2.0, gap_s = 1.5',
         'at = 13.0, kind = "model_shift", count = 2, for_s = 5.0'],
        ['at = 18.0, kind = "platform_slow", for_s = 4.0']),
    "demand-returns": (
        "Demand moves on every few seconds, to models that were given up just before, with many requests at once.",
        [f'at = {at}, kind = "model_shift", count = 2, for_s = 1.0' for at in (2.0, 7.0, 12.0, 17.0, 22.0, 27.0)],
        ['at = 9.0, kind = "burst", class = "@c0", x = 2.0, for_s = 6.0', 'at = 14.0, kind = "give_up", share = 0.5, for_s = 8.0']),
    "configurations-grow": (
        "The configuration outgrows what a weak link carries in a second.",
        [f'at = {at}, kind = "big_config", count = 1400' for at in (4.0, 8.0, 17.0, 21.0)], []),
    "cuts-and-slow-store": (
        "Data centres and machines are cut off while the store is slow.",
        [],
        ['at = 3.0, kind = "platform_slow", x = 100.0, for_s = 8.0', 'at = 4.0, kind = "zone_cut", for_s = 5.0, how = "meet"',
         'at = 16.0, kind = "platform_slow", x = 100.0, for_s = 8.0', 'at = 17.0, kind = "node_cut", share = 0.4, how = "all meet", for_s = 4.0']),
    "holder-frozen": (
        "The holder of the order lease freezes, short and long, as demand moves; the next one too.",
        [f'at = {at}, kind = "model_shift", count = 1, for_s = 3.0' for at in (3.0, 12.0, 21.0)],
        ['at = 4.0, kind = "node_freeze", count = 1, how = "giver", for_s = 4.3', 'at = 9.0, kind = "node_freeze", count = 1, how = "giver", for_s = 1.5',
         'at = 13.0, kind = "node_kill", count = 1, how = "giver"', 'at = 22.0, kind = "node_freeze", count = 1, how = "giver", for_s = 6.0']),
    "signals-in-series": (
        "Stops, kills and new settings follow each other and overlap.",
        ['at = 3.0, kind = "roll_term", share = 1.0, gap_s = 0.7', 'at = 16.0, kind = "roll_term", share = 1.0, how = "busy", gap_s = 0.5'],
        ['at = 5.0, kind = "node_kill", share = 0.3', 'at = 18.0, kind = "node_kill", share = 0.3', 'at = 24.0, kind = "herd_kill", share = 0.6']),
    "evacuated": (
        "Data centres are evacuated and taken back, one after the other and overlapping; one comes back cold.",
        ['at = 2.0, kind = "evacuate", zone = "@z0", for_s = 7.0', 'at = 6.0, kind = "evacuate", zone = "@z1", for_s = 5.0',
         'at = 22.0, kind = "evacuate", zone = "@z0", for_s = 2.0', 'at = 26.0, kind = "evacuate", zone = "@z0", for_s = 5.0'],
        ['at = 14.0, kind = "cold_return", zone = "@z1", for_s = 3.0', 'at = 15.0, kind = "burst", x = 2.0, for_s = 6.0']),
    "evacuated-in-outages": (
        "Data centres are evacuated while VMs are killed, frozen and cut off and the store is away.",
        ['at = 2.0, kind = "evacuate", zone = "@z1", for_s = 9.0', 'at = 14.0, kind = "evacuate", zone = "@z0", for_s = 8.0'],
        ['at = 3.0, kind = "node_freeze", share = 0.2, for_s = 2.5', 'at = 5.0, kind = "herd_kill", share = 0.5',
         'at = 9.5, kind = "core_cut", count = 2, how = "giver", for_s = 4.0', 'at = 15.0, kind = "platform_down", for_s = 3.0',
         'at = 20.0, kind = "node_kill", count = 1, how = "giver"', 'at = 25.0, kind = "cold_return", zone = "@z0", for_s = 3.0, how = "dark"']),
    "servers-out-of-reach": (
        "Some VMs lose all servers of a pool, also by resets and while the store is down; the holder of the order lease is killed meanwhile.",
        [],
        ['at = 4.0, kind = "srv_cut", share = 1.0, x = 0.34, how = "some", for_s = 8.0', 'at = 8.0, kind = "node_kill", count = 1, how = "giver"',
         'at = 15.0, kind = "srv_cut", share = 1.0, x = 0.7, how = "some", for_s = 8.0', 'at = 17.0, kind = "platform_down", for_s = 4.0',
         'at = 26.0, kind = "srv_cut", share = 1.0, x = 0.5, how = "some reset", for_s = 6.0']),
    "responses-without-a-length": (
        "Responses have neither a length nor chunks while servers crash and connections are reset.",
        [],
        ['at = 3.0, kind = "garble", share = 1.0, x = 0.4, how = "unframed", for_s = 28.0', 'at = 6.0, kind = "srv_crash", share = 0.3, for_s = 2.0',
         'at = 14.0, kind = "srv_crash", share = 0.3, for_s = 2.0', 'at = 18.0, kind = "reset_conns", share = 0.5, x = 0.6',
         'at = 24.0, kind = "srv_crash", share = 0.3, for_s = 2.0']),
}
STORE_FAULTS = ('kind = "platform_down", how = "nodes reset", share = 0.4, for_s = 5.0',
                'kind = "platform_lost", x = 0.5, for_s = 5.0, how = "late"')


def write(path, seed, plan, faults, purpose=""):
    def lines(entries):
        return "".join(f"  {{ {entry} }},\n" for entry in entries)
    head = f"# {purpose}\n" if purpose else ""
    path.write_text(
        f'{head}[[day]]\nname = "{path.stem}"\nslot = "trouble"\nseed = {seed}\nlength_s = 36.0\none = 0.6\nzero = 0.0\n'
        f'goal = {{ floor = 0.0 }}\nplan = [\n{lines(plan)}]\nfaults = [\n{lines(faults)}]\n')


def main():
    KINDS_DIR.mkdir(exist_ok=True)
    for number, (name, (section, entries)) in enumerate(KINDS.items()):
        twice = [f"at = {at}, {entry}" for at in (4.0, 17.0) for entry in entries]
        storm = [f"at = {at}, {entry}" for at, entry in zip((3.0, 16.0), STORE_FAULTS)]
        plan, faults = (twice, []) if section == "plan" else ([], twice)
        write(KINDS_DIR / f"{name}.toml", 1000 + number, plan, faults)
        write(KINDS_DIR / f"{name}-and-store.toml", 2000 + number, plan, faults + storm)
    VARIED_DIR.mkdir(exist_ok=True)
    for number, (name, (purpose, plan, faults)) in enumerate(VARIED.items()):
        write(VARIED_DIR / f"{name}.toml", 3000 + number, plan, faults, purpose)


main()
